/*
 * permit.c - permission to send a request to a server with a limit
 *
 * DESCRIPTION
 *	A limit holds for all instances together. So one of them, the server's
 *	home, must grant a permit before each run and each prefill. Reservations
 *	need no permit, since each is followed by one run at most. Nor do health
 *	checks, orders, and calls that give something back.
 *
 *	While a request waits for a permit it is neither sent nor queued. After
 *	the answer, the step that requested the permit continues: with the
 *	permit, or by choosing another server.
 */
#include "request.h"

#include "common/log.h"

/* Timeout for the answer of a home, well above a round trip between data
 * centres. */
#define ANSWER_TIMEOUT_USEC (40 * USEC_PER_MSEC)
/* How long a server is avoided after its home did not answer. */
#define AVOID_USEC (200 * USEC_PER_MSEC)

static void limit_log(const struct forward *forward,
		      const struct backend *backend, double before,
		      const char *from)
{
	const struct backpressure *table = forward->parts.backpressure;

	log_event(LOG_NOTICE, "backend_limit",
		  LOG_S("backend", backend->info.id),
		  LOG_D("born", backend->info.started_ms),
		  LOG_F("per_s", backpressure_limit(table, backend->key)),
		  LOG_F("before", before), LOG_S("from", from));
}

static void leaving_log(const struct backend *backend, const char *from)
{
	log_event(LOG_NOTICE, "backend_leaves",
		  LOG_S("backend", backend->info.id),
		  LOG_D("born", backend->info.started_ms),
		  LOG_D("listed_leaving", backend->info.leaving),
		  LOG_S("from", from));
}

static void backoff_log(const struct forward *forward,
			const struct backend *backend)
{
	const struct forward_parts *parts = &forward->parts;
	int64_t until = backpressure_backoff(parts->backpressure, backend->key);

	log_event(
		LOG_NOTICE, "backend_backoff",
		LOG_S("backend", backend->info.id),
		LOG_D("born", backend->info.started_ms),
		LOG_D("ms", (until - clock_now(parts->clock)) / USEC_PER_MSEC));
}

/* An incarnation that is not listed is gone or not yet known, and is ignored.
 */
static void changes_apply(const struct forward *forward, uint64_t server,
			  unsigned int changed, double before, const char *from)
{
	const struct backend *backend =
		fleet_find(forward->parts.fleet, server);

	if (!backend || !changed)
		return;
	fleet_backpressure_changed(forward->parts.fleet, server);
	if (changed & BACKPRESSURE_LIMIT)
		limit_log(forward, backend, before, from);
	if (changed & BACKPRESSURE_LEAVING)
		leaving_log(backend, from);
	if (changed & BACKPRESSURE_BACKOFF)
		backoff_log(forward, backend);
}

static void cold_apply(const struct forward *forward, uint64_t server,
		       int64_t left_usec)
{
	struct backend *backend = fleet_find(forward->parts.fleet, server);

	if (backend && left_usec > 0)
		(void)backend_set_cold(backend, clock_now(forward->parts.clock),
				       left_usec);
}

void permit_signals(void *ctx, uint64_t server,
		    const struct backpressure_signals *signals)
{
	struct forward *forward = ctx;
	const struct forward_parts *parts = &forward->parts;
	double before = backpressure_limit(parts->backpressure, server);
	unsigned int changed = backpressure_answer(
		parts->backpressure, clock_now(parts->clock), server, signals);

	changes_apply(forward, server, changed, before, "answer");
	cold_apply(forward, server, signals->cold_usec);
}

void forward_merge_fact(struct forward *forward,
			const struct backpressure_fact *fact)
{
	const struct forward_parts *parts = &forward->parts;
	double before = backpressure_limit(parts->backpressure, fact->server);
	unsigned int changed = backpressure_merge(
		parts->backpressure, clock_now(parts->clock), fact);

	changes_apply(forward, fact->server, changed, before, "peer");
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

static void permit_deny(const struct request *request, struct backend *backend,
			int64_t retry_usec, const char *why)
{
	backend->limited_until = request_now(request) + MAX(retry_usec, 1);
	request->forward->permits_denied->value++;
	denied_log(request, backend, retry_usec, why);
}

/* The home may not know yet that the server is cold, so the request for a
 * permit says so. */
static bool is_limited(const struct request *request,
		       const struct backend *backend)
{
	struct backpressure *table = request->forward->parts.backpressure;
	double cold = request_cold_limit(request);

	if (cold <= 0.0 || !backend_cold(backend, request_now(request)))
		return backpressure_limit(table, backend->key) >= 0.0;
	backpressure_cold(table, backend->cold_until, backend->key, cold);
	return true;
}

enum permit request_permit(struct request *request, struct backend *backend,
			   enum permit_step step)
{
	const struct forward_parts *parts = &request->forward->parts;
	int64_t retry_usec = 0;
	enum permit permit;

	if (!is_limited(request, backend))
		return PERMIT_GRANTED;
	permit = parts->permit(parts->callbacks_ctx, backend, request->handle,
			       &retry_usec);
	if (permit == PERMIT_DENIED)
		permit_deny(request, backend, retry_usec, "limit");
	if (permit != PERMIT_PENDING)
		return permit;
	request->permit_attempts++;
	request->permit_step = step;
	request->permit_server = backend->key;
	timer_start(&request->permit_timer, ANSWER_TIMEOUT_USEC);
	return PERMIT_PENDING;
}

void permit_cancel(struct request *request)
{
	timer_stop(&request->permit_timer);
	request->permit_step = PERMIT_STEP_NONE;
}

/* The server for which a permit was requested; NULL when it is no longer
 * usable. */
static struct backend *permit_backend(const struct request *request)
{
	struct backend *backend = fleet_find(request->forward->parts.fleet,
					     request->permit_server);

	if (!backend || !backend_usable(backend, request_now(request)))
		return NULL;
	return backend;
}

static void permit_settle(struct request *request, bool granted)
{
	enum permit_step step = request->permit_step;
	struct backend *backend = granted ? permit_backend(request) : NULL;

	permit_cancel(request);
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

void permit_timed_out(struct timer *timer, void *ctx)
{
	struct request *request = ctx;
	struct backend *backend = permit_backend(request);

	if (backend)
		permit_deny(request, backend, AVOID_USEC, "home is silent");
	permit_settle(request, false);
}

void forward_permit_answered(struct forward *forward, uint64_t id,
			     uint64_t server, bool granted, int64_t retry_usec)
{
	struct request *request = table_get(forward->requests, id);
	struct backend *backend = fleet_find(forward->parts.fleet, server);

	if (!request || request->permit_step == PERMIT_STEP_NONE ||
	    request->permit_server != server)
		return;
	if (backend && !granted)
		permit_deny(request, backend, retry_usec, "limit");
	permit_settle(request, granted);
}
