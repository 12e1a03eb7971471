/*
 * waiting.c - streams that wait for decode memory: who is placed, who is
 * refused
 */
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
/* Requests that can still meet their target go first, of them those that are
 * least work, and of equal ones the newest: under lasting overload the first
 * come would all be just too late. With the least work first, and refused early
 * by it, the mean worth of days with trouble was 0.586, newest first 0.578 (73
 * instances, five days, one play each; four of them better). The rest are only
 * given room that this many more like them would fit into. Refused when they
 * become late in a long queue, the mean was 0.010 less. */
#define LATE_ROOM 3u
/* That time varies by about this much more. */
#define BEGIN_MARGIN 1.3
/* A request that has waited for this part of its target and will hardly be
 * placed in time is refused then: it has not run, and its caller comes back
 * when the overload may be over. Within an eighth of the target its caller
 * loses little by having waited. Told at once, by the queue of one moment, too
 * many were refused: 0.556 against 0.567 at Vestland, mean worth of days with
 * trouble. */
#define EARLY_PART 0.1
/* How long a request keeps its memory, on average. */
#define RUN_SEC 3.5
/* Bounds of what the caller is told then. Bursts last four to five seconds;
 * with one to four seconds a third more of the worth came back into the same
 * burst and was refused again, and the mean of days with trouble was 0.008 less
 * at Vestland, the same elsewhere. */
#define EARLY_RETRY_USEC (2500 * USEC_PER_MSEC)
#define EARLY_RETRY_SPAN_USEC (2 * USEC_PER_SEC)
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

static bool on_time(const struct request *request, int64_t now)
{
	double begin = request->forward->begin_usec * BEGIN_MARGIN;

	return (double)(now - request->arrived) + begin <
	       (double)request->route->target_usec;
}

/* The more urgent first, of equally urgent ones those that are less work. */
static gint order_compare(gconstpointer a, gconstpointer b)
{
	const struct request *one = *(struct request *const *)a;
	const struct request *other = *(struct request *const *)b;

	if (request_urgency(one) != request_urgency(other))
		return request_urgency(one) < request_urgency(other) ? -1 : 1;
	return (one->weight > other->weight) - (one->weight < other->weight);
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
	const struct engine_traits *engine = &request->service->engine;
	struct place place;
	double places;

	request_place(request, &place);
	places = (double)place_count(&place, STAGE_DECODE) *
		 (double)engine->memory_tokens /
		 (double)MAX(stream_tokens(request), 1u);
	return (double)parts->waiting(parts->instances_ctx) * RUN_SEC /
	       MAX(places, 1.0);
}

/* Tells the caller to come back when the overload may be over. */
static void overload_refuse(struct request *request)
{
	request_refuse(
		request, RESULT_QUEUE_FULL,
		EARLY_RETRY_USEC +
			(int64_t)(g_rand_double(request->forward->parts.rand) *
				  (double)EARLY_RETRY_SPAN_USEC));
}

static bool early_refuse(struct request *request, int64_t now)
{
	double age = (double)(now - request->arrived);
	double target = (double)request->route->target_usec;
	double left = (target - age - request->forward->begin_usec) /
		      (double)USEC_PER_SEC;

	/* Nor is it early once the target has passed, as after the process
	 * stood still: servers may be free. */
	if (request->rounds > 0 || request->judged ||
	    age < EARLY_PART * target || age >= target)
		return false;
	request->judged = true;
	if (queue_sec(request) * request->weight < left)
		return false;
	overload_refuse(request);
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

static void waiting_expire(struct forward *forward)
{
	int64_t now = clock_now(forward->parts.clock);
	GList *next;

	for (GList *link = forward->waiting.head; link; link = next) {
		struct request *request = link->data;

		next = link->next;
		if (early_refuse(request, now) || now < wait_end(request))
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
