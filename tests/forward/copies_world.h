/*
 * copies_world.h - instances of one data centre that share copies of a store's
 * streams, on a paused clock
 *
 * DESCRIPTION
 *	Gossip is real, the store is not: it answers or refuses each instance,
 *	after a time. Other data centres of the world stand still, as after a
 *	cut. Versions of a configuration are published_at, and the time until
 *all instances have them is measured.
 */
#ifndef TESTS_FORWARD_COPIES_WORLD_H
#define TESTS_FORWARD_COPIES_WORLD_H

#include "gossip_world.h"

#define COPY_STREAMS 2

struct copies;

/* A call to the store that waits for its answer. */
struct copy_call {
	feed_page_fn fn; /* NULL: none */
	void *ctx;
	uint64_t from;
	int64_t due; /* answered no later */
	bool snapshot;
};

struct copy_mirror {
	struct copies *copies;
	uint32_t owner; /* index of its instance */
	uint32_t stream;
	struct mirror *mirror;
	struct copy_call call;
	uint64_t version; /* in force */
	int64_t fetch_at; /* 0: none */
	uint32_t fetch_from;
};

struct copies {
	struct site *site;
	uint32_t centres; /* that are not cut off */
	uint64_t next;	  /* of both streams; of the first also the version */
	int64_t published_at;
	bool refused[MOST];
	int64_t answer_usec; /* that the store takes */
	uint32_t calls;
	uint32_t refusals;
	struct copy_mirror mirrors[MOST][COPY_STREAMS];
};

/* count instances in five data centres, of which all but so many are cut off
 * once they know each other. */
struct copies *copies_open(uint32_t count, uint32_t connected);
void copies_close(struct copies *copies);
/* Whether the instance takes part, and has not stopped. */
bool copies_is_active(const struct copies *copies, uint32_t instance);
/* Time goes on, 50 ms a step. */
void copies_run(struct copies *copies, int64_t msec);
void copies_publish(struct copies *copies);
/* How many of them do not have the newest version. */
uint32_t copies_outdated(const struct copies *copies);
/* Publishes, waits until all have it, and returns how long that took, in msec;
 * at most so long. */
int64_t copies_propagate(struct copies *copies, int64_t most);

#endif
