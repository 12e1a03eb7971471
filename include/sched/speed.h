/*
 * speed.h - estimates how long servers take for the same work
 *
 * DESCRIPTION
 *	The factor of a server is the time that it takes, divided by the median
 *	of its service: 1.0 is usual, 2.0 is twice as long. It is between
 *	SPEED_FACTOR_MIN and SPEED_FACTOR_MAX, and 1.0 for a server of which
 *	nothing is known. Servers are identified by backend_key(), which changes
 *	with each restart, so a restart discards what was learnt.
 *
 *	Sources are times that this instance measured (seen), the pace that a
 *	server states with its answers (stated), and entries of other instances.
 *	Each loses weight with age, and so does the factor, towards 1.0. A
 *	server that states a better pace than is seen gains nothing: once
 *	SPEED_SEEN_ENOUGH samples are seen, no factor is below the seen one.
 *
 *	Until a server has stated a pace, here or at another instance, and once
 *	none has for a while, speeds_active() is false, every factor is 1.0 and
 *	nothing is exported.
 *
 *	All times are in microseconds of the caller's clock. Values that are not
 *	finite or beyond the bounds are clamped or ignored; nothing fails. At
 *	most SPEED_SERVERS_MAX servers are kept: the one whose last sample is
 *	the oldest is evicted. Functions that read accept NULL as an empty set.
 */
#ifndef SCHED_SPEED_H
#define SCHED_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#define SPEED_FACTOR_MIN 0.25
#define SPEED_FACTOR_MAX 4.0
/* Servers kept, at about 200 bytes each. */
#define SPEED_SERVERS_MAX 1024u
/* Samples within the half-life after which the seen factor is a lower bound. */
#define SPEED_SEEN_ENOUGH 4.0
/* Entries in one message. */
#define SPEED_ENTRIES_MAX 6u
/* Oldest entry that is sent or accepted; it has lost 7/8 of its weight. */
#define SPEED_AGE_MAX_USEC INT64_C(30000000)
/* Largest weight of an entry, in samples. */
#define SPEED_WEIGHT_MAX 100u

/* What one instance knows of a server, for others. */
struct speed_entry {
	uint64_t server;
	uint32_t percent;  /* time factor */
	uint32_t weight;   /* samples, 1 to SPEED_WEIGHT_MAX */
	uint32_t age_msec; /* of the last sample */
};

struct speeds;

struct speeds *speeds_create(void);
void speeds_destroy(struct speeds *speeds);
/* Work took usec where the median of its service is usual_usec. */
void speeds_seen(struct speeds *speeds, uint64_t server, int64_t now,
		 double usec, double usual_usec);
/* The server has stated the factor with an answer. */
void speeds_stated(struct speeds *speeds, uint64_t server, int64_t now,
		   double factor);
/* An entry of another instance. An older one than is known is ignored. */
void speeds_merge(struct speeds *speeds, int64_t now,
		  const struct speed_entry *entry);
/* What this instance has itself seen or was told by servers, newest first: up
 * to max entries that have changed by over a tenth since they were last
 * exported, or were last exported over two seconds ago. Returns their number.
 */
uint32_t speeds_export(struct speeds *speeds, int64_t now,
		       struct speed_entry *entries, uint32_t max);
/* The expected factor over the next second or so, for long work: streams and
 * prefills. */
double speeds_factor(const struct speeds *speeds, uint64_t server, int64_t now);
/* The factor at this moment, for short work: plain calls. */
double speeds_now(const struct speeds *speeds, uint64_t server, int64_t now);
/* Whether any server has stated a pace lately. */
bool speeds_active(const struct speeds *speeds, int64_t now);
/* Discards what is known of the server. */
void speeds_forget(struct speeds *speeds, uint64_t server);
/* Servers whose factor is known. */
uint32_t speeds_known(const struct speeds *speeds, int64_t now);

#endif
