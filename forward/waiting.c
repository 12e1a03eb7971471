/*
 * waiting.c - queue of the streams that wait for decode memory
 */
#include "forward/overload.h"
#include "request.h"

/* Interval between attempts to place waiting requests. A runner frees memory
 * every few tens of milliseconds. */
#define PUMP_INTERVAL_USEC (15 * USEC_PER_MSEC)
/* Maximum number of requests that wait at an instance. */
#define WAITING_MAX 512u
/* A caller gives up a stream without events after the longest of
 * CALLER_TIMEOUT_USEC and these multiples of its targets. A request that cannot
 * begin by then, less the time of a prefill, is refused while its caller still
 * waits for an answer. */
#define CALLER_TIMEOUT_USEC (2 * USEC_PER_SEC)
#define CALLER_TIMEOUT_TARGETS 4
#define CALLER_TIMEOUT_GAPS 8
#define PREFILL_USEC (400 * USEC_PER_MSEC)
/* A request that will miss its target is only placed where memory for this many
 * requests like it is free. */
#define LATE_ROOM_FACTOR 3u
/* Retry time sent to the caller of a request that expired while waiting: memory
 * is freed within this time. */
#define RETRY_AFTER_USEC (300 * USEC_PER_MSEC)

void stream_dequeue(struct request *request)
{
	if (!request->waiting)
		return;
	g_queue_unlink(&request->forward->waiting, &request->link);
	request->waiting = false;
	room_withdraw(request);
}

void stream_enqueue(struct request *request)
{
	struct forward *forward = request->forward;

	charge_drop(request, &request->prefill);
	charge_drop(request, &request->decode);
	request->waiting = true;
	g_queue_push_tail_link(&forward->waiting, &request->link);
	if (!timer_running(&forward->pump))
		timer_start(&forward->pump, 0);
}

bool stream_waiting_full(const struct forward *forward)
{
	return forward->waiting.length >= WAITING_MAX;
}

struct overload_caller stream_caller(const struct request *request)
{
	bool ranked = room_ranked(request->forward);

	return (struct overload_caller){
		.arrived = request->arrived,
		.target_usec = request->route->target_usec,
		.urgency = request_urgency(request),
		.priority = ranked ? request->route->priority : 0,
		.weight = request->weight,
	};
}

static bool meets_target(const struct request *request, int64_t now)
{
	const struct overload_caller caller = stream_caller(request);

	return overload_meets_target(&caller, now,
				     request->forward->first_event_usec);
}

/* Whether only a part of the servers can continue the stream. */
static bool is_confined(const struct request *request)
{
	const GPtrArray *servers = fleet_service(request->forward->parts.fleet,
						 request->service->id);

	for (guint i = 0; request->software && servers && i < servers->len;
	     i++) {
		const struct backend *backend = servers->pdata[i];

		if (backend->info.software != request->software)
			return true;
	}
	return false;
}

static bool goes_first(const struct request *request, int64_t now)
{
	return is_confined(request) || meets_target(request, now);
}

/* Streams that only a part of the servers can continue go before others. */
static gint order_compare(gconstpointer a, gconstpointer b)
{
	const struct request *first = *(struct request *const *)a;
	const struct request *second = *(struct request *const *)b;
	const struct overload_caller one = stream_caller(first);
	const struct overload_caller other = stream_caller(second);

	if (is_confined(first) != is_confined(second))
		return is_confined(first) ? -1 : 1;
	return overload_compare(&one, &other);
}

static void waiting_place(struct forward *forward, bool in_time)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new();
	int64_t now = clock_now(forward->parts.clock);
	uint32_t blocked_rank = 0;
	bool blocked = false;
	bool claimed = false;

	for (GList *link = forward->waiting.tail; link; link = link->prev)
		if (goes_first(link->data, now) == in_time)
			g_ptr_array_add(list, link->data);
	g_ptr_array_sort(list, order_compare);
	for (guint i = 0; i < list->len; i++) {
		struct request *request = list->pdata[i];

		if (blocked && !is_confined(request) &&
		    room_rank(request) <= blocked_rank)
			continue;
		if (request_quarantine(request))
			continue;
		if (stream_reserve(request, in_time ? 1 : LATE_ROOM_FACTOR))
			continue;
		if (in_time && !claimed) {
			room_claim(request);
			claimed = true;
		}
		if (is_confined(request) || request->barred.count > 0)
			continue;
		if (!room_ranked(forward))
			return;
		/* Where memory is claimed for it, others may use the rest. */
		blocked = true;
		blocked_rank = room_rank(request);
	}
}

/* Requests that are served before this one, at all instances. */
static uint32_t waiting_before(const struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;

	if (room_ranked(request->forward) && parts->waiting_ranked)
		return parts->waiting_ranked(parts->callbacks_ctx,
					     room_rank(request));
	return parts->waiting(parts->callbacks_ctx);
}

/* Seconds until the requests that wait at all instances are placed. */
static double queue_sec(const struct request *request)
{
	struct place place;
	double places;

	request_place(request, &place);
	places = place_decode_capacity(&place, &request->service->engine,
				       stream_tokens(request));
	return overload_queue_sec(waiting_before(request), places);
}

static bool early_refuse(struct request *request, int64_t now)
{
	const struct overload_caller caller = stream_caller(request);

	if (request->reservations > 0 || is_confined(request) ||
	    request->checked_early || !overload_check_due(&caller, now))
		return false;
	request->checked_early = true;
	if (!overload_misses_target(&caller, now,
				    request->forward->first_event_usec,
				    queue_sec(request)))
		return false;
	request_refuse(request, RESULT_QUEUE_FULL,
		       overload_retry_usec(request->forward->parts.rand));
	return true;
}

int64_t stream_caller_timeout(const struct request *request)
{
	const struct catalog_route *route = request->route;

	return MAX(CALLER_TIMEOUT_USEC,
		   MAX(route->target_usec * CALLER_TIMEOUT_TARGETS,
		       route->gap_usec * CALLER_TIMEOUT_GAPS));
}

/* The time after which placing the request is of no use. The timeout of a
 * caller that has received events counts from the last event. */
static int64_t wait_deadline(const struct request *request)
{
	int64_t from = request->last_at ? request->last_at : request->arrived;

	return MIN(from + stream_caller_timeout(request), request->deadline) -
	       PREFILL_USEC;
}

/* Refuses a request for which no server will be available before its deadline.
 */
static bool unavailable_refuse(struct request *request)
{
	int64_t available_at;

	if (request->replied)
		return false;
	available_at = request_available_at(request, STAGE_DECODE);
	if (available_at <= wait_deadline(request))
		return false;
	stream_dequeue(request);
	request_refuse_until(request, available_at);
	return true;
}

/* Ends a stream that no listed server can continue. */
static bool unserved_end(struct request *request)
{
	if (!resume_is_unserved(request))
		return false;
	stream_dequeue(request);
	if (request->replied)
		request_abort(request, "no server left for the stream");
	else
		request_refuse(request, RESULT_NO_BACKEND, RETRY_AFTER_USEC);
	return true;
}

static void waiting_expire(struct forward *forward)
{
	int64_t now = clock_now(forward->parts.clock);
	GList *next;

	for (GList *link = forward->waiting.head; link; link = next) {
		struct request *request = link->data;

		next = link->next;
		if (unserved_end(request) || drain_refuse_waiting(request) ||
		    early_refuse(request, now) || unavailable_refuse(request) ||
		    now < wait_deadline(request))
			continue;
		stream_dequeue(request);
		if (request->replied)
			request_abort(request, "no decode memory to continue");
		else
			request_refuse(request, RESULT_DEADLINE,
				       RETRY_AFTER_USEC);
	}
}

void stream_pump(struct forward *forward)
{
	waiting_expire(forward);
	waiting_place(forward, true);
	waiting_place(forward, false);
	if (forward->waiting.length > 0)
		timer_start(&forward->pump, PUMP_INTERVAL_USEC);
}
