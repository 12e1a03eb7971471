/*
 * world.h - simulated instances on a network with faults
 *
 * The network delays, drops, duplicates and reorders messages, and can be
 * partitioned. Each node has a separate clock, so that one can be paused while
 * the others continue. The seed alone determines a run.
 */
#ifndef TESTS_MEMBER_WORLD_H
#define TESTS_MEMBER_WORLD_H

#include <glib.h>

#include "coord/fold.h"
#include "coord/member.h"
#include "fake_log.h"
#include "packet.h"

#define WORLD_MAX 360
/* Ethernet, IP and TCP with timestamps; then the frame's length, array header,
 * channel and bytes header. */
#define WIRE_HEADERS (66 + 4 + 1 + 1 + 3)
#define UNIX_ZERO INT64_C(1764000000000000)

struct world;

struct node {
	struct world *world;
	int index;
	struct member self;
	struct clock *clock;
	struct membership *membership;
	struct fold *fold;
	bool up;
	bool paused;
	int64_t paused_at;
	GQueue queued; /* struct delivery, until a paused node resumes */
	struct fake_log_client client;
	uint64_t bytes;
	uint64_t messages;
	uint64_t received_bytes;
	uint64_t by_channel[CHANNEL_MAX];
	/* As reported by its membership. */
	uint64_t refuted;
	uint64_t highest[WORLD_MAX]; /* incarnation seen of each node */
	uint64_t facts[8];	     /* newest version of each fact, by key */
	GHashTable *other_facts;     /* the same for larger keys */
	bool leaving;
	void *watch; /* of invariants.c */
};

struct world {
	struct clock *clock; /* of the network */
	GRand *rand;
	uint32_t seed;
	struct node *nodes[WORLD_MAX];
	int count;
	int64_t delay_min;
	int64_t delay_max; /* delays differ, so messages overtake each other */
	int drop;	   /* per thousand */
	int duplicate;	   /* per thousand */
	bool cut[WORLD_MAX][WORLD_MAX]; /* [from][to] */
	struct membership_settings settings;
	struct call_queue *call_queue;
	struct fake_log *log;
	int64_t clock_behind; /* subtracted from wall clocks at node_start() */
	/* Called when a node starts, and before it stops. */
	void (*started)(struct node *node);
	void (*stopping)(struct node *node);
};

struct world *world_create(uint32_t seed);
void world_destroy(struct world *world);
/* Adds a node that is not started. */
struct node *world_add(struct world *world, const char *data_centre);
/* Adds the given number of nodes to each of the data centres. */
void world_fill(struct world *world, int centres, int each);
struct transport node_transport(struct node *node);
void node_start(struct node *node);
/* Stops it without notice to the others. */
void node_kill(struct node *node);
void node_pause(struct node *node);
void node_resume(struct node *node);
/* Gives the node hints for every node that is up, as the platform's list does.
 */
void node_hint(struct node *node);
void world_start(struct world *world);
void world_run(struct world *world, int64_t usec);
/* Cuts or restores the links between two data centres, both ways. */
void world_partition(struct world *world, const char *a, const char *b,
		     bool cut);
void world_heal(struct world *world);
bool node_in(const struct node *node, const char *data_centre);
const struct member *node_view(const struct node *node,
			       const struct node *other);

#endif
