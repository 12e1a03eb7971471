/*
 * fake_world.h - simulated nodes, each with its own clock
 *
 * DESCRIPTION
 *	The clock of the world is the true time. The clock of each node runs at
 *	the node's own rate and stops while the node is paused. Calls posted to
 *	a paused node wait until it resumes, as data in a socket would.
 */
#ifndef TESTS_FAKE_WORLD_H
#define TESTS_FAKE_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "call_queue.h"
#include "common/clock.h"

#define WORLD_STEP_USEC (5 * USEC_PER_MSEC)

struct world;

struct node {
	struct world *world;
	struct clock *clock; /* NULL while down */
	double rate;	     /* of its clock; 1.0 is the true rate */
	int64_t started;     /* true time of the last start */
	bool paused;
	uint64_t epoch; /* incremented at each start and stop */
	GQueue inbox;	/* struct post, received while paused */
};

struct world {
	struct clock *clock;
	struct call_queue *call_queue;
	GRand *rand;
	GPtrArray *nodes;
	/* Probability, in percent, that a pause fell between a node's reads of
	 * its clock and of its sockets: on resuming it handles its inbox with
	 * the old clock. */
	int stale_percent;
};

struct world *world_create(uint32_t seed);
void world_destroy(struct world *world);
struct node *world_add(struct world *world);
void node_start(struct node *node);
/* Stops the node and destroys its clock. Its modules must be destroyed first.
 */
void node_stop(struct node *node);
/* Advances the true time by one step, then the clock of each running node. */
void world_step(struct world *world);
/* Returns a random number from 0 to below limit. */
int64_t world_draw(struct world *world, int64_t limit);
/* Returns true with a probability of percent in 100. */
bool world_chance(struct world *world, int percent);
/* Calls fn(data) in the node's event loop after delay, then frees data. If the
 * node has stopped or restarted by then, fn is called only when always is set.
 */
void world_post(struct node *node, int64_t delay, void (*fn)(void *data),
		void *data, GDestroyNotify data_free, bool always);
/* The post function of struct fake_log_client; always calls fn. */
void node_post(void *node, int64_t delay, void (*fn)(void *data), void *data,
	       GDestroyNotify data_free);

#endif
