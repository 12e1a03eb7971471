/*
 * quarantine.h - refuses requests that crash the servers that run them
 *
 * DESCRIPTION
 *	A request may crash each server that begins to run it, together with all
 *	requests that run beside it, and its caller sends it again. For each
 *	request, identified by its fingerprint (coord/fingerprint.h), a
 *	quarantine remembers which server processes crashed while they ran it.
 *	From quarantine_settings.crash_threshold different ones on, the request
 *	is held: it is to be refused before it reaches another server. With
 *	fewer it is a suspect.
 *
 *	Without a quarantine, one such request, repeated about once a second at
 *	any instances, causes 16 to 18 crashes in 15 s on 14 servers, which
 *	restart in between. Each crash cuts off some three streams.
 *
 *	Up to 64 requests run in an engine and all of them are lost when it
 *	crashes, so one crash does not show which of them caused it. A caller
 *	that follows the retry rules sends a request at most twice, so a request
 *	that causes no crash is lost at most twice: three is the least threshold
 *	that holds no such request. A request that many callers send at once,
 *	such as one for a status page, could be lost at several servers within a
 *	moment. So no crash is recorded for a request that succeeded recently.
 *	A suspect is cleared when it succeeds, or when it arrives again at an
 *	instance where it succeeded before: an instance that has just started
 *	does not know of that success and records the crash.
 *
 *	Requests that ran beside the cause at three servers are told apart from
 *	it by quarantine_explain(); coord/suspects.h decides with it.
 *
 *	An entry with FINGERPRINT_BEGUN counts crashes after the answer had
 *	begun. All that ran beside the cause is lost so, and it takes two
 *	crashes more.
 *
 *	Entries whose fingerprints have the same high value are of the same
 *	subject. Their crashes add up, but only to refuse requests that have
 *	crashed a server themselves (quarantine_refuses()): no caller can
 *	have another one's requests refused.
 *
 *	A held request is not released by time: its next repeat would crash the
 *	next server. Suspects and held requests have separate bounds, and the
 *	oldest of each are evicted first, of suspects those with the number of
 *	crashes that most of them have. So a flood of suspects evicts neither a
 *	held request nor one that has crashed more servers than they have.
 *
 *	Instances exchange their entries (quarantine_next(),
 *	quarantine_merge()). In whatever order and however often they do, they
 *	converge to the same entries: a later epoch replaces an earlier one,
 *	within one epoch the servers are united, and a success begins a new
 *	epoch without servers. Held requests are to be written to a store, and
 *	deleted there when they are cleared (quarantine_unstored()).
 *
 *	The module has no network and no clock; all times are in microseconds of
 *	the caller's clock. Cost: one lookup a request while anything is suspect
 *	or held, otherwise only the keyed hash; a look at all entries for each
 *	one that may refuse a request; 112 bytes an entry plus some 200 for
 *	lists and GLib's tables, and 192 KiB for recent successes.
 */
#ifndef COORD_QUARANTINE_H
#define COORD_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord/fingerprint.h"

/* Most servers in an entry. */
#define QUARANTINE_CRASHES_MAX 8u

struct quarantine;

struct quarantine_settings {
	uint32_t crash_threshold; /* crashed servers from which it is held */
	uint32_t held_max;	  /* requests */
	uint32_t suspects_max;	  /* requests */
};

struct quarantine_entry {
	struct request_fingerprint fingerprint;
	uint32_t epoch; /* rises when it is cleared */
	uint32_t count; /* of servers */
	/* Processes that crashed, ascending. A restarted server counts as
	 * another one. */
	uint64_t servers[QUARANTINE_CRASHES_MAX];
	bool stored; /* it is in the store */
};

struct quarantine *
quarantine_create(const struct quarantine_settings *settings);
void quarantine_destroy(struct quarantine *quarantine);
/* Applies to later crashes; requests that are held stay held. */
void quarantine_configure(struct quarantine *quarantine,
			  uint32_t crash_threshold);

/* When true there are no entries, so no fingerprint needs to be looked up. */
bool quarantine_empty(const struct quarantine *quarantine);
/* Whether the entry is held by its own crashes. */
bool quarantine_holds(const struct quarantine *quarantine,
		      const struct request_fingerprint *fingerprint);
/* NULL when there is no entry. */
const struct quarantine_entry *
quarantine_find(const struct quarantine *quarantine,
		const struct request_fingerprint *fingerprint);

/* Why requests are refused. */
struct quarantine_verdict {
	const struct quarantine_entry *entry;
	/* The entry has crashed a server but is not held: all entries of the
	 * same subject (equal high), of other callers or other software
	 * versions, have together crashed as many as it takes. */
	bool corroborated;
	uint32_t excess;    /* crashes beyond those that it takes */
	int64_t changed_at; /* when the last one became known here */
};

/* Whether the entry is held or corroborated. The verdict counts all crashes of
 * the subject, so that a part is not probed by each caller for itself. */
bool quarantine_refuses(const struct quarantine *quarantine,
			const struct request_fingerprint *fingerprint,
			struct quarantine_verdict *verdict);
/* Whether other entries that are held or corroborated account for the crashes
 * of such an entry: whether it would not be one without the servers that are
 * also theirs. These are entries of other subjects that may() returns true for
 * and that have as many crashes beyond what it takes, or slack fewer. Servers
 * that other callers' entries of the same subject have, too, do not count as
 * the entry's own. */
enum quarantine_explanation {
	EXPLAINED_NOT,
	EXPLAINED_AS_WELL, /* by entries with at least as much excess */
	EXPLAINED_BETTER,  /* by entries with more excess */
};
enum quarantine_explanation
quarantine_explain(const struct quarantine *quarantine,
		   const struct request_fingerprint *fingerprint,
		   uint32_t slack,
		   bool (*may)(const void *ctx,
			       const struct request_fingerprint *fingerprint),
		   const void *ctx);
uint32_t quarantine_held(const struct quarantine *quarantine);
uint32_t quarantine_suspects(const struct quarantine *quarantine);

/* A server process crashed while it ran the request; hash is the keyed hash of
 * the request. Returns whether the entry has changed. */
bool quarantine_record_crash(struct quarantine *quarantine,
			     const struct request_fingerprint *fingerprint,
			     uint64_t hash, uint64_t server, int64_t now);
/* The request ended and its server is still alive. */
void quarantine_record_success(struct quarantine *quarantine, uint64_t hash,
			       int64_t now);
/* Whether a success was recorded here within the last minute. */
bool quarantine_has_succeeded(const struct quarantine *quarantine,
			      uint64_t hash, int64_t now);
/* Clears a request that has succeeded; returns whether it was suspect or held.
 * A run that began before the request was held clears it too. */
bool quarantine_clear(struct quarantine *quarantine,
		      const struct request_fingerprint *fingerprint);

/* Merges an entry of another instance or of the store; returns whether anything
 * has changed. Drops an entry with too many servers, or with neither servers
 * nor an epoch. */
bool quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_entry *entry, int64_t now);
/* Copies at most max entries, from where the last call stopped; returns how
 * many. */
uint32_t quarantine_next(struct quarantine *quarantine,
			 struct quarantine_entry *entries, uint32_t max);
/* Finds a held request that is not in the store yet, or one in the store that
 * is no longer held; returns false when there is none. */
bool quarantine_unstored(const struct quarantine *quarantine,
			 struct quarantine_entry *entry);
/* To be called when the store may have lost what was written to it: entries
 * that are held, and those that were cleared, count as not stored. */
void quarantine_store_lost(struct quarantine *quarantine);
/* Notes that the entry was written to the store or deleted from it. */
void quarantine_stored(struct quarantine *quarantine,
		       const struct request_fingerprint *fingerprint,
		       bool stored);

#endif
