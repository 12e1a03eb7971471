/*
 * dispatch_grant.c - grants, their leases, and what their ends tell
 */
#include "dispatch_private.h"

/* Weight of a measured time, and the factor by which one may differ from the
 * mean: the server may have changed its pace during the call. */
#define MEAN_WEIGHT 0.05
#define MEAN_STEP 3.0
#define MEAN_MIN_USEC 200.0
#define MEAN_MAX_USEC 10e6
/* Weight of a measured time in the pace of a server that states none. */
#define PACE_WEIGHT 0.3
#define PACE_MIN 0.25
#define PACE_MAX 4.0

void dispatch_grant_add(struct dispatch *dispatch, int64_t now,
			struct dispatch_server *server,
			const struct dispatch_call *call, bool late,
			struct dispatch_answer *answer)
{
	struct dispatch_grant *grant = g_new0(struct dispatch_grant, 1);
	double lease = DISPATCH_LEASE_MEANS * dispatch->mean_usec *
		       MAX(dispatch_pace(server, now), 1.0);

	grant->call = *call;
	grant->server = server->key;
	grant->lease_until = now + MAX((int64_t)lease, DISPATCH_LEASE_MIN_USEC);
	grant->late = late;
	grant->queued = answer->terms.wait_usec > 0.0;
	grant->waited_usec = answer->usec;
	server->outstanding++;
	server->late += late;
	g_hash_table_insert(dispatch->grants, &grant->call, grant);
	dispatch_share_add(dispatch, now, call->organisation);
	if (call->organisation)
		dispatch->sorted = false;
	answer->result = DISPATCH_GRANTED;
	answer->server = server->key;
}

/* Takes the grant from its server, which may be gone. */
static struct dispatch_server *grant_release(const struct dispatch *dispatch,
					     const struct dispatch_grant *grant)
{
	struct dispatch_server *server =
		g_hash_table_lookup(dispatch->servers, &grant->server);

	if (server) {
		server->outstanding--;
		server->late -= grant->late;
	}
	return server;
}

void dispatch_leases_expire(struct dispatch *dispatch, int64_t now)
{
	struct dispatch_grant *grant;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, dispatch->grants);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&grant)) {
		if (now < grant->lease_until)
			continue;
		(void)grant_release(dispatch, grant);
		g_hash_table_iter_remove(&iter);
	}
}

/* Requests that the server states beyond the grants; its figures include the
 * call that has ended, or calls whose ends are still on their way. */
static void others_learn(struct dispatch_server *server, int64_t now,
			 const struct server_load *load)
{
	uint32_t stated = load->running + load->waiting;

	server->others =
		stated > server->outstanding ? stated - server->outstanding : 0;
	server->others_until = now + DISPATCH_STATED_USEC;
}

static void pace_set(struct dispatch_server *server, int64_t now, double pace)
{
	server->pace = CLAMP(pace, PACE_MIN, PACE_MAX);
	server->paced_at = now;
}

static void time_learn(struct dispatch *dispatch, int64_t now,
		       struct dispatch_server *server,
		       const struct dispatch_end *end)
{
	double mean = dispatch->mean_usec;
	double pace = (double)end->usec / mean;
	double usual;

	if (!end->load.known || end->load.pace <= 0.0) {
		double before = dispatch_pace(server, now);

		pace_set(server, now, before + PACE_WEIGHT * (pace - before));
	}
	usual = (double)end->usec / server->pace;
	usual = CLAMP(usual, mean / MEAN_STEP, mean * MEAN_STEP);
	mean += MEAN_WEIGHT * (usual - mean);
	dispatch->mean_usec = CLAMP(mean, MEAN_MIN_USEC, MEAN_MAX_USEC);
}

bool dispatch_grant_end(struct dispatch *dispatch, int64_t now,
			const struct dispatch_end *end)
{
	const struct dispatch_call call = {.from = end->from, .id = end->id};
	struct dispatch_grant *grant =
		g_hash_table_lookup(dispatch->grants, &call);
	struct dispatch_server *server;

	if (!grant)
		return false;
	server = g_hash_table_lookup(dispatch->servers, &grant->server);
	if (server && end->load.known) {
		others_learn(server, now, &end->load);
		if (end->load.pace > 0.0)
			pace_set(server, now, end->load.pace);
	}
	/* A call that has queued at the server took longer than its run. */
	if (server && end->usec > 0 && !end->refused && !grant->queued)
		time_learn(dispatch, now, server, end);
	(void)grant_release(dispatch, grant);
	g_hash_table_remove(dispatch->grants, &call);
	return true;
}
