#include "forward/reader.h"

#include <math.h>

#include <glib.h>

#include "common/id.h"

/* Highest rank that lengthens the wait of an instance without a copy. After a
 * start of all instances, copies reach every one within about three seconds. */
#define START_RANK_MAX 10u
/* Multiplies that wait where copies pass between groups, which takes longer. */
#define START_GROUPED_FACTOR 4
/* Peers, if there are any, announce themselves within this time of being
 * listed. */
#define DISCOVERY_USEC (150 * USEC_PER_MSEC)
/* Longest wait for the list of peers and for their first announcements. */
#define LIST_WAIT_USEC (1 * USEC_PER_SEC)
/* The range over which reads are spread, and the pause after a failed read, are
 * at least this long per known instance. The store answers thousands of reads a
 * second. */
#define PER_INSTANCE_USEC (2 * USEC_PER_MSEC)
/* If at least this many instances of the local data centre do not reach the
 * store, they retry one after another, SLOT_USEC apart. */
#define UNREACHABLE_MIN 2u
#define SLOT_USEC (300 * USEC_PER_MSEC)
/* An instance without a copy cannot serve, so it waits for fewer slots. */
#define SLOTS_WITHOUT_COPY 4u
/* All instances read the list of instances at a start. Retries of failed reads,
 * by all instances together, are this far apart. */
#define LIST_SLOT_USEC (20 * USEC_PER_MSEC)
/* How often an instance that the store refuses, but that has a current copy
 * from a peer, probes the store. */
#define PROBE_INTERVAL_USEC (5 * USEC_PER_SEC)

/* Until peers announce themselves the rank is unknown. All instances may have
 * started at the same moment, so the highest rank is assumed. */
static uint32_t start_rank(const struct reader_state *state,
			   const struct reader_place *place, int64_t now)
{
	bool is_starting = now - state->synced_at < LIST_WAIT_USEC;

	if (is_starting && place->silent_peers > place->peers / 2)
		return START_RANK_MAX;
	return MIN(place->rank, START_RANK_MAX);
}

static int64_t start_staleness_bound(const struct reader_state *state,
				     const struct reader_place *place,
				     int64_t now)
{
	int64_t bound = (int64_t)start_rank(state, place, now) *
				READER_RANK_STALENESS_USEC +
			(state->peers_listed ? DISCOVERY_USEC : LIST_WAIT_USEC);

	return bound * (place->delay_usec > 0 ? START_GROUPED_FACTOR : 1);
}

/* Fraction in [0, 1) of the wait of an instance that does not know its rank.
 * The number of instances whose wait is over grows exponentially with time. */
static double random_fraction(const struct reader_state *state,
			      const struct reader_place *place)
{
	double scale = log((double)place->instances + 1.0) + 1.0;
	uint64_t hash = id_mix(state->seed, (uint64_t)state->synced_at);
	double uniform = (double)(hash >> 32) / (double)UINT32_MAX;

	return log1p(uniform * expm1(scale)) / scale;
}

/* The same fraction by rank, once the peers are known. */
static double rank_fraction(const struct reader_place *place)
{
	double all = log(MAX(place->peers + 1, 2u));

	return MIN(log(place->rank) / all, 1.0);
}

/* Staleness allowed beyond that of rank 0. An instance that failed to read the
 * list of instances gets no answer from the store, and knows few of the
 * instances that read it at the same time. */
static int64_t rank_staleness(const struct reader_state *state,
			      const struct reader_place *place)
{
	int64_t widest = MAX(READER_RANK_STALENESS_USEC,
			     (int64_t)place->instances * PER_INSTANCE_USEC);

	if (!state->peers_listed)
		return START_RANK_MAX * READER_RANK_STALENESS_USEC +
		       (int64_t)((double)widest *
				 random_fraction(state, place));
	return READER_RANK_STALENESS_USEC +
	       (int64_t)((double)widest * rank_fraction(place));
}

int64_t reader_staleness_bound(const struct reader_state *state,
			       const struct reader_place *place, int64_t now)
{
	if (!state->has_copy)
		return start_staleness_bound(state, place, now);
	/* The rank is uncertain before the peers are known. The copy of an
	 * instance that reads the store may be as old as two answer times of
	 * the store. */
	if (place->rank > 0 || (!state->peers_listed && place->instances > 1))
		return READER_STALENESS_USEC + place->delay_usec +
		       rank_staleness(state, place) + 2 * state->latency;
	/* Rank 0 starts the next long poll at once. */
	return state->long_poll ? 0 : READER_STALENESS_USEC;
}

/* Jitter, so that instances refused at the same moment do not retry together.
 */
static int64_t pause_jittered(const struct reader_state *state, int64_t pause)
{
	uint64_t hash = id_mix(state->seed, (uint64_t)state->failed_at);

	return pause / 2 + (int64_t)(hash % (uint64_t)(pause + 1));
}

/* Instances that the store refuses retry one after another, in the order of
 * their ranks. */
static bool is_own_slot(const struct reader_state *state,
			const struct reader_place *place, int64_t now)
{
	int64_t stale_at = state->synced_at + READER_STALENESS_USEC +
			   2 * READER_RANK_STALENESS_USEC;
	uint32_t slots = place->store_unreachable + 1;

	if (!state->has_copy)
		slots = MIN(slots, SLOTS_WITHOUT_COPY);
	return MAX(now - stale_at, 0) / SLOT_USEC % slots ==
	       place->rank % slots;
}

/* Whether a failed read may be retried now. */
static bool may_retry(const struct reader_state *state,
		      const struct reader_place *place, int64_t now,
		      bool is_stale)
{
	int64_t min_pause = (int64_t)place->instances * PER_INSTANCE_USEC;
	int64_t since = now - state->failed_at;
	bool is_first_retry =
		state->failed_at < state->synced_at + READER_STALENESS_USEC;

	if (since < state->backoff)
		return false;
	if (state->has_copy && !is_stale)
		return since >= pause_jittered(state, PROBE_INTERVAL_USEC);
	if (state->has_copy && is_first_retry)
		return true;
	if (place->store_unreachable < UNREACHABLE_MIN)
		return since >= min_pause;
	return since >= MAX(SLOT_USEC, min_pause) &&
	       is_own_slot(state, place, now);
}

bool reader_is_due(const struct reader_state *state,
		   const struct reader_place *place, int64_t now)
{
	bool is_stale = now - state->synced_at >=
			reader_staleness_bound(state, place, now);

	return state->failing ? may_retry(state, place, now, is_stale)
			      : is_stale;
}

bool reader_list_is_due(const struct reader_state *state, uint32_t peers,
			int64_t now)
{
	int64_t pause = 0;

	/* The pause doubles, because reads of other instances may keep the
	 * store busy. */
	if (peers > 0)
		pause = MAX((int64_t)peers * LIST_SLOT_USEC,
			    state->failed_at - state->synced_at);
	return state->failing &&
	       now - state->failed_at >=
		       MAX(pause_jittered(state, pause), state->backoff);
}
