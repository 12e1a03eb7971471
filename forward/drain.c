/*
 * drain.c - requests at an instance that is about to stop
 */
#include "request.h"

/* Retry-After: another instance can take the request at once. */
#define RETRY_AFTER_USEC (20 * USEC_PER_MSEC)

/* Between events of a stream; the route's limit while it is not known. */
static double event_usec(const struct request *request)
{
	const struct engine_rates *rates =
		forward_rates(request->forward, request->service->id);

	return rates->event.samples >= RATES_SAMPLES_MIN
		       ? rates->event.value
		       : (double)request->route->gap_usec;
}

/* When a stream that is placed now ends. */
static int64_t stream_end(const struct request *request)
{
	const struct caller_request *caller = &request->caller;
	uint32_t events = caller->output_expected > 0 ? caller->output_expected
						      : caller->output_max / 2;
	double per_event = event_usec(request);
	double usec = request->forward->first_event_usec +
		      per_event * MAX(events, 1u);

	if (per_event <= 0.0 || usec >= (double)request_time_left(request))
		return request->deadline;
	return request_now(request) + (int64_t)usec;
}

bool drain_refuse_waiting(struct request *request)
{
	const struct forward *forward = request->forward;

	if (!forward->draining || request->replied ||
	    stream_end(request) <= forward->drain_until)
		return false;
	stream_dequeue(request);
	request_refuse(request, RESULT_DRAINING, RETRY_AFTER_USEC);
	return true;
}

bool drain_refuse_new(struct request *request)
{
	const struct forward *forward = request->forward;

	if (!forward->draining || (request_stage(request) != STAGE_DECODE &&
				   request->deadline <= forward->drain_until))
		return false;
	request_refuse(request, RESULT_DRAINING, RETRY_AFTER_USEC);
	return true;
}

void forward_drain(struct forward *forward, int64_t until)
{
	if (forward->draining)
		return;
	forward->draining = true;
	forward->drain_until = until;
	if (forward->waiting.length > 0)
		timer_start(&forward->pump, 0);
}

static void request_stop(struct request *request)
{
	static const char why[] = "process is stopping";

	if (request->replied)
		request_abort(request, why);
	else if (request->runs > 0)
		request_fail(request, RESULT_BACKEND_TIMEOUT, why);
	else
		request_refuse(request, RESULT_DRAINING, RETRY_AFTER_USEC);
}

void forward_stop(struct forward *forward)
{
	struct request *request;
	uint32_t cursor = 0;
	uint64_t handle;

	while ((request = table_next(forward->requests, &cursor, &handle)))
		request_stop(request);
}
