/*
 * overload.h - streams that wait for decode memory: whose turn it is, and who
 * is told early that it will hardly be served in time
 *
 * DESCRIPTION
 *	Choices for bursts beyond what the engines' memory holds. Callers that
 *	can still meet their target go first, of them the more urgent, of
 *	equally urgent ones those that are least work: under lasting overload
 *	the first come would all be just too late.
 *
 *	A caller is judged once, when a part of its target has passed. It is
 *	refused when those that wait will take longer to be placed than it has
 *	left, weighed by its work: it has not run, and comes back when the
 *	overload may be over.
 *
 *	Times are microseconds of the embedder's clock, but for lengths of the
 *	queue, which are seconds. Nothing here keeps state or reads a clock.
 */
#ifndef FORWARD_OVERLOAD_H
#define FORWARD_OVERLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct overload_caller {
	int64_t arrived;
	int64_t target_usec; /* from then to the first event */
	uint32_t urgency;    /* 0 is the highest */
	double weight;	     /* its work, as engine_rates_weight() */
};

/* Whether it can still meet its target if it is placed now. first_event_usec is
 * the mean time from placing to the first event. */
bool overload_meets_target(const struct overload_caller *caller, int64_t now,
			   double first_event_usec);
/* Below zero when one goes before the other. */
int overload_compare(const struct overload_caller *one,
		     const struct overload_caller *other);
/* Requests that a server runs at a time, with memory for memory_places of them
 * and a limit of requests a second; below 0: no limit. */
double overload_concurrency(double memory_places, double limit);
/* How long so many that wait will take to be placed, where so many fit at a
 * time. */
double overload_queue_sec(uint32_t waiting, double places);
/* Whether it is time to judge it. */
bool overload_check_due(const struct overload_caller *caller, int64_t now);
/* Whether it will hardly be placed in time behind a queue of that length. */
bool overload_misses_target(const struct overload_caller *caller, int64_t now,
			    double first_event_usec, double queue_sec);
/* When one that is refused then is to come back. */
int64_t overload_retry_usec(GRand *rand);

#endif
