/*
 * reader.h - when an instance reads the store, for itself and its peers
 *
 * DESCRIPTION
 *	An instance reads a stream of the store when its copy has not been sure
 *	for longer than its patience, which grows with the logarithm of its rank
 *	among the live instances of its data centre, those that the store
 *	refuses last: the first reads all the time, the next ones begin when
 *	they do not hear from it. So no reader is elected, and one that stops,
 *	is cut off or is refused by the store is made up for: within
 *	READER_STALENESS_USEC + 2 * READER_RANK_STALENESS_USEC each instance
 *whose copy is still old has asked the store once, also those that it refused
 *earlier. From 225 instances on the second READER_RANK_STALENESS_USEC is 2 ms
 *for each of them. Who is refused then asks again in turn with the others that
 *are, one each 300 ms; and each five seconds while copies come from a peer.
 *Where the store is slow patience grows by twice the time that its answer took.
 *
 *	Nothing here reads or waits: the caller tells the state and the time.
 */
#ifndef FORWARD_READER_H
#define FORWARD_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* The first instance of a data centre reads so often. A change is to be
 * followed within two seconds everywhere. */
#define READER_STALENESS_USEC (700 * USEC_PER_MSEC)
/* The second waits so much longer, the last twice that: gossip of the first one
 * comes every 300 ms at least. */
#define READER_RANK_STALENESS_USEC (450 * USEC_PER_MSEC)

/* Where an instance stands among those that could read for each other. */
struct reader_place {
	uint32_t rank;		    /* as gossip_rank() */
	uint32_t peers;		    /* near */
	uint32_t silent_peers;	    /* those that have told nothing yet */
	uint32_t instances;	    /* known in all data centres */
	uint32_t store_unreachable; /* those near that the store does not
				     * answer, and whose copies are old */
	int64_t delay_usec; /* that gossip takes beyond a data centre's pace */
};

/* What an instance has of a stream; times in microseconds of its clock. */
struct reader_state {
	bool has_copy;
	int64_t synced_at; /* its copy was sure; without one, its start */
	bool peers_listed; /* its peers are known */
	bool long_poll;	   /* a read waits for a record */
	int64_t latency;   /* that the last answer took */
	bool failing;	   /* the last read failed */
	int64_t failed_at; /* when it did */
	int64_t backoff;   /* least time until the next one */
	uint64_t seed;	   /* of the instance */
};

/* How long the instance leaves reading to others. */
int64_t reader_staleness_bound(const struct reader_state *state,
			       const struct reader_place *place, int64_t now);
/* Whether it is to read now. */
bool reader_is_due(const struct reader_state *state,
		   const struct reader_place *place, int64_t now);
/* Whether an instance that could not read the list of instances, and knows so
 * many peers, is to try again: all together some 50 times a second at the most.
 * fresh is when it read it first; of the rest only what concerns failed reads
 * counts. */
bool reader_list_is_due(const struct reader_state *state, uint32_t peers,
			int64_t now);

#endif
