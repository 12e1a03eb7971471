/*
 * plain.c - requests that one server answers with a single call
 *
 * DESCRIPTION
 *	The answer is buffered until it is complete. A truncated one is replaced
 *	by an error, or by the answer of another server if the request may be
 *	retried.
 */
#include "request.h"

#include "common/log.h"

/* Timeout of the answer's head for a repeatable request, in multiples of the
 * route's target, and its lower bound. */
#define HEAD_TIMEOUT_TARGETS 2
#define HEAD_TIMEOUT_MIN_USEC (150 * USEC_PER_MSEC)
/* Retry-After: a server becomes free within about one call (15 ms). */
#define RETRY_AFTER_USEC (40 * USEC_PER_MSEC)
/* Requests at a server, in multiples of its slots, above which a further one
 * would be late or refused. */
#define QUEUE_SLOTS 5u

/* Relays that may fail one call. */
#define RELAY_FAILURES_MAX 3u

/* Permit requests that one call may make. */
#define PERMIT_ATTEMPTS_MAX 4u

static void plain_send(struct request *request, struct backend *backend);

static struct backend *target_get(struct request *request)
{
	return fleet_find(request->forward->parts.fleet,
			  backend_key(&request->target));
}

struct backend *plain_choose(const struct request *request, bool first)
{
	struct backend *backend;
	struct place place;

	request_place(request, &place);
	/* A retry avoids servers with a rate limit, which are overloaded. */
	place.unlimited = !first;
	place.unconnected = &request->unconnected;
	backend = place_plain(&place);
	if (backend || request->relay_failures >= RELAY_FAILURES_MAX)
		return backend;
	place.unconnected = NULL;
	return place_plain(&place);
}

static struct backend *server_choose(struct request *request, bool first)
{
	struct backend *backend = plain_choose(request, first);

	while (backend && !request_choose_path(request, backend))
		backend = plain_choose(request, first);
	return backend;
}

/* A request that a server answered with an error mostly fails at other servers
 * too, so its retry only takes a free slot and never delays waiting requests.
 */
static bool should_retry(const struct request *request,
			 const struct backend *backend)
{
	return !answer_may_pass(&request->answer) ||
	       place_has_free_slot(backend);
}

/* Sends to another server, or ends the request with code and why. */
static void plain_retry(struct request *request, enum result_code code,
			const char *why)
{
	bool may_retry = (request->runs == 0 || request_repeatable(request)) &&
			 !request_is_suspect(request);

	if (may_retry && request->runs < request->route->attempts &&
	    request_time_left(request) > 0) {
		struct backend *backend = server_choose(request, false);

		if (request_quarantine(request))
			return;
		if (backend && should_retry(request, backend) &&
		    request_may_send(request)) {
			plain_send(request, backend);
			return;
		}
	}
	if (request->runs > 0 && code == RESULT_BACKEND_FAILED &&
	    answer_may_pass(&request->answer))
		request_relay(request);
	else if (request->runs > 0)
		request_fail(request, code, why);
	else
		request_refuse(request, code, RETRY_AFTER_USEC);
}

static void plain_answered(struct request *request, struct backend *backend)
{
	const struct backend_head *head = &request->answer.head;
	int64_t now = request_now(request);

	request_record_success(request);
	if (head->status >= 500 || !answer_may_pass(&request->answer)) {
		log_event(LOG_INFO, "send_failed",
			  LOG_S("request", request->caller.id),
			  LOG_S("backend", request->target.id),
			  LOG_D("status", head->status),
			  LOG_S("why", "error or unsigned answer"));
		if (backend)
			backend_failed(backend, now);
		plain_retry(request, RESULT_BACKEND_FAILED,
			    "error or unsigned answer");
		return;
	}
	if (backend)
		backend_succeeded(backend, now);
	request_relay(request);
}

/* The server may still be reached on another path. */
static void plain_unconnected(struct request *request,
			      const struct backend_end *end)
{
	request_unconnected(request, end);
	if (request->relay[0] && end->relay_failure == RELAY_OK)
		return;
	tried_remove(&request->tried, backend_key(&request->target));
	tried_add(&request->unconnected, backend_key(&request->target));
}

static void plain_broken(struct request *request, struct backend *backend,
			 const struct backend_end *end)
{
	log_event(LOG_NOTICE, "send_failed",
		  LOG_S("request", request->caller.id),
		  LOG_S("backend", request->target.id),
		  LOG_D("connected", end->connected),
		  LOG_D("not_run", end->not_run), LOG_S("why", end->text));
	answer_clear(&request->answer);
	if (!end->connected)
		plain_unconnected(request, end);
	else if (backend)
		backend_failed(backend, request_now(request));
	request_uncount(request, end);
	plain_retry(request,
		    request->runs == 0 ? RESULT_NO_BACKEND
		    : end->rejected    ? RESULT_BACKEND_FAILED
		    : end->timed_out   ? RESULT_BACKEND_TIMEOUT
				       : RESULT_BACKEND_FAILED,
		    end->text);
}

static void plain_not_run(struct request *request, struct backend *backend)
{
	log_event(LOG_INFO, "send_refused",
		  LOG_S("request", request->caller.id),
		  LOG_S("backend", request->target.id),
		  LOG_D("status", request->answer.head.status),
		  LOG_D("other", request->answer.head.other_server));
	request->runs--;
	if (request->answer.head.other_server)
		path_failed(request->forward, &request->target, request->relay,
			    RELAY_OK);
	else if (backend)
		backend_failed(backend, request_now(request));
	answer_clear(&request->answer);
	plain_retry(request, RESULT_BACKEND_REFUSED, "server is full");
}

static void on_head(void *ctx, const struct backend_head *head)
{
	request_connected(ctx);
	request_stated(ctx, head);
	answer_set_head(ctx, head);
	request_received_update(ctx);
}

static void on_body(void *ctx, const void *data, size_t size)
{
	answer_append_body(ctx, data, size, ANSWER_BYTES_MAX);
}

static void on_done(void *ctx, const struct backend_end *end)
{
	struct request *request = ctx;
	struct answer *answer = &request->answer;
	struct backend *backend = target_get(request);
	struct backend_end rejected = {.connected = true};

	request->call = NULL;
	request_received_end(request, end);
	if (request_confirm(request, end))
		return;
	charge_drop(request, &request->decode);
	dispatched_end(request, end);
	if (answer->has_head && !answer->head.mismatched &&
	    answer->head.not_run) {
		plain_not_run(request, backend);
		return;
	}
	if (end->complete && !answer->head.mismatched && !answer->too_large) {
		plain_answered(request, backend);
		return;
	}
	rejected.text = answer->too_large ? "answer too large"
					  : "answer to another request";
	if (!end->complete)
		request_connection_lost(request, end);
	plain_broken(request, backend, end->complete ? &rejected : end);
}

static int64_t head_timeout(const struct request *request)
{
	int64_t left = request_time_left(request);
	int64_t head_usec =
		MAX(request->route->target_usec * HEAD_TIMEOUT_TARGETS,
		    HEAD_TIMEOUT_MIN_USEC);

	if (!request_repeatable(request) ||
	    request->runs + 1 >= request->route->attempts)
		return left;
	return MIN(left, head_usec);
}

static void plain_send(struct request *request, struct backend *backend)
{
	static const struct send_events events = {on_head, on_body, on_done};
	static const struct backend_load load = {.requests = 1};
	const struct backend_ops *ops = &request->forward->parts.backends;
	struct send_spec spec = {
		.kind = SEND_RUN,
		.caller = &request->caller,
		.left_usec = request_time_left(request),
		.connect_usec = BACKEND_CONNECT_USEC,
		.head_usec = head_timeout(request),
		.idle_usec = request_time_left(request),
		.resumes = request->caller.resumes,
		.resume_after = request->caller.resume_after,
	};

	backend_claim_probe(backend, request_now(request));
	spec.link = request_link(request, backend);
	placed_log(request, "call", backend);
	tried_add(&request->tried, backend->key);
	charge_add(request, &request->decode, backend, &load);
	request->sends++;
	request->runs++;
	request->placed_at = request_now(request);
	request->call_done = events.done;
	request->call = ops->send(ops->ctx, &spec, &events, request);
}

static void plain_refuse(struct request *request)
{
	int64_t available_at = request_available_at(request, STAGE_NONE);

	if (available_at > 0)
		request_refuse_until(request, available_at);
	else
		request_refuse(request, RESULT_NO_BACKEND, RETRY_AFTER_USEC);
}

/* The dispatcher does not know what this instance and the request may use. */
static bool grant_usable(struct request *request, struct backend *backend)
{
	struct place place;

	if (!backend)
		return false;
	request_place(request, &place);
	place.unconnected = &request->unconnected;
	return place_allows(&place, backend) &&
	       request_choose_path(request, backend);
}

void plain_granted(struct request *request, struct backend *backend)
{
	enum permit permit = PERMIT_DENIED;

	if (request_quarantine(request))
		return;
	if (grant_usable(request, backend) &&
	    request->permit_attempts < PERMIT_ATTEMPTS_MAX)
		permit = request_permit(request, backend, PERMIT_STEP_CALL);
	if (permit == PERMIT_GRANTED)
		plain_send(request, backend);
	else if (permit == PERMIT_DENIED)
		plain_start(request);
}

void plain_start(struct request *request)
{
	enum permit permit = PERMIT_DENIED;
	struct backend *backend;

	if (dispatched_start(request))
		return;
	while (permit == PERMIT_DENIED) {
		backend = request->permit_attempts < PERMIT_ATTEMPTS_MAX
				  ? server_choose(request, true)
				  : NULL;
		if (!backend) {
			plain_refuse(request);
			return;
		}
		if (backend_requests(backend) >
		    backend->info.slots * QUEUE_SLOTS) {
			request_refuse(request, RESULT_QUEUE_FULL,
				       RETRY_AFTER_USEC);
			return;
		}
		permit = request_permit(request, backend, PERMIT_STEP_CALL);
	}
	if (permit == PERMIT_GRANTED)
		plain_send(request, backend);
}

void plain_permitted(struct request *request, struct backend *backend)
{
	if (request_quarantine(request))
		return;
	if (backend && !barred_has(&request->barred, backend->info.software))
		plain_send(request, backend);
	else
		plain_start(request);
}
