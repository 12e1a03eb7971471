#include "forward/overload.h"

#include "common/clock.h"

/* The time from placing to the first event may exceed its mean by this factor.
 */
#define FIRST_EVENT_MARGIN 1.3
/* A request is checked once it has waited for this part of its target, and
 * refused if it is unlikely to be placed in time. A caller that is refused has
 * lost little time, and a queue that is long only for a moment has become
 * shorter by then. */
#define CHECK_PART 0.1
/* Mean time in seconds for which a request holds its memory. */
#define MEAN_RUN_SEC 3.5
/* Shortest retry time sent to a refused caller, and the span of its jitter. A
 * caller that retries sooner returns in the same burst. */
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
	if (one->priority != other->priority)
		return one->priority < other->priority ? -1 : 1;
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

	/* After the target an early refusal is pointless, for example when the
	 * process was suspended: servers may be free. */
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

bool overload_is_due(const struct overload_caller *caller, int64_t now,
		     double first_event_usec)
{
	return overload_meets_target(caller, now, first_event_usec) &&
	       !overload_meets_target(caller, now + OVERLOAD_DUE_USEC,
				      first_event_usec);
}
