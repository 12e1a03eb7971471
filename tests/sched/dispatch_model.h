/*
 * dispatch_model.h - instances, a dispatcher and plain servers, without network
 *
 * DESCRIPTION
 *	A model on a paused clock: servers with slots, a queue and changes of
 *	pace; instances that send plain calls either where the load looks least,
 *	by figures as old as the gossip, or as a dispatcher grants them; and the
 *	datagrams in between. One failure can be set for the whole run.
 */
#ifndef TESTS_DISPATCH_MODEL_H
#define TESTS_DISPATCH_MODEL_H

#include <stdbool.h>
#include <stdint.h>

enum model_fault {
	FAULT_NONE,
	FAULT_KILLED,	 /* the dispatcher, at a third; replaced 2.5 s later */
	FAULT_FROZEN,	 /* for 2 s; then it continues with what it received */
	FAULT_CUT_OFF,	 /* its datagrams are lost for 3 s */
	FAULT_TWO,	 /* half of the instances have another dispatcher */
	FAULT_LOST,	 /* 10% of datagrams */
	FAULT_DONE_LOST, /* each fifth DONE */
	FAULT_WITHDRAWN, /* one server leaves with grants out */
	FAULT_DRAINING,	 /* the dispatcher drains; another takes over */
	FAULT_CALLERS_KILLED, /* ten instances end with the grants they hold */
};

/* How an instance places a call without a dispatcher. */
enum model_view {
	VIEW_STALE,   /* least load, by counts 1 to 1.5 s old plus own ones */
	VIEW_AT_ONCE, /* by counts without delay, the bound of announcing all */
	VIEW_TWO,     /* two servers at random, the better one by stale counts
		       */
};

struct model_setup {
	bool dispatched;
	enum model_view view;
	enum model_fault fault;
	double demand; /* of capacity */
	int64_t usec;
	uint32_t seed;
};

struct model_result {
	uint32_t calls;
	uint32_t in_time;
	uint32_t late;	  /* answered after the target */
	uint32_t refused; /* told that it has not run */
	uint32_t gone;	  /* lost with its instance, or not answered */
	uint32_t sends;
	uint32_t sends_refused; /* by servers */
	uint32_t runs_max;	/* of any call */
	uint32_t leftover;	/* grants outstanding after the end */
};

void model_run(const struct model_setup *setup, struct model_result *result);

#endif
