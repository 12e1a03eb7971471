/*
 * limit_world.h - instances that share an allotment, on a simulated clock
 *
 * DESCRIPTION
 *	Each instance has its own struct limits. Every SEND_USEC, or every
 *	URGENT_USEC while that is urgent, it sends its use to the instances of
 *	its data centre, and two of each data centre send its sum to each remote
 *	instance, as the gossip does. Messages arrive after a short delay, or
 *	not at all across a partition. There are few callers, and they stay at
 *	their instances. The test checks what was admitted in sliding windows.
 */
#ifndef TESTS_LIMIT_WORLD_H
#define TESTS_LIMIT_WORLD_H

#include <glib.h>

#include "common/clock.h"
#include "coord/limit.h"

#define WORLD_CENTRES 3
#define WORLD_INSTANCES_MAX 300
#define WORLD_WINDOW_SEC 8
#define WORLD_RATE 100000.0
#define WORLD_BURST 100000.0

struct world {
	GRand *rand;
	int64_t now;
	enum limit_policy policy;
	uint32_t count;
	uint32_t callers;      /* one at each of the first instances */
	double requested_part; /* of WORLD_RATE, by all callers together */
	double rate_part;      /* of WORLD_RATE, in the current allotment */
	struct limits *limits[WORLD_INSTANCES_MAX];
	int64_t sent_at[WORLD_INSTANCES_MAX];
	int64_t paused_until[WORLD_INSTANCES_MAX];
	int64_t isolated_until[WORLD_INSTANCES_MAX];
	int64_t isolated_usec;	/* isolation after a restart */
	int centre_partitioned; /* index of a data centre; -1: none */
	uint32_t starts;
	GArray *messages;	   /* struct world_message, in flight */
	GArray *admitted_requests; /* struct admitted_request, admitted */
	double requested;
	double admitted;
	uint64_t bytes; /* sent, approximately */
};

struct world *world_open(enum limit_policy policy, uint32_t count,
			 uint32_t seed);
void world_close(struct world *world);
/* Advances the clock while callers send requests. */
void world_run(struct world *world, int64_t msec);
/* Restarts instances without their state, isolated for isolated_usec. */
void world_restart(struct world *world, uint32_t from, uint32_t to);
/* The most units admitted in any window. */
double world_max_admitted(const struct world *world);
/* The units that the allotment grants in a window. */
double world_allowed(const struct world *world);

#endif
