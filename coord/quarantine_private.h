/*
 * quarantine_private.h - tables of the quarantine
 *
 * DESCRIPTION
 *	quarantine.c records, clears, evicts and exchanges entries;
 *	quarantine_subject.c adds up the crashes of the entries of a subject and
 *	decides which of them refuse requests.
 */
#ifndef COORD_QUARANTINE_PRIVATE_H
#define COORD_QUARANTINE_PRIVATE_H

#include <glib.h>

#include "coord/quarantine.h"

/* Requests that succeeded recently, in slots by keyed hash. A new one replaces
 * the previous one in its slot. */
#define SUCCESS_SLOTS 8192u
/* Entries of a subject without and with FINGERPRINT_BEGUN. */
#define SUBJECT_KINDS 2u

/* Servers of a subject that are compared with those of others; bits of one
 * number. */
#define SUBJECT_SERVERS_MAX 48u

struct recent_success {
	uint64_t hash;
	int64_t at;
	bool used;
};

/* Servers that crashed under entries of a subject. */
struct server_set {
	uint64_t servers[SUBJECT_SERVERS_MAX];
	uint32_t count;
	uint64_t repeated; /* bits of those in several entries */
	bool complete;	   /* no entry was full */
};

/* Entries with the same struct request_fingerprint.high. */
struct subject {
	uint64_t high;
	GQueue items; /* struct item */
	/* By is_begun(); NULL: to be collected. */
	struct server_set *crashed[SUBJECT_KINDS];
};

struct item {
	struct quarantine_entry entry;
	struct subject *subject;
	GList subject_link;
	GList link; /* in queue */
	GQueue *queue;
	int64_t changed_at; /* when the last crash became known here */
	bool held;
	bool store_lost; /* to be written to the store again */
};

struct quarantine {
	struct quarantine_settings settings;
	GHashTable *items;    /* request_fingerprint to struct item */
	GHashTable *subjects; /* high to struct subject */
	GQueue held;	      /* oldest first */
	GQueue suspects[QUARANTINE_CRASHES_MAX]; /* by number of crashes */
	struct recent_success successes[SUCCESS_SLOTS];
	uint64_t exported; /* entries returned by quarantine_next() so far */
};

struct item *
quarantine_item_find(const struct quarantine *quarantine,
		     const struct request_fingerprint *fingerprint);

/* Functions of quarantine_subject.c. */
/* Crashes from which an entry is held. */
uint32_t quarantine_threshold(const struct quarantine *quarantine,
			      const struct quarantine_entry *entry);
void quarantine_subject_free(gpointer data);
void quarantine_subject_add(struct quarantine *quarantine, struct item *item);
void quarantine_subject_remove(struct quarantine *quarantine,
			       struct item *item);
/* To be called when one of its entries has changed. */
void quarantine_subject_changed(struct subject *subject);

#endif
