/*
 * resume.c - the version that a resumed stream goes on at
 */
#include "common/id.h"
#include "common/log.h"
#include "request.h"

/* Timeout for the answers of the homes, well above a round trip between data
 * centres to a busy instance. */
#define ANSWER_TIMEOUT_USEC (120 * USEC_PER_MSEC)
/* Retry-After: other instances know no more, unless this one is cut off. */
#define RETRY_AFTER_USEC (20 * USEC_PER_MSEC)

/* The time within which the stream began: the limit of its caller is taken to
 * be no more than two attempts at the route's timeout. */
static int64_t age_max(const struct request *request)
{
	int64_t timeout = request->route->timeout_usec;

	return MAX(2 * timeout - request->caller.limit_usec, timeout);
}

static struct origin_query query_of(const struct request *request)
{
	return (struct origin_query){
		.id = request->handle,
		.stream = request->stream,
		.service = request->service->id,
		.window_usec = age_max(request),
	};
}

void forward_origin_answer(const struct forward *forward,
			   const struct origin_query *query,
			   struct origin_answer *answer)
{
	const struct forward_parts *parts = &forward->parts;

	answer->software = origins_get(parts->origins, query->stream);
	answer->sole = fleet_sole_software(
		parts->fleet, query->service,
		clock_now(parts->clock) - query->window_usec, &answer->mixed);
	if (!parts->list_current(parts->callbacks_ctx))
		answer->sole = 0;
}

static void resume_log(const struct request *request)
{
	log_event(request->software ? LOG_INFO : LOG_NOTICE, "stream_resumed",
		  LOG_S("request", request->caller.id),
		  LOG_S("stream", request->caller.stream),
		  LOG_D("after", (int64_t)request->caller.resume_after),
		  LOG_D("known", request->software != 0),
		  LOG_D("answers", request->answer_count),
		  LOG_D("asked", request->answers_awaited),
		  LOG_D("sole", request->answers[0].sole != 0),
		  LOG_D("mixed", request->answers[0].mixed));
}

static void resume_settle(struct request *request)
{
	timer_stop(&request->resume_timer);
	request->software =
		origin_decide(request->answers, request->answer_count);
	resume_log(request);
	if (request->software)
		request_serve(request);
	else
		request_refuse(request, RESULT_STREAM_UNKNOWN,
			       RETRY_AFTER_USEC);
}

/* A caller that does not name the stream can only be helped by what the homes
 * know of the versions. */
static bool asks_homes(const struct request *request)
{
	const struct origin_answer *own = &request->answers[0];

	if (request->caller.stream[0])
		return !own->software;
	return !own->sole && !own->mixed;
}

void resume_start(struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;
	const struct caller_request *caller = &request->caller;
	struct origin_query query;

	request->stream =
		id_of(caller->stream[0] ? caller->stream : caller->id);
	if (!caller->resumes) {
		request_serve(request);
		return;
	}
	query = query_of(request);
	forward_origin_answer(request->forward, &query, &request->answers[0]);
	request->answer_count = 1;
	if (asks_homes(request))
		request->answers_awaited =
			parts->origin_ask(parts->callbacks_ctx, &query);
	if (request->answers_awaited > 0)
		timer_start(&request->resume_timer, ANSWER_TIMEOUT_USEC);
	else
		resume_settle(request);
}

void resume_timed_out(struct timer *timer, void *ctx)
{
	resume_settle(ctx);
}

void forward_origin_answered(struct forward *forward, uint64_t id,
			     uint64_t stream,
			     const struct origin_answer *answer)
{
	struct request *request = table_get(forward->requests, id);

	if (!request || request->stream != stream ||
	    !timer_running(&request->resume_timer) ||
	    request->answer_count >= RESUME_ANSWERS_MAX)
		return;
	request->answers[request->answer_count++] = *answer;
	if (answer->software ||
	    request->answer_count > request->answers_awaited)
		resume_settle(request);
}

void resume_record(struct request *request, bool at_once)
{
	const struct forward_parts *parts = &request->forward->parts;
	int64_t now = request_now(request);

	if (!request->route || request->route->kind != ROUTE_STREAM ||
	    !request->route->resumable || !request->software)
		return;
	if (!at_once && request->origin_sent_at > 0 &&
	    now - request->origin_sent_at < ORIGIN_REFRESH_USEC)
		return;
	request->origin_sent_at = now;
	if (!origins_put(parts->origins, request->stream, request->software))
		log_event(LOG_WARNING, "origins_full",
			  LOG_S("request", request->caller.id));
	parts->origin_began(parts->callbacks_ctx, request->stream,
			    request->software);
}

bool resume_is_unserved(const struct request *request)
{
	struct place place;

	if (!request->software && request->began_anew.count == 0)
		return false;
	request_place(request, &place);
	place.tried = &request->began_anew;
	return !place_has_server(&place,
				 request->service->engine.memory_tokens > 0
					 ? STAGE_DECODE
					 : STAGE_NONE);
}
