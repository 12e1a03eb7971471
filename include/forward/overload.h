/*
 * overload.h - order and early refusal of streams that wait for decode memory
 *
 * DESCRIPTION
 *	For bursts that exceed the memory of the engines. Callers that can still
 *	meet their target go first; among them the more urgent, then those of
 *	the higher priority of route where routes are ranked, and among equal
 *	ones the cheapest. Placing in order of arrival would, in
 *	a lasting overload, serve every caller slightly too late.
 *
 *	A caller is checked once, when a part of its target has passed. It is
 *	refused if the waiting requests will take longer to be placed than the
 *	caller has left, weighted by its cost. As it has not run, it can retry
 *	when the overload may be over.
 *
 *	Times are microseconds of the embedder's clock, but lengths of the queue
 *	are seconds. The functions keep no state and read no clock.
 */
#ifndef FORWARD_OVERLOAD_H
#define FORWARD_OVERLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One renewal of a claim for room (sched/precedence.h). */
#define OVERLOAD_DUE_USEC INT64_C(100000)

struct overload_caller {
	int64_t arrived;
	int64_t target_usec; /* from arrival to the first event */
	uint32_t urgency;    /* 0 is the highest */
	uint32_t priority;   /* among equally urgent ones; 0 is the highest */
	double weight;	     /* relative cost, as engine_rates_weight() */
};

/* Whether the caller still meets its target if it is placed now.
 * first_event_usec is the mean time from placing to the first event. */
bool overload_meets_target(const struct overload_caller *caller, int64_t now,
			   double first_event_usec);
/* Orders callers for placing: negative when one goes first, positive when other
 * does. */
int overload_compare(const struct overload_caller *one,
		     const struct overload_caller *other);
/* Number of requests that a server runs at a time, with memory for
 * memory_places of them and a limit of requests a second; a negative limit is
 * none. */
double overload_concurrency(double memory_places, double limit);
/* Seconds until this many waiting requests are placed, when places of them run
 * at a time. */
double overload_queue_sec(uint32_t waiting, double places);
/* Whether the caller must be checked for an early refusal now. */
bool overload_check_due(const struct overload_caller *caller, int64_t now);
/* Whether the caller is unlikely to be placed in time behind a queue of that
 * length. */
bool overload_misses_target(const struct overload_caller *caller, int64_t now,
			    double first_event_usec, double queue_sec);
/* Whether the caller meets its target if it is placed now, but not if it waits
 * for OVERLOAD_DUE_USEC more. */
bool overload_is_due(const struct overload_caller *caller, int64_t now,
		     double first_event_usec);
/* Retry time for a caller that is refused early. */
int64_t overload_retry_usec(GRand *rand);

#endif
