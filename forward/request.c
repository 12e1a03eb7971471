#include "request.h"

#include <stdio.h>

#include "common/log.h"

/* Bounds of Retry-After: long enough for the balancer to choose another
 * instance, short against a caller's timeout. */
#define RETRY_MIN_USEC (20 * USEC_PER_MSEC)
#define RETRY_MAX_USEC (5 * USEC_PER_SEC)

/* A process has its configuration within about 50 ms of its start, within 250
 * ms on large sites, where it comes from other instances. */
#define NO_CONFIG_RETRY_USEC (250 * USEC_PER_MSEC)

/* Fraction of a cold server's rate limit that is used: two instances may
 * briefly both act as its home. */
#define COLD_FRACTION 0.5

/* Retry jitter for callers that wait for the same server. */
#define RETRY_JITTER_USEC (200 * USEC_PER_MSEC)

static const char *const end_names[END_COUNT] = {
	[END_ANSWERED] = "answered", [END_REFUSED] = "refused",
	[END_FAILED] = "failed",     [END_BROKEN] = "broken",
	[END_CALLER_GONE] = "gone",  [END_DENIED] = "denied",
};

const char *request_end_name(enum request_end end)
{
	return end_names[end];
}

int64_t request_now(const struct request *request)
{
	return clock_now(request->forward->parts.clock);
}

int64_t request_time_left(const struct request *request)
{
	return MAX(request->deadline - request_now(request), 0);
}

bool request_repeatable(const struct request *request)
{
	const struct catalog_route *route = request->route;

	return route->kind == ROUTE_IDEMPOTENT ||
	       (route->kind == ROUTE_STREAM && route->resumable);
}

double request_cold_limit(const struct request *request)
{
	return request->service->cold_per_sec * COLD_FRACTION;
}

/* NULL: no server states its pace, so all count as equally fast. */
static const struct speeds *active_speeds(const struct forward_parts *parts)
{
	if (!parts->speeds ||
	    !speeds_active(parts->speeds, clock_now(parts->clock)))
		return NULL;
	return parts->speeds;
}

void request_place(const struct request *request, struct place *place)
{
	const struct forward_parts *parts = &request->forward->parts;
	const struct organisation *organisation = request->organisation;

	*place = (struct place){
		.fleet = parts->fleet,
		.now = clock_now(parts->clock),
		.service = request->service->id,
		.tried = &request->tried,
		.backpressure = parts->backpressure,
		.cold_limit = request_cold_limit(request),
		.regions = {request->route->regions,
			    organisation ? organisation->regions : NULL},
		.software = request->software,
		.barred = &request->barred,
		.speeds = active_speeds(parts),
		.rand = request->report ? request->report->rand : parts->rand,
		.report = request->report,
		.stale_local = parts->interval(parts->callbacks_ctx, true),
		.stale_remote = parts->interval(parts->callbacks_ctx, false),
	};
}

int64_t request_available_at(const struct request *request,
			     enum backend_stage stage)
{
	struct place place;

	request_place(request, &place);
	return place_available_at(&place, stage);
}

bool request_take_send(struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;

	return budget_take(parts->budgets, request->service->id,
			   clock_now(parts->clock),
			   parts->instances(parts->callbacks_ctx));
}

void request_uncount(struct request *request, const struct backend_end *end)
{
	if (!end->not_run)
		return;
	request->runs--;
	if (!end->connected)
		request->sends--;
}

bool request_choose_path(struct request *request, struct backend *backend)
{
	return path_choose(request->forward, backend, request->relay);
}

struct backend_link request_link(struct request *request,
				 const struct backend *backend)
{
	request->target = backend->info;
	return link_of(&request->target, request->relay);
}

void request_connected(const struct request *request)
{
	path_connected(request->forward, &request->target, request->relay);
}

void request_unconnected(struct request *request, const struct backend_end *end)
{
	request->relay_failures += end->relay_failure != RELAY_OK;
	path_failed(request->forward, &request->target, request->relay,
		    end->relay_failure);
}

bool request_may_send(struct request *request)
{
	if (request->sends == 0 || request->send_prepaid ||
	    request_take_send(request)) {
		request->send_prepaid = false;
		return true;
	}
	log_event(LOG_NOTICE, "send_budget_spent",
		  LOG_S("request", request->caller.id),
		  LOG_D("sends", request->sends));
	return false;
}

static int64_t since_msec(const struct request *request, int64_t at)
{
	return at ? (at - request->arrived) / USEC_PER_MSEC : -1;
}

void placed_log(const struct request *request, const char *step,
		const struct backend *backend)
{
	const struct forward_parts *parts = &request->forward->parts;

	log_event(LOG_INFO, "request_placed",
		  LOG_S("request", request->caller.id), LOG_S("step", step),
		  LOG_S("backend", backend->info.id),
		  LOG_S("software", backend->info.software_name),
		  LOG_S("relay", request->relay),
		  LOG_D("requests", backend_requests(backend)),
		  LOG_D("decode_tokens", backend_decode_tokens(backend)),
		  LOG_D("prefill_tokens", backend_prefill_tokens(backend)),
		  LOG_F("trouble",
			backend_failure_score(backend, request_now(request))),
		  LOG_D("list_age_ms",
			parts->list_age(parts->callbacks_ctx) / USEC_PER_MSEC),
		  LOG_D("version", request->catalog->version),
		  LOG_D("after_ms", since_msec(request, request_now(request))),
		  LOG_D("left_ms", request_time_left(request) / USEC_PER_MSEC));
}

static void charge_changed(const struct request *request,
			   const struct charge *charge)
{
	const struct forward_parts *parts = &request->forward->parts;

	if (charge->load.decode_tokens > 0 || charge->load.prefill_tokens > 0)
		parts->load_changed(parts->callbacks_ctx);
}

void charge_add(struct request *request, struct charge *charge,
		struct backend *backend, const struct backend_load *load)
{
	charge_drop(request, charge);
	charge->backend = backend->handle;
	charge->load = *load;
	backend_charge(backend, load, 1);
	charge_changed(request, charge);
}

void charge_drop(struct request *request, struct charge *charge)
{
	struct backend *backend =
		fleet_get(request->forward->parts.fleet, charge->backend);

	if (backend) {
		backend_charge(backend, &charge->load, -1);
		charge_changed(request, charge);
	}
	*charge = (struct charge){.backend = HANDLE_NONE};
}

void request_drop_hold(struct request *request)
{
	const struct backend_ops *ops = &request->forward->parts.backends;
	struct backend *decode = fleet_get(request->forward->parts.fleet,
					   request->decode.backend);
	char relay[ADDRESS_TEXT_MAX];

	if (request->hold[0] && decode) {
		const struct backend_link link =
			link_choose(request->forward, &decode->info, relay);

		ops->unreserve(ops->ctx, &link, request->hold);
	}
	request->hold[0] = '\0';
}

void request_drop_result(struct request *request)
{
	const struct backend_ops *ops = &request->forward->parts.backends;

	char relay[ADDRESS_TEXT_MAX];

	if (request->kv[0]) {
		const struct backend_link link = link_choose(
			request->forward, &request->kv_source, relay);

		ops->free_result(ops->ctx, &link, request->kv);
	}
	request->kv[0] = '\0';
}

/* Whether the first event, or the answer, came after the route's target. */
static bool is_late(const struct request *request)
{
	int64_t at =
		request->first_at ? request->first_at : request_now(request);

	return request->route &&
	       at - request->arrived > request->route->target_usec;
}

static void end_log(const struct request *request, enum request_end end,
		    int status, const char *why)
{
	log_event(end == END_ANSWERED ? LOG_INFO : LOG_NOTICE, "request_end",
		  LOG_S("request", request->caller.id),
		  LOG_S("outcome", end_names[end]), LOG_D("status", status),
		  LOG_S("why", why),
		  LOG_S("route", request->route ? request->route->name : ""),
		  LOG_D("version",
			request->catalog ? request->catalog->version : 0),
		  LOG_S("backend", request->target.id),
		  LOG_D("sends", request->sends), LOG_D("runs", request->runs),
		  LOG_D("placed_ms", since_msec(request, request->placed_at)),
		  LOG_D("prefilled_ms",
			since_msec(request, request->prefilled_at)),
		  LOG_D("first_ms", since_msec(request, request->first_at)),
		  LOG_D("whole_ms", since_msec(request, request_now(request))),
		  LOG_D("events", (int64_t)request->cutter.events),
		  LOG_D("late", is_late(request)),
		  LOG_D("stalled", request->stalled));
}

/* Releases all that servers hold for the request. */
static void resources_drop(struct request *request)
{
	if (request->call)
		web_call_cancel(request->call);
	request->call = NULL;
	permit_cancel(request);
	dispatched_drop(request);
	request_drop_hold(request);
	request_drop_result(request);
	charge_drop(request, &request->prefill);
	charge_drop(request, &request->decode);
}

static void request_destroy(struct request *request)
{
	struct forward *forward = request->forward;
	bool engine =
		request->service && request->service->engine.memory_tokens;

	timer_stop(&request->timer);
	timer_stop(&request->resume_timer);
	timer_stop(&request->confirm_timer);
	request_unread_clear(request);
	request_received_clear(request);
	stream_dequeue(request);
	request_refund(request);
	resources_drop(request);
	answer_clear(&request->answer);
	event_cutter_clear(&request->cutter);
	catalog_unref(request->catalog);
	table_remove(forward->requests, request->handle);
	if (engine && forward->waiting.length > 0)
		timer_start(&forward->pump, 0);
}

static void request_end(struct request *request, enum request_end end,
			int status, const char *why)
{
	struct forward *forward = request->forward;

	forward->outcomes[end]->value++;
	if (end == END_BROKEN || end == END_CALLER_GONE)
		resume_record(request, true);
	if (end == END_ANSWERED)
		histogram_add(forward->whole_time,
			      request_now(request) - request->arrived);
	end_log(request, end, status, why);
	request_destroy(request);
}

void request_relay(struct request *request)
{
	int status = request->answer.head.status;
	const GByteArray *body = request->answer.body;

	if (body && !web_reply_make_room(request->web, body->len)) {
		request_fail(request, RESULT_BACKEND_FAILED,
			     "callers have not read earlier answers");
		return;
	}
	if (status == 200 && !request->software)
		request->software = request->target.software;
	resume_record(request, true);
	answer_send(request);
	request_end(request, END_ANSWERED, status, "whole");
}

static void error_reply(struct request *request, int status, const char *label,
			int64_t retry_usec)
{
	char text[64];
	int size;

	if (retry_usec > 0) {
		retry_usec = CLAMP(retry_usec, RETRY_MIN_USEC, RETRY_MAX_USEC);
		(void)snprintf(text, sizeof(text), "%.3f",
			       (double)retry_usec / (double)USEC_PER_SEC);
		web_reply_header(request->web, "retry-after", text);
	}
	size = snprintf(text, sizeof(text), "%s\n", label);
	web_reply(request->web, status, "text/plain", text, (size_t)size);
}

void request_refuse(struct request *request, enum result_code code,
		    int64_t retry_usec)
{
	if (request->runs > 0) {
		request_fail(request, RESULT_BACKEND_FAILED,
			     result_label(code));
		return;
	}
	error_reply(request, result_status(code), result_label(code),
		    retry_usec);
	request_end(request, END_REFUSED, result_status(code),
		    result_label(code));
}

void request_refuse_until(struct request *request, int64_t until)
{
	double spread = g_rand_double(request->forward->parts.rand) *
			(double)RETRY_JITTER_USEC;

	request_refuse(request, RESULT_SERVERS_LIMITED,
		       until - request_now(request) + (int64_t)spread);
}

void request_fail(struct request *request, enum result_code code,
		  const char *why)
{
	/* The last server refused it, but an earlier one may have run it. */
	if (result_outcome(code) == OUTCOME_NOT_RUN)
		code = RESULT_BACKEND_FAILED;
	error_reply(request, result_status(code), result_label(code), 0);
	request_end(request, END_FAILED, result_status(code), why);
}

void request_finish(struct request *request)
{
	web_reply_end(request->web);
	request_end(request, END_ANSWERED, request->replied_status, "whole");
}

void request_abort(struct request *request, const char *why)
{
	web_reply_abort(request->web);
	request_end(request, END_BROKEN, request->replied_status, why);
}

void request_deny(struct request *request, enum result_code code,
		  const char *why)
{
	const char *challenge = request->forward->parts.callers.challenge;

	if (code == RESULT_UNKNOWN_KEY && challenge)
		web_reply_header(request->web, "www-authenticate", challenge);
	error_reply(request, result_status(code), result_label(code), 0);
	request_end(request, END_DENIED, result_status(code), why);
}

static void on_caller_gone(void *ctx)
{
	request_end(ctx, END_CALLER_GONE, 0, "caller closed the connection");
}

static void on_timeout(struct timer *timer, void *ctx)
{
	struct request *request = ctx;

	if (request->replied)
		request_abort(request, "over its time limit");
	else if (request->runs > 0)
		request_fail(request, RESULT_BACKEND_TIMEOUT,
			     "over its time limit");
	else
		request_refuse(request, RESULT_DEADLINE, RETRY_MIN_USEC);
}

static bool request_route(struct request *request)
{
	struct forward *forward = request->forward;
	struct web_text host = web_request_authority(request->web);
	struct web_text path = web_request_path(request->web);
	uint64_t service;

	request->route = catalog_route(request->catalog, host.data, host.size,
				       path.data, path.size);
	if (!request->route)
		return false;
	service = route_choose(request->route,
			       g_rand_double(forward->parts.rand));
	request->service = catalog_service(request->catalog, service);
	return request->service != NULL;
}

static void deadline_start(struct request *request)
{
	int64_t limit = request->route->timeout_usec;

	if (request->caller.limit_usec > 0)
		limit = MIN(limit, request->caller.limit_usec);
	request->deadline = request->arrived + limit;
	timer_start(&request->timer, limit);
}

static struct request *request_create(struct forward *forward,
				      struct web_request *web)
{
	uint64_t handle;
	struct request *request = table_add(forward->requests, &handle);

	if (!request)
		return NULL;
	request->forward = forward;
	request->handle = handle;
	request->link.data = request;
	request->web = web;
	request->arrived = clock_now(forward->parts.clock);
	event_cutter_init(&request->cutter);
	timer_init(&request->timer, forward->parts.clock, on_timeout, request);
	timer_init(&request->permit_timer, forward->parts.clock,
		   permit_timed_out, request);
	timer_init(&request->resume_timer, forward->parts.clock,
		   resume_timed_out, request);
	timer_init(&request->confirm_timer, forward->parts.clock,
		   confirm_timed_out, request);
	dispatched_init(request);
	web_request_on_gone(web, on_caller_gone, request);
	return request;
}

static void request_start(struct request *request)
{
	struct forward *forward = request->forward;

	budget_request(forward->parts.budgets, request->service->id,
		       request->arrived);
	if (request_quarantine(request))
		return;
	deadline_start(request);
	if (!drain_refuse_new(request))
		resume_start(request);
}

enum backend_stage request_stage(const struct request *request)
{
	return request->service->engine.memory_tokens > 0 &&
			       request->caller.prompt_tokens > 0
		       ? STAGE_DECODE
		       : STAGE_NONE;
}

void request_serve(struct request *request)
{
	if (request_stage(request) == STAGE_DECODE)
		stream_start(request);
	else
		plain_start(request);
}

void forward_handle_request(void *ctx, struct web_request *web)
{
	struct forward *forward = ctx;
	const struct caller_codec *codec = &forward->parts.callers;
	struct request *request = request_create(forward, web);
	struct error err;

	if (!request) {
		web_reply_header(web, "retry-after", "0.2");
		web_reply(web, result_status(RESULT_QUEUE_FULL), "text/plain",
			  "queue-full\n", 11);
		return;
	}
	if (!codec->decode(codec->ctx, web, &request->caller, &err)) {
		request_deny(request, RESULT_BAD_REQUEST, err.text);
		return;
	}
	if (!forward->catalog) {
		request_refuse(request, RESULT_NO_CONFIG, NO_CONFIG_RETRY_USEC);
		return;
	}
	request->catalog = catalog_ref(forward->catalog);
	if (!request_route(request))
		request_deny(request, RESULT_NOT_FOUND, "no route");
	else if (request->caller.body.size >
		 request->catalog->limits.body_bytes)
		request_deny(request, RESULT_TOO_LARGE, "body over the limit");
	else if (request_admit(request))
		request_start(request);
}
