/*
 * waiting.c - streams that wait for decode memory: who is placed, who is
 * refused
 */
#include "forward/overload.h"
#include "request.h"

/* How often waiting requests look for memory again; a runner frees some every
 * few tens of milliseconds. */
#define PUMP_USEC (15 * USEC_PER_MSEC)
/* Requests waiting at an instance. */
#define WAITING_MAX 512u
/* A caller leaves a stream that shows no event for the longest of this time and
 * these multiples of its targets. What cannot begin by then, less the time that
 * a prefill takes, is told so while it still listens. */
#define PATIENCE_USEC (2 * USEC_PER_SEC)
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8
#define BEGIN_USEC (400 * USEC_PER_MSEC)
/* Requests that will be late are only given room that this many more like them
 * would fit into. */
#define LATE_ROOM 3u
/* What one is told that waited in vain: memory is freed within this time. */
#define RETRY_USEC (300 * USEC_PER_MSEC)

void stream_unwait(struct request *request)
{
	if (!request->waiting)
		return;
	g_queue_unlink(&request->forward->waiting, &request->link);
	request->waiting = false;
}

void stream_wait(struct request *request)
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

static struct overload_caller caller_of(const struct request *request)
{
	return (struct overload_caller){
		.arrived = request->arrived,
		.target_usec = request->route->target_usec,
		.urgency = request_urgency(request),
		.weight = request->weight,
	};
}

static bool on_time(const struct request *request, int64_t now)
{
	const struct overload_caller caller = caller_of(request);

	return overload_on_time(&caller, now, request->forward->begin_usec);
}

static gint order_compare(gconstpointer a, gconstpointer b)
{
	const struct overload_caller one =
		caller_of(*(struct request *const *)a);
	const struct overload_caller other =
		caller_of(*(struct request *const *)b);

	return overload_compare(&one, &other);
}

static void waiting_pass(struct forward *forward, bool in_time)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new();
	int64_t now = clock_now(forward->parts.clock);

	for (GList *link = forward->waiting.tail; link; link = link->prev)
		if (on_time(link->data, now) == in_time)
			g_ptr_array_add(list, link->data);
	g_ptr_array_sort(list, order_compare);
	for (guint i = 0; i < list->len; i++) {
		struct request *request = list->pdata[i];

		if (request_quarantine(request))
			continue;
		if (!stream_reserve(request, in_time ? 1 : LATE_ROOM))
			return;
	}
}

/* How long those that wait at all instances will take to be placed. */
static double queue_sec(const struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;
	struct place place;
	double places;

	request_place(request, &place);
	places = place_decode_capacity(&place, &request->service->engine,
				       stream_tokens(request));
	return overload_queue_sec(parts->waiting(parts->instances_ctx), places);
}

static bool early_refuse(struct request *request, int64_t now)
{
	const struct overload_caller caller = caller_of(request);

	if (request->rounds > 0 || request->judged ||
	    !overload_is_due(&caller, now))
		return false;
	request->judged = true;
	if (!overload_too_long(&caller, now, request->forward->begin_usec,
			       queue_sec(request)))
		return false;
	request_refuse(request, RESULT_QUEUE_FULL,
		       overload_retry_usec(request->forward->parts.rand));
	return true;
}

/* When it is of no more use to begin. A caller that has seen events counts its
 * patience from the last one. */
static int64_t wait_end(const struct request *request)
{
	const struct catalog_route *route = request->route;
	int64_t from = request->last_at ? request->last_at : request->arrived;
	int64_t patience =
		MAX(PATIENCE_USEC, MAX(route->target_usec * PATIENCE_TARGETS,
				       route->gap_usec * PATIENCE_GAPS));

	return MIN(from + patience, request->limit) - BEGIN_USEC;
}

/* Refuses a request at once that no server can take in time. */
static bool unavailable_refuse(struct request *request)
{
	int64_t opens;

	if (request->replied)
		return false;
	opens = request_available_at(request, STAGE_DECODE);
	if (opens <= wait_end(request))
		return false;
	stream_unwait(request);
	request_refuse_until(request, opens);
	return true;
}

static void waiting_expire(struct forward *forward)
{
	int64_t now = clock_now(forward->parts.clock);
	GList *next;

	for (GList *link = forward->waiting.head; link; link = next) {
		struct request *request = link->data;

		next = link->next;
		if (early_refuse(request, now) || unavailable_refuse(request) ||
		    now < wait_end(request))
			continue;
		stream_unwait(request);
		if (request->replied)
			request_break(request, "no memory to go on");
		else
			request_refuse(request, RESULT_DEADLINE, RETRY_USEC);
	}
}

void stream_pump(struct forward *forward)
{
	waiting_expire(forward);
	waiting_pass(forward, true);
	waiting_pass(forward, false);
	if (forward->waiting.length > 0)
		timer_start(&forward->pump, PUMP_USEC);
}
