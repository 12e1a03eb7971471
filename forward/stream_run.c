/*
 * stream_run.c - the run of a stream: its answer passed on, event by event
 */
#include "stream.h"

#include "common/log.h"

/* A resumable stream leaves a server that is silent for this many pauses. */
#define SILENT_GAPS 4
#define SILENT_MIN_USEC (1200 * USEC_PER_MSEC)
/* Weight of a new measurement in the mean time from placing to first event. */
#define BEGIN_WEIGHT 0.1

static bool answer_streams(const struct request *request)
{
	const struct backend_head *head = &request->answer.head;

	return request->answer.has_head && head->status == 200 &&
	       head->is_signed && !head->mismatched;
}

static void run_head(void *ctx, const struct backend_head *head)
{
	struct request *request = ctx;

	/* A stream that goes on keeps the head of its first server. */
	if (!request->replied) {
		answer_take_head(request, head);
		return;
	}
	request->answer.has_head = true;
	request->answer.head.status = head->status;
	request->answer.head.not_run = head->not_run;
	request->answer.head.other_server = head->other_server;
	request->answer.head.is_signed = head->is_signed;
	request->answer.head.mismatched = head->mismatched;
}

static void begin_measure(struct request *request)
{
	struct forward *forward = request->forward;
	double took = (double)(request->first_at - request->placed_at);

	histogram_add(forward->first_time,
		      request->first_at - request->arrived);
	forward->begin_usec += BEGIN_WEIGHT * (took - forward->begin_usec);
}

/* A server that runs out of memory preempts a stream and reads it in again. */
static void stall_notice(struct request *request)
{
	int64_t gap = request->route->gap_usec;

	if (gap > 0 && request->last_at > 0 &&
	    request_now(request) - request->last_at > gap)
		request->stalled = true;
}

static void run_events(struct request *request, const void *data, size_t size)
{
	struct event_cutter *cutter = &request->cutter;
	size_t whole;

	if (!event_cutter_feed(cutter, data, size)) {
		request->answer.too_large = true;
		return;
	}
	whole = event_cutter_whole(cutter);
	if (whole == 0)
		return;
	if (!request->replied) {
		request_reply_start(request);
		begin_measure(request);
	}
	stall_notice(request);
	request->last_at = request_now(request);
	web_reply_piece(request->web, cutter->rest->data, whole);
	event_cutter_take(cutter, whole);
	request_unread_update(request);
}

/* Who read the prompt for this run; NULL when nobody did or it has left. */
static struct backend *result_source(const struct request *request)
{
	if (!request->kv[0])
		return NULL;
	return fleet_find(request->forward->parts.fleet,
			  backend_key(&request->kv_at));
}

/* Without a result the server reads the prompt itself, and others that would
 * have it read more are told. */
static void own_read_charge(struct request *request, struct backend *decode)
{
	const struct backend_load load = {
		.prefill_tokens = request->caller.prompt_tokens,
	};

	if (!request->kv[0])
		charge_add(request, &request->prefill, decode, &load);
}

/* The memory is the run's own now, and its result was fetched or its prompt
 * read. */
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
	if (!request->replied)
		answer_take_body(request, data, size);
}

/* A run with memory reserved is refused by a server that changes its role, or
 * because its result is gone. Which one it was shows when either takes part in
 * further runs, so both are suspected, unless one already is. */
static void refusal_blame(struct request *request, struct backend *decode)
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

/* The result of the prefill is kept: the next run may fetch it. */
static void run_refused(struct request *request, struct backend *backend)
{
	request->runs--;
	if (!request->answer.head.other_server) {
		if (backend)
			stream_full(request, backend);
		refusal_blame(request, backend);
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
		request_survived(request);
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
			     "error or unfinished answer");
}

static void run_done(void *ctx, const struct backend_end *end)
{
	struct request *request = ctx;
	struct backend *backend = stream_decode(request);
	const struct answer *answer = &request->answer;

	request->call = NULL;
	if (end->complete && !answer->head.not_run) {
		run_whole(request, backend);
		return;
	}
	stream_failed_log(request, "run", end);
	request_connection_lost(request, end);
	stream_record_failure(request, backend, end);
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
		     : end->timed_out	? RESULT_BACKEND_TIMEOUT
					: RESULT_STREAM_LOST,
		     end->text);
}

static int64_t silence_limit(const struct request *request)
{
	int64_t left = request_left(request);

	if (!request_repeatable(request) ||
	    request->runs + 1 >= request->route->attempts)
		return left;
	return MIN(left, MAX(SILENT_GAPS * request->route->gap_usec,
			     SILENT_MIN_USEC));
}

void stream_run(struct request *request)
{
	static const struct send_events events = {run_head, run_body, run_done};
	const struct backend_ops *ops = &request->forward->parts.backends;
	struct backend *decode = stream_decode(request);
	struct send_spec spec = {
		.kind = SEND_RUN,
		.caller = &request->caller,
		.to = &request->target,
		.left_usec = request_left(request),
		.connect_usec = BACKEND_CONNECT_USEC,
		.head_usec = silence_limit(request),
		.idle_usec = silence_limit(request),
		.kv_address = request->kv[0] ? request->kv_at.address : NULL,
		.kv_handle = request->kv[0] ? request->kv : NULL,
		.hold = request->hold[0] ? request->hold : NULL,
		.resumes = request->caller.resumes,
		.resume_after = request->caller.resume_after,
	};

	if (request_quarantine(request))
		return;
	charge_drop(request, &request->prefill);
	if (!decode ||
	    (!request->is_probe &&
	     !backend_usable(decode, request_now(request))) ||
	    !request_may_send(request)) {
		stream_retry(request, RESULT_RETRY_BUDGET,
			     "server left, or no send left");
		return;
	}
	if (request->replied && request->cutter.has_id) {
		spec.resumes = true;
		spec.resume_after = request->cutter.last_id;
	}
	placed_log(request, "run", decode);
	own_read_charge(request, decode);
	request->target = decode->info;
	request->sends++;
	request->runs++;
	request->call = ops->send(ops->ctx, &spec, &events, request);
}
