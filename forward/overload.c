#include "forward/overload.h"

#include "common/clock.h"

/* The time from placing to the first event varies by about this much more. */
#define FIRST_EVENT_MARGIN 1.3
/* A request that has waited for this part of its target and will hardly be
 * placed in time is refused then. Its caller loses little by having waited, and
 * the queue of one moment says less. */
#define CHECK_PART 0.1
/* How long a request keeps its memory, on average. */
#define MEAN_RUN_SEC 3.5
/* Bounds of what the caller is told then: told sooner, it comes back into the
 * same burst. */
#define EARLY_RETRY_USEC (2500 * USEC_PER_MSEC)
#define EARLY_RETRY_SPAN_USEC (2 * USEC_PER_SEC)

bool overload_meets_target(const struct overload_caller *caller, int64_t now,
			   double first_event_usec)
{
	double first_event = first_event_usec * FIRST_EVENT_MARGIN;

	return (double)(now - caller->arrived) + first_event <
	       (double)caller->target_usec;
}

int overload_compare(const struct overload_caller *one,
		     const struct overload_caller *other)
{
	if (one->urgency != other->urgency)
		return one->urgency < other->urgency ? -1 : 1;
	return (one->weight > other->weight) - (one->weight < other->weight);
}

double overload_concurrency(double memory_places, double limit)
{
	return limit < 0.0 ? memory_places
			   : MIN(memory_places, limit * MEAN_RUN_SEC);
}

double overload_queue_sec(uint32_t waiting, double places)
{
	return (double)waiting * MEAN_RUN_SEC / MAX(places, 1.0);
}

bool overload_check_due(const struct overload_caller *caller, int64_t now)
{
	double age = (double)(now - caller->arrived);
	double target = (double)caller->target_usec;

	/* Nor is it early once the target has passed, as after the process
	 * stood still: servers may be free. */
	return age >= CHECK_PART * target && age < target;
}

bool overload_misses_target(const struct overload_caller *caller, int64_t now,
			    double first_event_usec, double queue_sec)
{
	double age = (double)(now - caller->arrived);
	double left = ((double)caller->target_usec - age - first_event_usec) /
		      (double)USEC_PER_SEC;

	return queue_sec * caller->weight >= left;
}

int64_t overload_retry_usec(GRand *rand)
{
	return EARLY_RETRY_USEC +
	       (int64_t)(g_rand_double(rand) * (double)EARLY_RETRY_SPAN_USEC);
}
