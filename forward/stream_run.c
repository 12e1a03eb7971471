/*
 * stream_run.c - the run of a stream and the relay of its events
 */
#include "stream.h"

#include "common/log.h"

/* Idle timeout of a resumable stream's server, in multiples of the route's gap
 * between events, and its lower bound: a healthy server may be silent for a
 * second or so. */
#define IDLE_TIMEOUT_GAPS 4
#define IDLE_TIMEOUT_MIN_USEC (2 * USEC_PER_SEC)
/* Time to resume the stream elsewhere before its caller gives up. */
#define RESUME_USEC (800 * USEC_PER_MSEC)
/* Weight of a new sample in the mean time from reservation to first event. */
#define FIRST_EVENT_WEIGHT 0.1

static bool answer_streams(const struct request *request)
{
	const struct backend_head *head = &request->answer.head;

	return request->answer.has_head && head->status == 200 &&
	       head->is_signed && !head->mismatched;
}

static void run_head(void *ctx, const struct backend_head *head)
{
	struct request *request = ctx;

	request_connected(request);
	request_stated(request, head);
	/* A resumed stream keeps the head sent by its first server. */
	if (!request->replied) {
		answer_set_head(request, head);
		request_received_update(request);
		return;
	}
	request->answer.has_head = true;
	request->answer.dropped = 0;
	request->answer.head.status = head->status;
	request->answer.head.not_run = head->not_run;
	request->answer.head.other_server = head->other_server;
	request->answer.head.is_signed = head->is_signed;
	request->answer.head.mismatched = head->mismatched;
}

static void first_event_measure(struct request *request)
{
	struct forward *forward = request->forward;
	double took = (double)(request->first_at - request->placed_at);

	histogram_add(forward->first_time,
		      request->first_at - request->arrived);
	forward->first_event_usec +=
		FIRST_EVENT_WEIGHT * (took - forward->first_event_usec);
}

/* A server that runs out of memory preempts a stream and recomputes its prefill
 * later. */
static void stall_check(struct request *request)
{
	int64_t gap = request->route->gap_usec;

	if (gap > 0 && request->last_at > 0 &&
	    request_now(request) - request->last_at > gap)
		request->stalled = true;
}

static void events_relay(struct request *request, size_t size)
{
	struct event_cutter *cutter = &request->cutter;

	if (!request->replied) {
		if (!request->software)
			request->software = request->target.software;
		request_reply_start(request);
		first_event_measure(request);
	}
	resume_record(request, false);
	stall_check(request);
	request->last_at = request_now(request);
	web_reply_piece(request->web, cutter->rest->data, size);
	event_cutter_consume(cutter, size);
}

static void run_events(struct request *request, const void *data, size_t size)
{
	struct event_cutter *cutter = &request->cutter;
	size_t whole;

	if (!event_cutter_feed(cutter, data, size)) {
		request->answer.too_large = true;
		request_received_update(request);
		return;
	}
	whole = event_cutter_complete_bytes(cutter);
	if (whole > 0)
		events_relay(request, whole);
	if (whole == 0 || cutter->began_anew)
		request_received_update(request);
	else
		request_unread_update(request);
}

/* The server that prefilled for this run; NULL when there is none or it is no
 * longer listed. */
static struct backend *result_source(const struct request *request)
{
	if (!request->kv[0])
		return NULL;
	return fleet_find(request->forward->parts.fleet,
			  backend_key(&request->kv_source));
}

/* Without a prefill result the decode server computes the prefill itself. The
 * charge announces that to instances that would send it further prompts. */
static void own_prefill_charge(struct request *request, struct backend *decode)
{
	const struct backend_load load = {
		.prefill_tokens = request->caller.prompt_tokens,
	};

	if (!request->kv[0])
		charge_add(request, &request->prefill, decode, &load);
}

/* From now on the run owns the reserved memory, and the prefill result has been
 * fetched or the prefill computed. */
static void run_began(struct request *request)
{
	struct backend *decode = stream_decode(request);
	struct backend *source = result_source(request);

	charge_drop(request, &request->prefill);
	if (decode)
		backend_run_started(decode);
	if (source)
		backend_run_started(source);
	request->hold[0] = '\0';
	request->kv[0] = '\0';
}

static void run_body(void *ctx, const void *data, size_t size)
{
	struct request *request = ctx;

	if (answer_streams(request)) {
		run_began(request);
		run_events(request, data, size);
		return;
	}
	if (request->replied)
		answer_drop_body(request, size);
	else
		answer_append_body(request, data, size, ANSWER_BYTES_MAX);
}

/* A run with reserved memory is refused if the decode server changes its role
 * or the prefill result is gone. Which of the two it was becomes clear only
 * from later runs, so the refusal is recorded for both servers, unless one of
 * them is already known to refuse runs. */
static void run_record_refusal(struct request *request, struct backend *decode)
{
	struct backend *source = result_source(request);
	bool decode_known = decode && backend_refusing(decode);
	bool source_known = source && backend_refusing(source);
	int64_t now = request_now(request);

	if (now - request->placed_at >= stream_reserve_usec(request))
		return;
	if (decode && !source_known)
		backend_run_refused(decode, now);
	if (source && !decode_known)
		backend_run_refused(source, now);
	if (source && backend_refusing(source))
		request_drop_result(request);
}

/* Keeps the prefill result: the next run may fetch it. */
static void run_refused(struct request *request, struct backend *backend)
{
	request->runs--;
	if (!request->answer.head.other_server) {
		if (backend)
			stream_record_full(request, backend);
		run_record_refusal(request, backend);
	}
	stream_retry(request, RESULT_BACKEND_REFUSED, "server is full");
}

static void run_whole(struct request *request, struct backend *backend)
{
	int64_t now = request_now(request);

	if (answer_streams(request) && !request->answer.too_large &&
	    request->cutter.rest->len == 0 && request->replied) {
		if (backend)
			backend_succeeded(backend, now);
		request_record_success(request);
		stream_measured(request);
		request_finish(request);
		return;
	}
	if (backend)
		backend_failed(backend, now);
	event_cutter_drop(&request->cutter);
	request_drop_result(request);
	if (!request->replied && !answer_streams(request) &&
	    answer_may_pass(&request->answer) && !request_repeatable(request))
		request_relay(request);
	else
		stream_retry(request, RESULT_BACKEND_FAILED,
			     "server error or incomplete answer");
}

static void run_done(void *ctx, const struct backend_end *end)
{
	struct request *request = ctx;
	struct backend *backend = stream_decode(request);
	const struct answer *answer = &request->answer;

	request->call = NULL;
	request_received_end(request, end);
	if (request_confirm(request, end))
		return;
	if (end->complete && !answer->head.not_run) {
		run_whole(request, backend);
		return;
	}
	stream_failed_log(request, "run", end);
	request_connection_lost(request, end);
	stream_record_failure(request, backend, end);
	if (backend && request->cutter.began_anew)
		tried_add(&request->began_anew, backend->key);
	event_cutter_drop(&request->cutter);
	if (answer->has_head && answer->head.not_run &&
	    !answer->head.mismatched) {
		run_refused(request, backend);
		return;
	}
	request_uncount(request, end);
	if (!end->not_run)
		request_drop_result(request);
	stream_retry(request,
		     request->runs == 0 ? RESULT_NO_BACKEND
		     : end->rejected	? RESULT_STREAM_LOST
		     : end->timed_out	? RESULT_BACKEND_TIMEOUT
					: RESULT_STREAM_LOST,
		     end->text);
}

static int64_t idle_timeout(const struct request *request)
{
	int64_t left = request_time_left(request);

	if (!request_repeatable(request) ||
	    request->runs + 1 >= request->route->attempts)
		return left;
	return MIN(MIN(left, stream_caller_timeout(request) - RESUME_USEC),
		   MAX(IDLE_TIMEOUT_GAPS * request->route->gap_usec,
		       IDLE_TIMEOUT_MIN_USEC));
}

/* The list may have shown another version of the server since it reserved, or
 * that version may have been barred. */
static bool may_run(const struct request *request, const struct backend *decode)
{
	uint64_t software = decode->info.software;

	return (!request->software || software == request->software) &&
	       !barred_has(&request->barred, software);
}

void stream_run(struct request *request)
{
	static const struct send_events events = {run_head, run_body, run_done};
	const struct backend_ops *ops = &request->forward->parts.backends;
	struct backend *decode = stream_decode(request);
	struct send_spec spec = {
		.kind = SEND_RUN,
		.caller = &request->caller,
		.left_usec = request_time_left(request),
		.connect_usec = BACKEND_CONNECT_USEC,
		.head_usec = idle_timeout(request),
		.idle_usec = idle_timeout(request),
		.kv_address =
			request->kv[0] ? request->kv_source.address : NULL,
		.kv_handle = request->kv[0] ? request->kv : NULL,
		.hold = request->hold[0] ? request->hold : NULL,
		.resumes = request->caller.resumes,
		.resume_after = request->caller.resume_after,
	};

	if (request_quarantine(request))
		return;
	charge_drop(request, &request->prefill);
	if (!decode || !may_run(request, decode) ||
	    (!request->is_probe &&
	     !backend_usable(decode, request_now(request))) ||
	    !request_choose_path(request, decode) ||
	    !request_may_send(request)) {
		stream_retry(
			request, RESULT_RETRY_BUDGET,
			"decode server not usable, or retry budget exhausted");
		return;
	}
	if (request->cutter.position == EVENTS_NUMBERED) {
		spec.resumes = true;
		spec.resume_after = request->cutter.last_id;
	}
	event_cutter_begin(&request->cutter, spec.resumes, spec.resume_after);
	spec.link = request_link(request, decode);
	placed_log(request, "run", decode);
	own_prefill_charge(request, decode);
	request->sends++;
	request->runs++;
	request->call_done = events.done;
	request->call = ops->send(ops->ctx, &spec, &events, request);
}
