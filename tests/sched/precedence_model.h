/*
 * precedence_model.h - instances that place urgent and deferrable streams at
 * shared engines, without a network
 *
 * DESCRIPTION
 *	Each instance has a queue of its own, knows its own streams at once and
 *	those of others as of its last view, which is taken every view_msec.
 *	Order, early refusal and retry times are those of forward/overload.h,
 *	claims those of sched/precedence.h; the choice of a server follows
 *	place_decode(). Time advances in milliseconds. A datagram takes one.
 */
#ifndef TESTS_SCHED_PRECEDENCE_MODEL_H
#define TESTS_SCHED_PRECEDENCE_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum way {
	WAY_TODAY,     /* urgency only, all waiting requests counted */
	WAY_ORDER,     /* order and counts by rank, no claims */
	WAY_HOLD_BACK, /* lower ranks place nothing while a higher one waits */
	WAY_TICKETS,   /* two servers' homes give their memory to the best */
	WAY_CLAIMS,
	WAY_GLOBAL, /* one queue that knows true costs and loads: the bound */
};

enum failure {
	FAILURE_NONE,
	FAILURE_KILLED,	     /* an instance that holds a claim */
	FAILURE_FROZEN,	     /* the same, for 2 s */
	FAILURE_PARTITIONED, /* the same, from the other instances, for 2 s */
	FAILURE_FLOOD, /* an instance claims at every server, every 50 ms */
	FAILURE_GONE,  /* all claims are for servers that are gone */
};

struct model {
	uint32_t instances;
	double demand; /* of capacity */
	bool burst;    /* that demand for 4 s, 0.8 of capacity otherwise */
	enum way way;
	enum failure failure;
	double loss; /* of datagrams */
	uint32_t view_msec;
	uint32_t seed;
	uint32_t tries; /* sends of a caller that is refused; 1: no retries */
	bool retry_drained;
};

struct figures {
	double callers[2]; /* by rank: 0 urgent, 1 deferrable */
	double in_time[2];
	double refused_again;
	double idle; /* memory free for a request that waits; sum of samples */
	double samples;
	double claims;	   /* sent */
	double claims_max; /* of one instance in one second */
	double instance_sec;
	double refusals; /* of reservations by servers */
	double places;
};

void model_run(const struct model *model, struct figures *sum);
double figures_in_time(const struct figures *figures);

#endif
