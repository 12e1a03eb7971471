#include "forward/reader.h"

#include <math.h>

#include <glib.h>

#include "common/id.h"

/* Most ranks that wait the longer while an instance has no copy: copies reach
 * all within some three seconds of a start of all. */
#define START_RANK_MAX 10u
/* How much longer each rank waits then where copies pass between groups. */
#define START_GROUPED_FACTOR 4
/* Peers are heard of within this time of being listed, if there are any. */
#define DISCOVERY_USEC (150 * USEC_PER_MSEC)
/* So long the list of peers, and a word of them, is waited for. */
#define LIST_WAIT_USEC (1 * USEC_PER_SEC)
/* Each instance that is known widens the time over which all ask, and that
 * between reads that failed: the store answers thousands a second. */
#define PER_INSTANCE_USEC (2 * USEC_PER_MSEC)
/* From so many instances near on that the store refuses they take slots, so far
 * apart. */
#define UNREACHABLE_MIN 2u
#define SLOT_USEC (300 * USEC_PER_MSEC)
/* One without a copy cannot serve, and waits for few slots. */
#define SLOTS_WITHOUT_COPY 4u
/* All instances read the list of instances at a start; those that failed come
 * again so far apart. */
#define LIST_SLOT_USEC (20 * USEC_PER_MSEC)
/* How often an instance that the store refuses, and that has a copy from a
 * peer, asks whether it still does. */
#define PROBE_USEC (5 * USEC_PER_SEC)

/* No rank is known before peers are heard of, and all may have just started. */
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

/* In [0, 1): which part of a time an instance waits where it does not know who
 * else waits. As many have waited it out as grows exponentially with it. */
static double random_part(const struct reader_state *state,
			  const struct reader_place *place)
{
	double scale = log((double)place->instances + 1.0) + 1.0;
	uint64_t hash = id_mix(state->seed, (uint64_t)state->synced_at);
	double uniform = (double)(hash >> 32) / (double)UINT32_MAX;

	return log1p(uniform * expm1(scale)) / scale;
}

/* The same by rank, which is known is_first_retry peers are. */
static double rank_part(const struct reader_place *place)
{
	double all = log(MAX(place->peers + 1, 2u));

	return MIN(log(place->rank) / all, 1.0);
}

/* Beyond that of the first. Who could not read the list of instances is not
 * answered by the store, and knows few of those that ask with it. */
static int64_t rank_staleness(const struct reader_state *state,
			      const struct reader_place *place)
{
	int64_t widest = MAX(READER_RANK_STALENESS_USEC,
			     (int64_t)place->instances * PER_INSTANCE_USEC);

	if (!state->peers_listed)
		return START_RANK_MAX * READER_RANK_STALENESS_USEC +
		       (int64_t)((double)widest * random_part(state, place));
	return READER_RANK_STALENESS_USEC +
	       (int64_t)((double)widest * rank_part(place));
}

int64_t reader_staleness_bound(const struct reader_state *state,
			       const struct reader_place *place, int64_t now)
{
	if (!state->has_copy)
		return start_staleness_bound(state, place, now);
	/* No rank is sure before peers are known. What a reader holds is up to
	 * two answers old. */
	if (place->rank > 0 || (!state->peers_listed && place->instances > 1))
		return READER_STALENESS_USEC + place->delay_usec +
		       rank_staleness(state, place) + 2 * state->latency;
	/* A read that waits is begun at is_first_retry by the first. */
	return state->long_poll ? 0 : READER_STALENESS_USEC;
}

/* Instances that were refused at the same moment do not come again together. */
static int64_t pause_jittered(const struct reader_state *state, int64_t pause)
{
	uint64_t hash = id_mix(state->seed, (uint64_t)state->failed_at);

	return pause / 2 + (int64_t)(hash % (uint64_t)(pause + 1));
}

/* Instances that are refused ask one after the other, in the order of ranks. */
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

/* Whether a read that failed may be repeated. */
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
		return since >= pause_jittered(state, PROBE_USEC);
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

	/* Doubles, as the store may be kept busy by others that ask for it. */
	if (peers > 0)
		pause = MAX((int64_t)peers * LIST_SLOT_USEC,
			    state->failed_at - state->synced_at);
	return state->failing &&
	       now - state->failed_at >=
		       MAX(pause_jittered(state, pause), state->backoff);
}
