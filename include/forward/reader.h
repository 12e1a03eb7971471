/*
 * reader.h - decides when an instance reads the store, for itself and its peers
 *
 * DESCRIPTION
 *	An instance reads a stream of the store when its copy is older than its
 *	staleness bound. The bound grows with the logarithm of the instance's
 *	rank among the live instances of its data centre; instances that the
 *	store refuses rank last. The first instance reads all the time, and the
 *	next ones start when its announcements stop. So no reader is elected,
 *	and a reader that stops, is partitioned or is refused by the store is
 *	replaced: within READER_STALENESS_USEC + 2 * READER_RANK_STALENESS_USEC
 *	every instance whose copy is still stale has read the store once,
 *	including instances that were refused before. From 225 instances on, the
 *	second READER_RANK_STALENESS_USEC is replaced by 2 ms per instance.
 *
 *	Refused instances then retry one after another, one every 300 ms, or
 *	every five seconds while they get current copies from a peer. Where the
 *	store is slow, the bound grows by twice its answer time.
 *
 *	The functions keep no state and do no I/O: the caller passes the state
 *	and the time.
 */
#ifndef FORWARD_READER_H
#define FORWARD_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* Read interval of the first instance of a data centre. A change must be in
 * force everywhere within two seconds. */
#define READER_STALENESS_USEC (700 * USEC_PER_MSEC)
/* Added for rank 1; the last rank adds it twice. Gossip from the first instance
 * arrives at least every 300 ms. */
#define READER_RANK_STALENESS_USEC (450 * USEC_PER_MSEC)

/* The position of an instance among those that can read for each other. */
struct reader_place {
	uint32_t rank;		    /* as gossip_rank() */
	uint32_t peers;		    /* in the local data centre */
	uint32_t silent_peers;	    /* peers that have sent nothing yet */
	uint32_t instances;	    /* known in all data centres */
	uint32_t store_unreachable; /* local peers that the store does not
				       answer and whose copies are stale */
	int64_t delay_usec; /* extra delay of gossip compared to a single data
			       centre */
};

/* The state of a stream at an instance. Times are microseconds of its clock. */
struct reader_state {
	bool has_copy;
	int64_t synced_at; /* when its copy was last known to be complete;
			      without a copy, its start */
	bool peers_listed; /* the list of peers has been read */
	bool long_poll;	   /* reads wait for a record */
	int64_t latency;   /* of the last answer */
	bool failing;	   /* the last read failed */
	int64_t failed_at; /* time of that failure */
	int64_t backoff;   /* minimum pause before the next read */
	uint64_t seed;	   /* of the instance, for jitter */
};

/* Age of the copy up to which the instance leaves reading to its peers. */
int64_t reader_staleness_bound(const struct reader_state *state,
			       const struct reader_place *place, int64_t now);
/* Whether the instance must read the store now. */
bool reader_is_due(const struct reader_state *state,
		   const struct reader_place *place, int64_t now);
/* Whether an instance that failed to read the list of instances, and knows this
 * many peers, must retry now. All instances together retry at most about 50
 * times a second. synced_at is the time of the first attempt; otherwise only
 * failing, failed_at, backoff and seed are used. */
bool reader_list_is_due(const struct reader_state *state, uint32_t peers,
			int64_t now);

#endif
