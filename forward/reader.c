#include "forward/reader.h"

#include <math.h>

#include <glib.h>

#include "common/id.h"

/* Most ranks that wait the longer while an instance has no copy: copies reach
 * all within some three seconds of a start of all. */
#define START_RANK_MAX 10u
/* How much longer each rank waits then where copies pass between groups. */
#define START_GROUPED 4
/* Peers are heard of within this time of being listed, if there are any. */
#define START_USEC (150 * USEC_PER_MSEC)
/* So long the list of peers, and a word of them, is waited for. */
#define LISTED_USEC (1 * USEC_PER_SEC)
/* Each instance that is known widens the time over which all ask, and that
 * between reads that failed: the store answers thousands a second. */
#define INSTANCE_USEC (2 * USEC_PER_MSEC)
/* From so many instances near on that the store refuses they take turns, so far
 * apart. */
#define STORELESS_LEAST 2u
#define TURN_USEC (300 * USEC_PER_MSEC)
/* One without a copy cannot serve, and waits for few turns. */
#define TURNS_WITHOUT_COPY 4u
/* All instances read the list of instances at a start; those that failed come
 * again so far apart. */
#define LIST_TURN_USEC (20 * USEC_PER_MSEC)
/* How often an instance that the store refuses, and that has a copy from a
 * peer, asks whether it still does. */
#define PROBE_USEC (5 * USEC_PER_SEC)

/* No rank is known before peers are heard of, and all may have just started. */
static uint32_t start_rank(const struct reader_state *state,
			   const struct reader_place *place, int64_t now)
{
	bool is_early = now - state->fresh < LISTED_USEC;

	if (is_early && place->silent_peers > place->peers / 2)
		return START_RANK_MAX;
	return MIN(place->rank, START_RANK_MAX);
}

static int64_t start_patience(const struct reader_state *state,
			      const struct reader_place *place, int64_t now)
{
	int64_t patience = (int64_t)start_rank(state, place, now) *
				   READER_RANK_STALENESS_USEC +
			   (state->listed ? START_USEC : LISTED_USEC);

	return patience * (place->delay_usec > 0 ? START_GROUPED : 1);
}

/* In [0, 1): which part of a time an instance waits where it does not know who
 * else waits. As many have waited it out as grows exponentially with it. */
static double drawn_part(const struct reader_state *state,
			 const struct reader_place *place)
{
	double scale = log((double)place->instances + 1.0) + 1.0;
	uint64_t hash = id_mix(state->seed, (uint64_t)state->fresh);
	double drawn = (double)(hash >> 32) / (double)UINT32_MAX;

	return log1p(drawn * expm1(scale)) / scale;
}

/* The same by rank, which is known once peers are. */
static double ranked_part(const struct reader_place *place)
{
	double all = log(MAX(place->peers + 1, 2u));

	return MIN(log(place->rank) / all, 1.0);
}

/* Beyond that of the first. Who could not read the list of instances is not
 * answered by the store, and knows few of those that ask with it. */
static int64_t rank_staleness(const struct reader_state *state,
			      const struct reader_place *place)
{
	int64_t most = MAX(READER_RANK_STALENESS_USEC,
			   (int64_t)place->instances * INSTANCE_USEC);

	if (!state->listed)
		return START_RANK_MAX * READER_RANK_STALENESS_USEC +
		       (int64_t)((double)most * drawn_part(state, place));
	return READER_RANK_STALENESS_USEC +
	       (int64_t)((double)most * ranked_part(place));
}

int64_t reader_staleness_bound(const struct reader_state *state,
			       const struct reader_place *place, int64_t now)
{
	if (!state->has_copy)
		return start_patience(state, place, now);
	/* No rank is sure before peers are known. What a reader holds is up to
	 * two answers old. */
	if (place->rank > 0 || (!state->listed && place->instances > 1))
		return READER_STALENESS_USEC + place->delay_usec +
		       rank_staleness(state, place) + 2 * state->lag;
	/* A read that waits is begun at once by the first. */
	return state->waits ? 0 : READER_STALENESS_USEC;
}

/* Instances that were refused at the same moment do not come again together. */
static int64_t pause_spread(const struct reader_state *state, int64_t pause)
{
	uint64_t hash = id_mix(state->seed, (uint64_t)state->failed);

	return pause / 2 + (int64_t)(hash % (uint64_t)(pause + 1));
}

/* Instances that are refused ask one after the other, in the order of ranks. */
static bool is_turn(const struct reader_state *state,
		    const struct reader_place *place, int64_t now)
{
	int64_t old_at = state->fresh + READER_STALENESS_USEC +
			 2 * READER_RANK_STALENESS_USEC;
	uint32_t turns = place->store_unreachable + 1;

	if (!state->has_copy)
		turns = MIN(turns, TURNS_WITHOUT_COPY);
	return MAX(now - old_at, 0) / TURN_USEC % turns == place->rank % turns;
}

/* Whether a read that failed may be repeated. */
static bool may_retry(const struct reader_state *state,
		      const struct reader_place *place, int64_t now,
		      bool is_old)
{
	int64_t least = (int64_t)place->instances * INSTANCE_USEC;
	int64_t since = now - state->failed;
	bool once = state->failed < state->fresh + READER_STALENESS_USEC;

	if (since < state->backoff)
		return false;
	if (state->has_copy && !is_old)
		return since >= pause_spread(state, PROBE_USEC);
	if (state->has_copy && once)
		return true;
	if (place->store_unreachable < STORELESS_LEAST)
		return since >= least;
	return since >= MAX(TURN_USEC, least) && is_turn(state, place, now);
}

bool reader_is_due(const struct reader_state *state,
		   const struct reader_place *place, int64_t now)
{
	bool is_old =
		now - state->fresh >= reader_staleness_bound(state, place, now);

	return state->failing ? may_retry(state, place, now, is_old) : is_old;
}

bool reader_list_is_due(const struct reader_state *state, uint32_t peers,
			int64_t now)
{
	int64_t pause = 0;

	/* Doubles, as the store may be kept busy by others that ask for it. */
	if (peers > 0)
		pause = MAX((int64_t)peers * LIST_TURN_USEC,
			    state->failed - state->fresh);
	return state->failing &&
	       now - state->failed >=
		       MAX(pause_spread(state, pause), state->backoff);
}
