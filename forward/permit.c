/*
 * permit.c - whether a request may be sent to a server that names a limit
 *
 * DESCRIPTION
 *	The limit holds for all instances together, so one of them, the server's
 *	home, is asked for each request that has begun or is to be read there.
 *	Calls about a request (reservations, results, health, orders) do not
 *	count: a reservation goes out once its request has its permit, and what
 *	is given back must not wait.
 *
 *	While an answer is awaited the request is neither sent nor in the queue.
 *	Whatever the answer, the step that asked goes on: with the permit, or by
 *	choosing another server.
 */
#include "request.h"

#include "common/log.h"

/* A home answers within a round trip, also between data centres; one that does
 * not may be gone, and is noticed by then by nobody else. */
#define ANSWER_USEC (40 * USEC_PER_MSEC)
/* How long a server whose home does not answer is passed over. */
#define SILENT_USEC (200 * USEC_PER_MSEC)

static void limit_log(const struct forward *forward,
		      const struct backend *backend, double before,
		      const char *from)
{
	const struct backpressure *table = forward->parts.backpressure;

	log_event(LOG_NOTICE, "backend_limit",
		  LOG_S("backend", backend->info.id),
		  LOG_D("born", backend->info.born),
		  LOG_F("per_s", backpressure_limit(table, backend->key)),
		  LOG_F("before", before), LOG_S("from", from));
}

static void leaving_log(const struct backend *backend, const char *from)
{
	log_event(LOG_NOTICE, "backend_leaves",
		  LOG_S("backend", backend->info.id),
		  LOG_D("born", backend->info.born),
		  LOG_D("listed_leaving", backend->info.leaving),
		  LOG_S("from", from));
}

static void rest_log(const struct forward *forward,
		     const struct backend *backend)
{
	const struct forward_parts *parts = &forward->parts;
	int64_t until = backpressure_rest(parts->backpressure, backend->key);

	log_event(
		LOG_NOTICE, "backend_rests", LOG_S("backend", backend->info.id),
		LOG_D("born", backend->info.born),
		LOG_D("ms", (until - clock_now(parts->clock)) / USEC_PER_MSEC));
}

/* Of lives that are not listed nothing is logged: they are gone, or not known
 * yet. */
static void changes_take(const struct forward *forward, uint64_t server,
			 unsigned int changed, double before, const char *from)
{
	const struct backend *backend =
		fleet_find(forward->parts.fleet, server);

	if (!backend || !changed)
		return;
	fleet_heed(forward->parts.fleet, server);
	if (changed & BACKPRESSURE_LIMIT)
		limit_log(forward, backend, before, from);
	if (changed & BACKPRESSURE_LEAVING)
		leaving_log(backend, from);
	if (changed & BACKPRESSURE_REST)
		rest_log(forward, backend);
}

void permit_signals(void *ctx, uint64_t server,
		    const struct backpressure_signals *signals)
{
	struct forward *forward = ctx;
	const struct forward_parts *parts = &forward->parts;
	double before = backpressure_limit(parts->backpressure, server);
	unsigned int changed = backpressure_answer(
		parts->backpressure, clock_now(parts->clock), server, signals);

	changes_take(forward, server, changed, before, "answer");
}

void forward_fact(struct forward *forward, const struct backpressure_fact *fact)
{
	const struct forward_parts *parts = &forward->parts;
	double before = backpressure_limit(parts->backpressure, fact->server);
	unsigned int changed = backpressure_hear(parts->backpressure,
						 clock_now(parts->clock), fact);

	changes_take(forward, fact->server, changed, before, "peer");
}

static void denied_log(const struct request *request,
		       const struct backend *backend, int64_t retry_usec,
		       const char *why)
{
	const struct backpressure *table = request->forward->parts.backpressure;

	log_event(LOG_INFO, "permit_denied",
		  LOG_S("request", request->caller.id),
		  LOG_S("backend", backend->info.id),
		  LOG_F("per_s", backpressure_limit(table, backend->key)),
		  LOG_D("retry_ms", retry_usec / USEC_PER_MSEC),
		  LOG_S("why", why));
}

static void deny(const struct request *request, struct backend *backend,
		 int64_t retry_usec, const char *why)
{
	backend->closed_until = request_now(request) + MAX(retry_usec, 1);
	request->forward->permits_denied->value++;
	denied_log(request, backend, retry_usec, why);
}

enum permit request_permit(struct request *request, struct backend *backend,
			   enum permit_step step)
{
	const struct forward_parts *parts = &request->forward->parts;
	int64_t retry_usec = 0;
	enum permit permit;

	if (backpressure_limit(parts->backpressure, backend->key) < 0.0)
		return PERMIT_GRANTED;
	permit = parts->permit(parts->instances_ctx, backend, request->handle,
			       &retry_usec);
	if (permit == PERMIT_DENIED)
		deny(request, backend, retry_usec, "limit");
	if (permit != PERMIT_ASKED)
		return permit;
	request->asks++;
	request->permit_step = step;
	request->permit_from = backend->key;
	timer_start(&request->permit_timer, ANSWER_USEC);
	return PERMIT_ASKED;
}

void permit_forget(struct request *request)
{
	timer_stop(&request->permit_timer);
	request->permit_step = PERMIT_STEP_NONE;
}

/* The server that was asked for; NULL when it may not be used any more. */
static struct backend *permit_backend(const struct request *request)
{
	struct backend *backend =
		fleet_find(request->forward->parts.fleet, request->permit_from);

	if (!backend || !backend_usable(backend, request_now(request)))
		return NULL;
	return backend;
}

static void permit_settle(struct request *request, bool granted)
{
	enum permit_step step = request->permit_step;
	struct backend *backend = granted ? permit_backend(request) : NULL;

	permit_forget(request);
	switch (step) {
	case PERMIT_STEP_CALL:
		plain_permitted(request, backend);
		break;
	case PERMIT_STEP_RESERVE:
		stream_permitted(request, backend);
		break;
	case PERMIT_STEP_PREFILL:
		prefill_permitted(request, backend);
		break;
	case PERMIT_STEP_NONE:
		break;
	}
}

void permit_unanswered(struct timer *timer, void *ctx)
{
	struct request *request = ctx;
	struct backend *backend = permit_backend(request);

	if (backend)
		deny(request, backend, SILENT_USEC, "home is silent");
	permit_settle(request, false);
}

void forward_permit(struct forward *forward, uint64_t id, uint64_t server,
		    bool granted, int64_t retry_usec)
{
	struct request *request = table_get(forward->requests, id);
	struct backend *backend = fleet_find(forward->parts.fleet, server);

	if (!request || request->permit_step == PERMIT_STEP_NONE ||
	    request->permit_from != server)
		return;
	if (backend && !granted)
		deny(request, backend, retry_usec, "limit");
	permit_settle(request, granted);
}
