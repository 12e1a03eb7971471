/*
 * copies_world.h - instances of one data centre that pass copies of a store's
 * streams to each other, on a paused clock
 *
 * DESCRIPTION
 *	The gossip is real, the store is a fake: it answers or refuses each
 *	instance after a configurable time. The other data centres stand still,
 *	as after a partition. Tests publish versions of a configuration and
 *	measure the time until all instances have them.
 */
#ifndef TESTS_FORWARD_COPIES_WORLD_H
#define TESTS_FORWARD_COPIES_WORLD_H

#include "gossip_world.h"

#define COPY_STREAMS 2

struct copies;

/* A pending call to the store. */
struct copy_call {
	feed_page_fn fn; /* NULL: none */
	void *ctx;
	uint64_t from;
	int64_t due; /* latest time of its answer */
	bool snapshot;
};

struct copy_mirror {
	struct copies *copies;
	uint32_t owner; /* index of its instance */
	uint32_t stream;
	struct mirror *mirror;
	struct copy_call call;
	uint64_t version; /* version in force */
	int64_t fetch_at; /* time of the fetch; 0: none */
	uint32_t fetch_from;
};

struct copies {
	struct site *site;
	uint32_t centres; /* data centres that are not cut off */
	uint64_t era;	  /* of the store */
	uint64_t next;	  /* offset of both streams */
	uint64_t version; /* the newest one in the store */
	int64_t published_at;
	bool refused[INSTANCES_MAX];
	int64_t answer_usec; /* time that the store takes to answer */
	uint32_t calls;
	uint32_t refusals;
	struct copy_mirror mirrors[INSTANCES_MAX][COPY_STREAMS];
};

/* Opens count instances in five data centres, and cuts off all but the first
 * connected ones once all know each other. */
struct copies *copies_open(uint32_t count, uint32_t connected);
void copies_close(struct copies *copies);
/* Whether the instance runs in a data centre that is not cut off. */
bool copies_is_active(const struct copies *copies, uint32_t instance);
/* Advances the clock, in steps of 50 ms. */
void copies_run(struct copies *copies, int64_t msec);
void copies_publish(struct copies *copies);
/* The store comes back in a new era without the last records. The operator
 * writes the newest version again. */
void copies_restore(struct copies *copies, uint64_t lost);
/* Number of active instances without the newest version. */
uint32_t copies_outdated(const struct copies *copies);
/* Publishes a version and runs until all active instances have it, for at most
 * most ms. Returns the time taken, in ms. */
int64_t copies_propagate(struct copies *copies, int64_t most);

#endif
