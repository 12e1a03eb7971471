/*
 * fake_world.h - a few cores on clocks of their own, for tests
 *
 * DESCRIPTION
 *	The world's clock is the true time. Each node has a clock that follows
 *	it at the node's own rate, and stands still while the node is paused;
 *	what is posted to it then waits for it to wake, as in a socket.
 */
#ifndef TESTS_FAKE_WORLD_H
#define TESTS_FAKE_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "later.h"

#define WORLD_STEP_USEC (5 * USEC_PER_MSEC)

struct world;

struct node {
	struct world *world;
	struct clock *clock; /* NULL while down */
	double rate;	     /* of its clock */
	int64_t started;     /* true time */
	bool paused;
	uint64_t epoch; /* rises with each start and kill */
	GQueue inbox;	/* struct post, come while paused */
};

struct world {
	struct clock *clock;
	struct later *later;
	GRand *rand;
	GPtrArray *nodes;
	/* Times in a hundred that a node was stopped between its clock and its
	 * sockets: it then reads them by an old clock when it wakes. */
	int stale_percent;
};

struct world *world_create(uint32_t seed);
void world_destroy(struct world *world);
struct node *world_add(struct world *world);
void node_start(struct node *node);
/* The node's modules must have been destroyed; its clock goes too. */
void node_stop(struct node *node);
/* Moves the true time by one step, then each running node's clock. */
void world_step(struct world *world);
/* A random number from 0 up to below limit, and a chance in a hundred. */
int64_t world_draw(struct world *world, int64_t limit);
bool world_chance(struct world *world, int percent);
/* Calls fn(data) in the node's turn, delay from now; data is then freed. When
 * the node has been stopped meanwhile, fn is called only if always is set. */
void world_post(struct node *node, int64_t delay, void (*fn)(void *data),
		void *data, GDestroyNotify data_free, bool always);
/* As struct fake_log_client has it: always calls fn. */
void node_post(void *node, int64_t delay, void (*fn)(void *data), void *data,
	       GDestroyNotify data_free);

#endif
