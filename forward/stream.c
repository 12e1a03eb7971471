/*
 * stream.c - a request of an engine service: reserve, prefill, decode, relay
 *
 * DESCRIPTION
 *	waiting  ->  reserving  ->  prefill  ->  run  ->  relay
 *
 *	Decode memory is reserved at the server itself before the prompt is
 *	read, so what is read has a place to go. A step that surely did not run
 *	leads back to waiting. Once a run may have begun, only a resumable route
 *	goes back, after the last event that was passed on.
 */
#include "stream.h"

#include <string.h>

#include "common/id.h"
#include "common/log.h"

/* Reservations are kept for the time of a prefill in a long queue. */
#define RESERVE_USEC (2 * USEC_PER_SEC)
/* A result that is older than its time less this may lapse on the way. */
#define RESULT_MARGIN_USEC (100 * USEC_PER_MSEC)
/* A prefill is given up after this time and this much for each prompt token
 * ahead of it (runners read some 30 tokens a millisecond). */
#define PREFILL_USEC (1200 * USEC_PER_MSEC)
#define PREFILL_TOKEN_USEC 100
/* Parts of the output, as twice the caller's estimate, that a request is
 * counted with when a server is chosen for it, and that it reserves there.
 * Others end and free memory while it generates, so the server need not have
 * all of it now. */
#define COUNTED_PART 0.5
#define RESERVED_PART 0.125
/* A prompt is not sent to a prefill server that has prompts ahead of it for
 * longer than this part of the target, by the learnt rate: it is read where it
 * will run, or waits here, where it takes no decode memory meanwhile. */
#define PREFILL_QUEUE_PART 0.45
/* Rounds through placing that one request may make. */
#define ROUNDS_MAX 4u
/* What a refused caller is told: memory is freed within about this time. */
#define RETRY_USEC (300 * USEC_PER_MSEC)
/* Another instance can take the request at once. */
#define RETRY_ELSEWHERE_USEC (20 * USEC_PER_MSEC)

static void prefill_place(struct request *request);

/* A part of the output, as far as the caller's estimate tells it. */
static uint32_t output_part(const struct request *request, double part)
{
	const struct caller_request *caller = &request->caller;
	uint32_t output = caller->output_max;

	if (caller->output_expected > 0)
		output = MIN(output, caller->output_expected * 2);
	return (uint32_t)(output * part);
}

uint32_t stream_tokens(const struct request *request)
{
	return request->caller.prompt_tokens +
	       output_part(request, COUNTED_PART);
}

static uint32_t reserved_tokens(const struct request *request)
{
	return request->caller.prompt_tokens +
	       output_part(request, RESERVED_PART);
}

struct backend *stream_decode(struct request *request)
{
	return fleet_get(request->forward->parts.fleet,
			 request->decode.backend);
}

void stream_full(struct request *request, struct backend *backend)
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

/* Back to placing, or the end when there is no way left. */
void stream_retry(struct request *request, enum result_code code,
		  const char *why)
{
	bool may = !request_is_suspect(request) &&
		   (request->runs == 0 ||
		    (request_repeatable(request) &&
		     request->runs < request->route->attempts));

	request_drop_hold(request);
	answer_clear(&request->answer);
	if (may && request->rounds < ROUNDS_MAX && request_left(request) > 0) {
		stream_wait(request);
		return;
	}
	if (request->replied)
		request_break(request, why);
	else if (request->runs > 0)
		request_fail(request, code, why);
	else
		request_refuse(request, code, RETRY_USEC);
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

/* Notes what a failed call tells about its server. */
void stream_record_failure(struct request *request, struct backend *backend,
			   const struct backend_end *end)
{
	const struct answer *answer = &request->answer;
	int64_t now = request_now(request);

	if (!backend)
		return;
	if (!end->connected || (answer->has_head && answer->head.other_server))
		backend_unreachable(backend, now);
	else if (!answer->has_head || !answer->head.not_run)
		backend_failed(backend, now);
}

/* ---- prefill ---- */

static void prefill_head(void *ctx, const struct backend_head *head)
{
	answer_take_head(ctx, head);
}

static void prefill_body(void *ctx, const void *data, size_t size)
{
	answer_take_body(ctx, data, size);
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

/* One that was refused, or may have been lost on its way, counts as a send: the
 * run that follows it is one more. */
static void prefill_count(struct request *request,
			  const struct backend_end *end)
{
	request->paid = false;
	if (end->connected)
		request->sends++;
}

/* One that refuses all has nothing under way, so it would look like the best
 * choice for each next prompt. */
static void prefill_blame(struct request *request, struct backend *backend,
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
	charge_drop(request, &request->prefill);
	if (end->complete && prefill_result(request)) {
		if (backend)
			backend_succeeded(backend, now);
		request->kv_at = request->target;
		request->prefilled_at = now;
		engine_rates_add_prefill(
			forward_rates(request->forward, request->service->id),
			request->caller.prompt_tokens, request->ahead,
			now - request->asked_at);
		histogram_add(request->forward->prefill_time,
			      now - request->placed_at);
		answer_clear(&request->answer);
		stream_run(request);
		return;
	}
	prefill_count(request, end);
	stream_failed_log(request, "prefill", end);
	request_connection_lost(request, end);
	prefill_blame(request, backend, end);
	answer_clear(&request->answer);
	if (request_is_suspect(request))
		stream_retry(request, RESULT_NO_BACKEND, end->text);
	else
		prefill_place(request);
}

/* Tokens that may be ahead of it at a prefill server, by how fast these were
 * seen to read. */
static uint32_t most_ahead(const struct request *request)
{
	const struct engine_rates *rates =
		forward_rates(request->forward, request->service->id);
	double target = (double)request->route->target_usec;

	return (uint32_t)(PREFILL_QUEUE_PART * target * rates->read.value /
			  (double)USEC_PER_SEC);
}

/* Time for the prompts ahead and this one. */
static int64_t prefill_limit(const struct request *request,
			     const struct backend *backend)
{
	int64_t limit =
		PREFILL_USEC +
		(int64_t)backend_prefill_tokens(backend) * PREFILL_TOKEN_USEC;

	return MIN(limit, request_left(request));
}

/* The first prefill that is accepted does not count as a send. Which one that
 * will be is not known before, so one that follows another send is paid for,
 * and if it is the first accepted, pays for the run. */
static bool prefill_may_send(struct request *request)
{
	if (request->sends == 0 && request->prefilled_at == 0)
		return true;
	if (!request_take_send(request))
		return false;
	request->paid = request->prefilled_at == 0;
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
		.to = &request->target,
		.left_usec = request_left(request),
		.connect_usec = BACKEND_CONNECT_USEC,
		.idle_usec = PREFILL_USEC,
	};

	if (request_quarantine(request))
		return;
	if (!prefill_may_send(request)) {
		stream_run(request);
		return;
	}
	spec.head_usec = prefill_limit(request, backend);
	backend_claim_probe(backend, now);
	placed_log(request, "prefill", backend);
	request->target = backend->info;
	request->asked_at = now;
	request->ahead = backend_prefill_tokens(backend);
	charge_add(request, &request->prefill, backend, &load);
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
			stream_retry(request, RESULT_NO_BACKEND, "server left");
			return;
		}
		request_place(request, &place);
		backend = place_prompt(&place, decode,
				       request->caller.prompt_tokens,
				       most_ahead(request));
		if (!backend) {
			stream_run(request);
			return;
		}
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
	return MIN(RESERVE_USEC, request->service->engine.reserve_usec);
}

/* A server that has started again since keeps no result of its earlier life. */
static bool result_outlived(const struct request *request)
{
	const struct fleet *fleet = request->forward->parts.fleet;
	const struct backend *backend = fleet_find_id(fleet, request->kv_at.id);

	return backend && backend->info.started_ms != request->kv_at.started_ms;
}

static bool result_fresh(const struct request *request)
{
	return request->kv[0] && !result_outlived(request) &&
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
	request->rounds++;
	/* A result that a refused run has left is fetched by the next one. */
	if (result_fresh(request)) {
		stream_run(request);
		return;
	}
	request->kv[0] = '\0';
	prefill_place(request);
}

/* The answer lay in the socket while this process stood still. Taken for good,
 * the prompt was read in vain: the run is refused for want of the memory. */
static bool is_lapsed(const struct request *request, int64_t now)
{
	return now - request->asked_at >= stream_reserve_usec(request);
}

static void on_reserved(void *ctx, enum reserve_result result, const char *hold)
{
	struct request *request = ctx;
	struct backend *backend = stream_decode(request);
	int64_t now = request_now(request);

	request->call = NULL;
	if (backend && (result == RESERVE_OK || result == RESERVE_FULL))
		backend_reached(backend);
	if (result == RESERVE_OK && is_lapsed(request, now)) {
		log_event(LOG_NOTICE, "reservation_lapsed",
			  LOG_S("request", request->caller.id),
			  LOG_D("after_ms",
				(now - request->asked_at) / USEC_PER_MSEC));
		stream_wait(request);
		return;
	}
	if (result == RESERVE_OK) {
		reserved(request, hold);
		return;
	}
	if (backend && result == RESERVE_FULL)
		stream_full(request, backend);
	else if (backend && result == RESERVE_UNREACHABLE)
		backend_unreachable(backend, now);
	else if (backend)
		backend_failed(backend, now);
	if (result == RESERVE_FAILED && backend)
		stream_full(request, backend);
	stream_wait(request);
}

static void reserve_call(struct request *request, struct backend *backend)
{
	const struct backend_ops *ops = &request->forward->parts.backends;

	request->asked_at = request_now(request);
	backend_claim_probe(backend, request->asked_at);
	request->call = ops->reserve(
		ops->ctx, &backend->info, reserved_tokens(request),
		stream_reserve_usec(request), on_reserved, request);
}

/* A server with room for so many requests like this one, whose prompt can be
 * read in time; NULL when there is none. */
static struct backend *decode_choose(struct request *request, uint32_t room)
{
	const struct engine_traits *engine = &request->service->engine;
	uint32_t tokens = stream_tokens(request);
	uint32_t ahead = most_ahead(request);
	struct backend *backend;
	struct backend *prefill;
	struct place place;

	request_place(request, &place);
	place.tried = NULL;
	/* An empty server has room for any request that fits at all. */
	backend =
		place_decode(&place, engine,
			     MAX(tokens, MIN(tokens * room,
					     (uint32_t)engine->memory_tokens)));
	if (!backend)
		return NULL;
	prefill = place_prompt(&place, backend, request->caller.prompt_tokens,
			       ahead);
	if (prefill && backend_prefill_tokens(prefill) > ahead)
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
		backend = decode_choose(request, room);
		if (!backend)
			return false;
		permit = request_permit(request, backend, PERMIT_STEP_RESERVE);
	}
	stream_unwait(request);
	charge_add(request, &request->decode, backend, &load);
	placed_log(request, "reserve", backend);
	request->is_probe = backend_refusing(backend);
	request->target = backend->info;
	if (permit == PERMIT_GRANTED)
		reserve_call(request, backend);
	return true;
}

void stream_permitted(struct request *request, struct backend *backend)
{
	if (request_quarantine(request))
		return;
	if (backend)
		reserve_call(request, backend);
	else
		stream_wait(request);
}

/* Its share of the work that requests of the service mostly are. */
static void stream_weigh(struct request *request)
{
	const struct caller_request *caller = &request->caller;
	struct engine_rates *rates =
		forward_rates(request->forward, request->service->id);
	uint32_t output = caller->output_expected;
	double work;

	if (output == 0)
		output = caller->output_max / 2;
	work = stream_cost(caller->prompt_tokens,
			   MIN(output, MAX(caller->output_max, 1u)));
	if (rates->work.samples == 0)
		median_init(&rates->work, work);
	median_add(&rates->work, work);
	request->weight = engine_rates_weight(rates, work);
}

/* Whether it may only be served where no server is. */
static bool regions_unserved(const struct request *request)
{
	struct place place;

	request_place(request, &place);
	return regions_limited(&place.regions) &&
	       !place_has_server(&place, STAGE_DECODE);
}

void stream_start(struct request *request)
{
	struct forward *forward = request->forward;

	demand_add(forward, request->service->id,
		   request->caller.prompt_tokens);
	stream_weigh(request);
	if (forward->draining || stream_waiting_full(forward)) {
		request_refuse(
			request,
			forward->draining ? RESULT_DRAINING : RESULT_QUEUE_FULL,
			forward->draining ? RETRY_ELSEWHERE_USEC : RETRY_USEC);
		return;
	}
	if (regions_unserved(request)) {
		request_refuse(request, RESULT_NO_BACKEND, RETRY_USEC);
		return;
	}
	if (!stream_reserve(request, 1))
		stream_wait(request);
}
