/*
 * quarantine.h - keeps requests from servers that would end under them
 *
 * DESCRIPTION
 *	A request may end each server that begins to run it, with all that runs
 *	beside it, and its caller sends it again. A quarantine remembers, for
 *	each work (coord/fingerprint.h), which lives of servers ended while they
 *ran it. From quarantine_settings.ends different ones on the work is held: it
 *is to be refused before it reaches another server.
 *
 *	Load that it answers: one such work, repeated about once a second at
 *	instances anywhere, ended 16 to 18 of 14 servers and their successors
 *	in 15 s, and cut off some three streams with each.
 *
 *	Who is to blame. Up to 64 requests run beside each other at an engine
 *	and all of them are lost with it, so one end proves nothing. A caller
 *	that does as it is told sends a request twice at most, so an innocent
 *	one is lost twice at most; three is the least number that refuses none.
 *	What may be asked for by many at once, say a status page, could be lost
 *	at several servers in one moment; so a work that ran to its end lately
 *	is not blamed, and one that is suspected is cleared when it does, or
 *	when it comes again to an instance where it did: those that have just
 *	started do not know that it did, and blame it.
 *
 *	Time alone releases nothing that is held: the next repeat would end the
 *	next server. Suspects and held works are bounded apart, the oldest of
 *	each go first, so a flood of suspects drops nothing that is held.
 *
 *	Instances tell each other their entries (quarantine_next(),
 *	quarantine_merge()); in whatever order and however often they do, they
 *	come to hold the same works: a later epoch goes before an earlier one,
 *	within one the servers add up, and a work that ran to its end begins a
 *	new one with none. What is held is to be written where it lasts, and
 *	dropped there when it is cleared (quarantine_unstored()).
 *
 *	No network and no clock of its own; all times are in microseconds of the
 *	caller's. Cost: one look-up a request while anything is suspected or
 *	held, nothing but the mark otherwise; 112 bytes an entry and those of
 *	GLib's tables, 96 KiB for what ran lately.
 */
#ifndef COORD_QUARANTINE_H
#define COORD_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord/fingerprint.h"

/* Ends that an entry can name. */
#define QUARANTINE_CRASHES_MAX 8u

struct quarantine;

struct quarantine_settings {
	uint32_t crash_threshold; /* of servers, from which on a work is held */
	uint32_t held_max;	  /* works */
	uint32_t suspects_max;	  /* works */
};

/* What is known of a work. */
struct quarantine_entry {
	struct request_fingerprint fingerprint;
	uint32_t epoch;				  /* rises when it is cleared */
	uint32_t count;				  /* of servers */
	uint64_t servers[QUARANTINE_CRASHES_MAX]; /* lives that ended, ascending
						   */
	bool stored; /* it is written where it lasts */
};

struct quarantine *
quarantine_create(const struct quarantine_settings *settings);
void quarantine_destroy(struct quarantine *quarantine);
/* From the next call on; what is held already stays so. */
void quarantine_configure(struct quarantine *quarantine,
			  uint32_t crash_threshold);

/* Whether nothing is suspected or held: no work need be looked up. */
bool quarantine_empty(const struct quarantine *quarantine);
/* Whether it is to be refused. */
bool quarantine_holds(const struct quarantine *quarantine,
		      const struct request_fingerprint *fingerprint);
/* What is known of it, or NULL. */
const struct quarantine_entry *
quarantine_find(const struct quarantine *quarantine,
		const struct request_fingerprint *fingerprint);
uint32_t quarantine_held(const struct quarantine *quarantine);
uint32_t quarantine_suspects(const struct quarantine *quarantine);

/* A life of a server ended while it ran the work. True when that is news. */
bool quarantine_record_crash(struct quarantine *quarantine,
			     const struct request_fingerprint *fingerprint,
			     uint64_t hash, uint64_t server, int64_t now);
/* The server that ran the work has outlived it. */
void quarantine_record_success(struct quarantine *quarantine, uint64_t hash,
			       int64_t now);
/* Whether it did so within the last minute, here. */
bool quarantine_has_succeeded(const struct quarantine *quarantine,
			      uint64_t hash, int64_t now);
/* The same where the work may be suspected: true when it was, and is cleared.
 * A run that began before it was held clears it too: it does not end servers.
 */
bool quarantine_clear(struct quarantine *quarantine,
		      const struct request_fingerprint *fingerprint);

/* Takes in what another instance told, or what was stored. True when it is
 * news. An entry with too many servers, or that says nothing, is dropped. */
bool quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_entry *entry);
/* Copies the next entries, at most so many, beginning where the last call
 * ended; returns how many. */
uint32_t quarantine_next(struct quarantine *quarantine,
			 struct quarantine_entry *entries, uint32_t max);
/* A work that is held and not stored yet, or the other way round; false when
 * there is none. */
bool quarantine_unstored(const struct quarantine *quarantine,
			 struct quarantine_entry *entry);
/* It has been written, or dropped. */
void quarantine_stored(struct quarantine *quarantine,
		       const struct request_fingerprint *fingerprint,
		       bool stored);

#endif
