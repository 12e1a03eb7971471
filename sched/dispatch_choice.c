/*
 * dispatch_choice.c - the server of the next call, and whether a call can still
 * be in time
 */
#include <float.h>
#include <math.h>

#include "dispatch_private.h"

/* A pace loses half of its difference from the usual one in this time, as
 * servers change theirs several times a second. */
#define PACE_HALF_LIFE_USEC 300e3

/* Longest drain time that a retry delay is computed from: no server may be
 * usable. */
#define RETRY_MAX_USEC 500e3

double dispatch_pace(const struct dispatch_server *server, int64_t now)
{
	double age = (double)MAX(now - server->paced_at, 0);

	return 1.0 + (server->pace - 1.0) * exp2(-age / PACE_HALF_LIFE_USEC);
}

static uint32_t others_now(const struct dispatch_server *server, int64_t now)
{
	return now < server->others_until ? server->others : 0;
}

static uint32_t in_progress(const struct dispatch_server *server, int64_t now)
{
	return server->outstanding + others_now(server, now);
}

void dispatch_terms_of(const struct dispatch *dispatch,
		       const struct dispatch_server *server, int64_t now,
		       struct dispatch_terms *terms)
{
	uint32_t after = in_progress(server, now) + 1;
	uint32_t beyond = after > server->slots ? after - server->slots : 0;
	double pace = dispatch_pace(server, now);
	double run = dispatch->mean_usec * pace;

	*terms = (struct dispatch_terms){
		.server = server->key,
		.outstanding = server->outstanding,
		.others = others_now(server, now),
		.slots = server->slots,
		.mean_usec = dispatch->mean_usec,
		.pace = pace,
		.wait_usec = (double)beyond / server->slots * run,
		.run_usec = run,
	};
}

static bool is_avoided(const struct dispatch_call *call, uint64_t server)
{
	for (uint32_t i = 0; i < call->avoid_count; i++)
		if (call->avoid[i] == server)
			return true;
	return false;
}

static bool has_place(const struct dispatch_server *server, int64_t now)
{
	return server->usable &&
	       in_progress(server, now) < server->slots + DISPATCH_EXTRA;
}

struct dispatch_server *dispatch_choose(const struct dispatch *dispatch,
					int64_t now,
					const struct dispatch_call *call,
					bool late, struct dispatch_terms *terms)
{
	struct dispatch_server *best = NULL;
	struct dispatch_server *server;
	struct dispatch_terms current;
	double earliest = DBL_MAX;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, dispatch->servers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&server)) {
		if (!has_place(server, now) || is_avoided(call, server->key) ||
		    (late && server->late > 0))
			continue;
		dispatch_terms_of(dispatch, server, now, &current);
		if (current.wait_usec + current.run_usec >= earliest)
			continue;
		earliest = current.wait_usec + current.run_usec;
		best = server;
		*terms = current;
	}
	return best;
}

void dispatch_capacity_of(const struct dispatch *dispatch, int64_t now,
			  struct dispatch_capacity *capacity)
{
	const struct dispatch_server *server;
	double fastest = DBL_MAX;
	GHashTableIter iter;

	*capacity = (struct dispatch_capacity){.run_usec = DBL_MAX};
	g_hash_table_iter_init(&iter, dispatch->servers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&server)) {
		double pace = dispatch_pace(server, now);

		if (!server->usable)
			continue;
		capacity->rate += server->slots / (dispatch->mean_usec * pace);
		if (has_place(server, now))
			capacity->free += server->slots + DISPATCH_EXTRA -
					  in_progress(server, now);
		fastest = MIN(fastest, pace);
	}
	if (fastest < DBL_MAX)
		capacity->run_usec = fastest * dispatch->mean_usec;
}

double dispatch_wait(const struct dispatch_capacity *capacity, uint32_t before)
{
	if (before < capacity->free)
		return 0.0;
	return capacity->rate > 0.0
		       ? (double)(before - capacity->free + 1) / capacity->rate
		       : DBL_MAX;
}

bool dispatch_in_time(const struct dispatch_capacity *capacity,
		      double wait_usec, int64_t left_usec)
{
	return wait_usec + capacity->run_usec + DISPATCH_TRANSIT_USEC <=
	       (double)left_usec;
}

int64_t dispatch_retry(const struct dispatch *dispatch,
		       const struct dispatch_capacity *capacity)
{
	double drain = dispatch_wait(capacity, dispatch->queue->len);

	drain = MIN(MAX(drain, dispatch->mean_usec), RETRY_MAX_USEC);
	return (int64_t)(drain * (1.0 + dispatch->ops.random(dispatch->ctx)));
}
