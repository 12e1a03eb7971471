/*
 * stream.c - requests of engine services: reserve, prefill, run, relay
 *
 * DESCRIPTION
 *	waiting  ->  reserving  ->  prefill  ->  run  ->  relay
 *
 *	Decode memory is reserved at the decode server before the prefill, so
 *	that the computed KV cache has a destination. After a step that did not
 *	run, the request returns to the waiting queue. Once a run may have
 *	begun, only a request of a resumable route returns, and continues after
 *	the last relayed event.
 */
#include "stream.h"

#include <string.h>

#include "common/id.h"
#include "common/log.h"

/* Lifetime of a reservation: covers a prefill in a long queue. */
#define RESERVATION_TTL_USEC (2 * USEC_PER_SEC)
/* A prefill result this close to its expiry may expire before it is fetched. */
#define RESULT_MARGIN_USEC (100 * USEC_PER_MSEC)
/* Timeout of a prefill: a base, and a time for each prompt token queued ahead
 * (runners prefill about 30 tokens per millisecond). */
#define PREFILL_TIMEOUT_USEC (1200 * USEC_PER_MSEC)
#define PREFILL_TIMEOUT_PER_TOKEN_USEC 100
/* Fractions of the maximum output for which memory is charged to the server and
 * reserved there. The maximum is limited to twice the caller's estimate. Other
 * requests end and free memory during the run, so not all of it is needed at
 * the start. */
#define CHARGED_FRACTION 0.5
#define RESERVED_FRACTION 0.125
/* A prompt is sent to a prefill server only if the server's queue takes at most
 * this fraction of the target, by the measured prefill rate. Otherwise the
 * decode server computes the prefill, or the request waits here, where it holds
 * no decode memory. */
#define PREFILL_QUEUE_FRACTION 0.45
/* A shorter reservation may end before its answer arrives, each time. Without a
 * pause the request would take one after the other. */
#define SHORT_RESERVATION_USEC (100 * USEC_PER_MSEC)
/* Reservations that one request may be granted. */
#define RESERVATIONS_MAX 4u
/* The answer of a prefill names its result in under 200 bytes. */
#define PREFILL_ANSWER_BYTES_MAX ((size_t)64 << 10)
/* Retry-After when memory is short: some is freed within about this time. */
#define RETRY_AFTER_USEC (300 * USEC_PER_MSEC)

static void prefill_place(struct request *request);

/* A fraction of the maximum output, limited by the caller's estimate. */
static uint32_t output_fraction(const struct request *request, double fraction)
{
	const struct caller_request *caller = &request->caller;
	uint32_t output = caller->output_max;

	if (caller->output_expected > 0)
		output = MIN(output, caller->output_expected * 2);
	return (uint32_t)(output * fraction);
}

uint32_t stream_tokens(const struct request *request)
{
	return request->caller.prompt_tokens +
	       output_fraction(request, CHARGED_FRACTION);
}

static uint32_t reserved_tokens(const struct request *request)
{
	return request->caller.prompt_tokens +
	       output_fraction(request, RESERVED_FRACTION);
}

struct backend *stream_decode(struct request *request)
{
	return fleet_get(request->forward->parts.fleet,
			 request->decode.backend);
}

void stream_record_full(struct request *request, struct backend *backend)
{
	struct place place;

	request_place(request, &place);
	backend_reservation_refused(backend, place.now,
				    place_staleness(&place, backend));
}

static struct backend *prefill_get(struct request *request)
{
	return fleet_get(request->forward->parts.fleet,
			 request->prefill.backend);
}

void stream_retry(struct request *request, enum result_code code,
		  const char *why)
{
	bool may_retry = !request_is_suspect(request) &&
			 request->cutter.position != EVENTS_UNNUMBERED &&
			 (request->runs == 0 ||
			  (request_repeatable(request) &&
			   request->runs < request->route->attempts));

	request_drop_hold(request);
	answer_clear(&request->answer);
	if (may_retry && request->reservations < RESERVATIONS_MAX &&
	    request_time_left(request) > 0) {
		stream_enqueue(request);
		return;
	}
	if (request->replied)
		request_abort(request, why);
	else if (request->runs > 0)
		request_fail(request, code, why);
	else
		request_refuse(request, code, RETRY_AFTER_USEC);
}

void stream_failed_log(const struct request *request, const char *step,
		       const struct backend_end *end)
{
	const struct answer *answer = &request->answer;

	log_event(
		LOG_NOTICE, "step_failed", LOG_S("request", request->caller.id),
		LOG_S("step", step), LOG_S("backend", request->target.id),
		LOG_D("status", answer->has_head ? answer->head.status : 0),
		LOG_D("said_not_run", answer->has_head && answer->head.not_run),
		LOG_D("connected", end->connected),
		LOG_D("timed_out", end->timed_out), LOG_S("why", end->text));
}

void stream_record_failure(struct request *request, struct backend *backend,
			   const struct backend_end *end)
{
	const struct answer *answer = &request->answer;

	if (!end->connected)
		request_unconnected(request, end);
	else if (answer->has_head && answer->head.other_server)
		path_failed(request->forward, &request->target, request->relay,
			    RELAY_OK);
	else if (backend &&
		 (end->rejected || !answer->has_head || !answer->head.not_run))
		backend_failed(backend, request_now(request));
}

/* ---- prefill ---- */

static void prefill_head(void *ctx, const struct backend_head *head)
{
	request_connected(ctx);
	request_stated(ctx, head);
	answer_set_head(ctx, head);
	request_received_update(ctx);
}

static void prefill_body(void *ctx, const void *data, size_t size)
{
	answer_append_body(ctx, data, size, PREFILL_ANSWER_BYTES_MAX);
}

static bool prefill_result(struct request *request)
{
	const struct backend_ops *ops = &request->forward->parts.backends;
	const struct answer *answer = &request->answer;

	return answer->has_head && !answer->head.mismatched &&
	       answer->head.status == 200 && answer->body &&
	       ops->read_result(ops->ctx, answer->body->data, answer->body->len,
				request->kv);
}

/* Counts a failed prefill that may have reached the server as a send, so the
 * following run takes from the retry budget. */
static void prefill_count(struct request *request,
			  const struct backend_end *end)
{
	request->send_prepaid = false;
	if (end->connected)
		request->sends++;
}

/* A server that refuses all prompts has no load and would be chosen for each
 * next one, so a refusal is recorded against it. */
static void prefill_record_failure(struct request *request,
				   struct backend *backend,
				   const struct backend_end *end)
{
	const struct answer *answer = &request->answer;

	stream_record_failure(request, backend, end);
	if (!backend)
		return;
	tried_add(&request->tried, backend->key);
	if (answer->has_head && answer->head.not_run &&
	    !answer->head.other_server)
		backend_run_refused(backend, request_now(request));
}

static void prefill_done(void *ctx, const struct backend_end *end)
{
	struct request *request = ctx;
	struct backend *backend = prefill_get(request);
	int64_t now = request_now(request);

	request->call = NULL;
	request_received_end(request, end);
	charge_drop(request, &request->prefill);
	if (end->complete && prefill_result(request)) {
		if (backend)
			backend_succeeded(backend, now);
		request->kv_source = request->target;
		request->prefilled_at = now;
		prefill_measured(request, now - request->step_started_at);
		histogram_add(request->forward->prefill_time,
			      now - request->placed_at);
		answer_clear(&request->answer);
		stream_run(request);
		return;
	}
	prefill_count(request, end);
	stream_failed_log(request, "prefill", end);
	request_connection_lost(request, end);
	prefill_record_failure(request, backend, end);
	answer_clear(&request->answer);
	if (request_is_suspect(request))
		stream_retry(request, RESULT_NO_BACKEND, end->text);
	else
		prefill_place(request);
}

/* Prompt tokens that may be queued ahead at a prefill server, by the measured
 * prefill rate. */
static uint32_t max_tokens_ahead(const struct request *request)
{
	const struct engine_rates *rates =
		forward_rates(request->forward, request->service->id);
	double target = (double)request->route->target_usec;

	return (uint32_t)(PREFILL_QUEUE_FRACTION * target *
			  rates->prefill.value / (double)USEC_PER_SEC);
}

/* Timeout for the prompts queued ahead and this one. */
static int64_t prefill_timeout(const struct request *request,
			       const struct backend *backend)
{
	int64_t limit = PREFILL_TIMEOUT_USEC +
			(int64_t)backend_prefill_tokens(backend) *
				PREFILL_TIMEOUT_PER_TOKEN_USEC;

	return MIN(limit, request_time_left(request));
}

/* The first prefill that succeeds does not count as a send, but whether a
 * prefill succeeds is known only afterwards. So a prefill after an earlier send
 * takes one from the budget, and if it is the first to succeed, the run takes
 * none. */
static bool prefill_may_send(struct request *request)
{
	if (request->sends == 0 && request->prefilled_at == 0)
		return true;
	if (!request_take_send(request))
		return false;
	request->send_prepaid = request->prefilled_at == 0;
	return true;
}

static void prefill_send(struct request *request, struct backend *backend)
{
	static const struct send_events events = {prefill_head, prefill_body,
						  prefill_done};
	const struct backend_ops *ops = &request->forward->parts.backends;
	struct backend_load load = {.prefill_tokens =
					    request->caller.prompt_tokens};
	int64_t now = request_now(request);
	struct send_spec spec = {
		.kind = SEND_PREFILL,
		.caller = &request->caller,
		.left_usec = request_time_left(request),
		.connect_usec = BACKEND_CONNECT_USEC,
		.idle_usec = PREFILL_TIMEOUT_USEC,
	};

	if (request_quarantine(request))
		return;
	if (!prefill_may_send(request)) {
		stream_run(request);
		return;
	}
	spec.head_usec = prefill_timeout(request, backend);
	backend_claim_probe(backend, now);
	spec.link = request_link(request, backend);
	placed_log(request, "prefill", backend);
	request->step_started_at = now;
	request->tokens_ahead = backend_prefill_tokens(backend);
	charge_add(request, &request->prefill, backend, &load);
	request->call_done = events.done;
	request->call = ops->send(ops->ctx, &spec, &events, request);
}

static void prefill_place(struct request *request)
{
	enum permit permit = PERMIT_DENIED;
	struct backend *backend = NULL;
	struct backend *decode;
	struct place place;

	while (permit == PERMIT_DENIED) {
		decode = stream_decode(request);
		if (!decode) {
			stream_retry(request, RESULT_NO_BACKEND,
				     "decode server is no longer listed");
			return;
		}
		request_place(request, &place);
		backend = place_prompt(&place, decode,
				       request->caller.prompt_tokens,
				       max_tokens_ahead(request));
		if (!backend) {
			stream_run(request);
			return;
		}
		if (!request_choose_path(request, backend))
			continue;
		permit = request_permit(request, backend, PERMIT_STEP_PREFILL);
	}
	if (permit == PERMIT_GRANTED)
		prefill_send(request, backend);
}

void prefill_permitted(struct request *request, struct backend *backend)
{
	if (backend && stream_decode(request))
		prefill_send(request, backend);
	else
		prefill_place(request);
}

/* ---- reserve ---- */

int64_t stream_reserve_usec(const struct request *request)
{
	return MIN(RESERVATION_TTL_USEC, request->service->engine.reserve_usec);
}

/* A server that has restarted has lost its earlier results. */
static bool result_lost(const struct request *request)
{
	const struct fleet *fleet = request->forward->parts.fleet;
	const struct backend *backend =
		fleet_find_id(fleet, request->kv_source.id);

	return backend &&
	       backend->info.started_ms != request->kv_source.started_ms;
}

static bool result_usable(const struct request *request)
{
	return request->kv[0] && !result_lost(request) &&
	       request_now(request) - request->prefilled_at <
		       request->service->engine.result_usec -
			       RESULT_MARGIN_USEC;
}

static void reserved(struct request *request, const char *hold)
{
	struct backend *backend = stream_decode(request);

	if (backend)
		backend_reservation_granted(backend);
	g_strlcpy(request->hold, hold, sizeof(request->hold));
	request->placed_at = request_now(request);
	histogram_add(request->forward->wait_time,
		      request->placed_at - request->arrived);
	request->reservations++;
	/* A refused run has left its prefill result, which the next run
	 * fetches. */
	if (result_usable(request)) {
		stream_run(request);
		return;
	}
	request->kv[0] = '\0';
	prefill_place(request);
}

/* While this process is stalled, the answer waits in the socket and the
 * reservation may expire. If it were used, the prefill would be wasted, since
 * the run would be refused for lack of memory. */
static bool is_reservation_expired(const struct request *request, int64_t now)
{
	return now - request->step_started_at >= stream_reserve_usec(request);
}

static void on_reserved(void *ctx, enum reserve_result result, const char *hold)
{
	struct request *request = ctx;
	struct backend *backend = stream_decode(request);
	int64_t now = request_now(request);

	request->call = NULL;
	if (result == RESERVE_OK || result == RESERVE_FULL)
		request_connected(request);
	if (result == RESERVE_OK && is_reservation_expired(request, now)) {
		log_event(LOG_NOTICE, "reservation_lapsed",
			  LOG_S("request", request->caller.id),
			  LOG_D("after_ms", (now - request->step_started_at) /
						    USEC_PER_MSEC));
		if (backend &&
		    stream_reserve_usec(request) < SHORT_RESERVATION_USEC)
			stream_record_full(request, backend);
		stream_enqueue(request);
		return;
	}
	if (result == RESERVE_OK) {
		reserved(request, hold);
		return;
	}
	if (result == RESERVE_UNREACHABLE || result == RESERVE_RELAY_LINK ||
	    result == RESERVE_RELAY_PEER)
		path_failed(request->forward, &request->target, request->relay,
			    result == RESERVE_RELAY_LINK   ? RELAY_LINK
			    : result == RESERVE_RELAY_PEER ? RELAY_PEER
							   : RELAY_OK);
	else if (backend && result == RESERVE_FULL)
		stream_record_full(request, backend);
	else if (backend)
		backend_failed(backend, now);
	if (result == RESERVE_FAILED && backend)
		stream_record_full(request, backend);
	stream_enqueue(request);
}

static void reserve_call(struct request *request, struct backend *backend)
{
	const struct backend_ops *ops = &request->forward->parts.backends;
	const struct backend_link link =
		link_of(&request->target, request->relay);

	request->step_started_at = request_now(request);
	backend_claim_probe(backend, request->step_started_at);
	request->call = ops->reserve(ops->ctx, &link, reserved_tokens(request),
				     stream_reserve_usec(request), on_reserved,
				     request);
}

struct backend *stream_choose(struct request *request, uint32_t room)
{
	const struct engine_traits *engine = &request->service->engine;
	uint32_t tokens = stream_tokens(request);
	uint32_t ahead = max_tokens_ahead(request);
	struct backend *backend;
	struct backend *prefill;
	struct place place;

	request_place(request, &place);
	place.tried = &request->began_anew;
	room_place(request, &place);
	/* An idle server is suitable for any request that fits its memory. */
	backend =
		place_decode(&place, engine,
			     MAX(tokens, MIN(tokens * room,
					     (uint32_t)engine->memory_tokens)));
	if (!backend)
		return NULL;
	prefill = place_prompt(&place, backend, request->caller.prompt_tokens,
			       ahead);
	if (prefill && place_prompt_ahead(&place, prefill) > ahead)
		return NULL;
	return backend;
}

bool stream_reserve(struct request *request, uint32_t room)
{
	const struct backend_load load = {
		.requests = 1,
		.decode_tokens = stream_tokens(request),
	};
	enum permit permit = PERMIT_DENIED;
	struct backend *backend = NULL;

	while (permit == PERMIT_DENIED) {
		backend = stream_choose(request, room);
		if (!backend)
			return false;
		if (!request_choose_path(request, backend))
			continue;
		permit = request_permit(request, backend, PERMIT_STEP_RESERVE);
	}
	stream_dequeue(request);
	charge_add(request, &request->decode, backend, &load);
	(void)request_link(request, backend);
	placed_log(request, "reserve", backend);
	request->is_probe = backend_refusing(backend);
	if (permit == PERMIT_GRANTED)
		reserve_call(request, backend);
	return true;
}

void stream_permitted(struct request *request, struct backend *backend)
{
	if (request_quarantine(request))
		return;
	if (backend && !barred_has(&request->barred, backend->info.software))
		reserve_call(request, backend);
	else
		stream_enqueue(request);
}

/* Sets the weight: the cost relative to the service's median request. */
static void stream_weigh(struct request *request)
{
	const struct caller_request *caller = &request->caller;
	struct engine_rates *rates =
		forward_rates(request->forward, request->service->id);
	uint32_t output = caller->output_expected;
	double cost;

	if (output == 0)
		output = caller->output_max / 2;
	cost = stream_cost(caller->prompt_tokens,
			   MIN(output, MAX(caller->output_max, 1u)));
	if (rates->cost.samples == 0)
		median_init(&rates->cost, cost);
	median_add(&rates->cost, cost);
	request->weight = engine_rates_weight(rates, cost);
}

/* Whether no server is in the regions that the request is limited to. */
static bool regions_unserved(const struct request *request)
{
	struct place place;

	request_place(request, &place);
	place.tried = NULL;
	return regions_limited(&place.regions) &&
	       !place_has_server(&place, STAGE_DECODE);
}

void stream_start(struct request *request)
{
	struct forward *forward = request->forward;

	demand_add(forward, request->service->id,
		   request->caller.prompt_tokens);
	stream_weigh(request);
	room_seen(request);
	if (stream_waiting_full(forward)) {
		request_refuse(request, RESULT_QUEUE_FULL, RETRY_AFTER_USEC);
		return;
	}
	if (regions_unserved(request)) {
		request_refuse(request, RESULT_NO_BACKEND, RETRY_AFTER_USEC);
		return;
	}
	if (!stream_reserve(request, 1))
		stream_enqueue(request);
}
