/*
 * resume.c - the version that a resumed stream goes on at
 */
#include "common/id.h"
#include "common/log.h"
#include "request.h"

/* Timeout for the answers of the homes and of the store, well above a round
 * trip between data centres to a busy instance. */
#define ANSWER_TIMEOUT_USEC (120 * USEC_PER_MSEC)
/* Retry-After: other instances know no more, unless this one is cut off. */
#define RETRY_AFTER_USEC (20 * USEC_PER_MSEC)
#define CALLER_LIMIT_USEC (30 * USEC_PER_SEC)
/* An instance that follows the list learns within this time whether it has
 * changed. */
#define LIST_FRESH_USEC (2 * USEC_PER_SEC)

/* The time within which the stream began. Callers are taken to wait no longer
 * than CALLER_LIMIT_USEC, two attempts at the route's timeout, or twice the
 * time that they have left. The timeout may have been longer when the stream
 * began.
 */
static int64_t age_max(const struct request *request)
{
	int64_t timeout = request->route->timeout_usec;
	int64_t left = request->caller.limit_usec;
	int64_t waited = MAX(2 * timeout, CALLER_LIMIT_USEC) - left;

	return MAX(waited, MAX(timeout, left));
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

/* Whether no server that this instance has seen states a version. */
static bool has_no_software(const struct forward *forward, uint64_t service)
{
	bool mixed;

	return fleet_sole_software(forward->parts.fleet, service, INT64_MIN,
				   &mixed) != 0;
}

/* Whether the list was complete at that time. */
static bool list_covers(const struct forward *forward, int64_t at)
{
	const struct forward_parts *parts = &forward->parts;
	int64_t age = parts->list_age(parts->callbacks_ctx);

	return age >= 0 && clock_now(parts->clock) - age >= at;
}

void forward_origin_answer(const struct forward *forward,
			   const struct origin_query *query,
			   struct origin_answer *answer)
{
	const struct forward_parts *parts = &forward->parts;
	int64_t now = clock_now(parts->clock);

	answer->software = origins_get(parts->origins, query->stream);
	answer->sole =
		fleet_sole_software(parts->fleet, query->service,
				    now - query->window_usec, &answer->mixed);
	if (!list_covers(forward, now - LIST_FRESH_USEC) &&
	    !has_no_software(forward, query->service))
		answer->sole = 0;
}

/* The answer of this instance, whose version is the only one for as long as it
 * has followed the list. */
static void own_answer(struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;
	const struct origin_query query = query_of(request);
	struct origin_answer *own = &request->answers[0];
	int64_t since = request->resumed_at - query.window_usec;
	int64_t followed_since = fleet_complete_since(parts->fleet);

	own->software = origins_get(parts->origins, query.stream);
	own->sole =
		fleet_sole_software(parts->fleet, query.service,
				    MAX(since, followed_since), &own->mixed);
	request->list_sufficient =
		followed_since <= since ||
		has_no_software(request->forward, query.service);
}

/* Whether the list shows all servers that other instances can have used for the
 * stream. */
static bool list_is_confirmed(const struct request *request)
{
	return list_covers(request->forward, request->resumed_at) ||
	       has_no_software(request->forward, request->service->id);
}

/* Whether one version is shown for all the time within which the stream began:
 * by the list as this instance has followed it, or by that of another one
 * before. */
static bool window_is_covered(const struct request *request)
{
	const struct fleet *fleet = request->forward->parts.fleet;
	bool follows = fleet_complete_since(fleet) <=
		       request->resumed_at - LIST_FRESH_USEC;

	if (request->list_sufficient)
		return true;
	for (uint32_t i = 1; follows && i < request->answer_count; i++)
		if (request->answers[i].sole)
			return true;
	return false;
}

static uint64_t software_decide(const struct request *request)
{
	for (uint32_t i = 0; i < request->answer_count; i++)
		if (request->answers[i].software)
			return request->answers[i].software;
	if (!list_is_confirmed(request) || !window_is_covered(request))
		return 0;
	return origin_decide(request->answers, request->answer_count);
}

static void resume_log(const struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;
	int64_t followed =
		request->resumed_at -
		MIN(fleet_complete_since(parts->fleet), request->resumed_at);

	log_event(request->software ? LOG_INFO : LOG_NOTICE, "stream_resumed",
		  LOG_S("request", request->caller.id),
		  LOG_S("stream", request->caller.stream),
		  LOG_D("after", (int64_t)request->caller.resume_after),
		  LOG_D("known", request->software != 0),
		  LOG_D("answers", request->answer_count),
		  LOG_D("asked", request->answers_awaited),
		  LOG_D("sole", request->answers[0].sole != 0),
		  LOG_D("mixed", request->answers[0].mixed),
		  LOG_D("list_confirmed", list_is_confirmed(request)),
		  LOG_D("followed_ms", followed / USEC_PER_MSEC));
}

static void resume_settle(struct request *request)
{
	timer_stop(&request->resume_timer);
	own_answer(request);
	request->software = software_decide(request);
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
	return !request->list_sufficient && !own->mixed;
}

/* Reads the list if a single version is to be shown by it. Returns whether it
 * is awaited. */
static bool list_await(const struct request *request)
{
	struct forward *forward = request->forward;
	const struct origin_answer *own = &request->answers[0];

	if (own->software || own->mixed || list_is_confirmed(request) ||
	    !forward->parts.list_read(forward->parts.callbacks_ctx))
		return false;
	forward->list_awaited = true;
	return true;
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
	request->resumed_at = request_now(request);
	own_answer(request);
	request->answer_count = 1;
	if (asks_homes(request))
		request->answers_awaited =
			parts->origin_ask(parts->callbacks_ctx, &query);
	request->list_awaited = list_await(request);
	if (request->answers_awaited > 0 || request->list_awaited)
		timer_start(&request->resume_timer, ANSWER_TIMEOUT_USEC);
	else
		resume_settle(request);
}

void resume_timed_out(struct timer *timer, void *ctx)
{
	resume_settle(ctx);
}

static bool awaits(const struct request *request)
{
	return request->answer_count <= request->answers_awaited ||
	       request->list_awaited;
}

void forward_list_synced(struct forward *forward)
{
	struct request *request;
	uint64_t handle;
	uint32_t cursor = 0;

	if (!forward->list_awaited)
		return;
	forward->list_awaited = false;
	while ((request = table_next(forward->requests, &cursor, &handle))) {
		if (!request->list_awaited ||
		    !timer_running(&request->resume_timer))
			continue;
		request->list_awaited = list_await(request);
		if (!awaits(request))
			resume_settle(request);
	}
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
	if (answer->software || !awaits(request))
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
