/*
 * world.h - instances on one link that delays, drops, doubles, reorders, parts
 *
 * Each node has a clock of its own, so that one can stand still while the
 * others go on. A run is decided by its seed alone.
 */
#ifndef TESTS_MEMBER_WORLD_H
#define TESTS_MEMBER_WORLD_H

#include <glib.h>

#include "coord/fold.h"
#include "coord/member.h"
#include "fake_log.h"
#include "letter.h"

#define WORLD_MAX 360
/* Ethernet, IP and TCP with timestamps; then length, array, channel, bytes. */
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
	GQueue queued; /* struct post: what waits for a paused node */
	struct fake_log_client client;
	uint64_t bytes;
	uint64_t messages;
	uint64_t received_bytes;
	uint64_t by_channel[CHANNEL_MAX];
	/* What its membership told it. */
	uint64_t refuted;
	uint64_t highest[WORLD_MAX]; /* incarnation seen of each node */
	uint64_t facts[8];	 /* newest version of the fact with that key */
	GHashTable *other_facts; /* the same of keys beyond those */
	bool leaving;
	void *extra;
};

struct world {
	struct clock *clock; /* of the link */
	GRand *rand;
	uint32_t seed;
	struct node *nodes[WORLD_MAX];
	int count;
	int64_t delay_min;
	int64_t delay_max; /* delays differ, so messages overtake each other */
	int drop;	   /* per thousand */
	int duplicate;	   /* per thousand */
	bool cut[WORLD_MAX][WORLD_MAX]; /* one way */
	struct membership_settings settings;
	struct later *later;
	struct fake_log *log;
	int64_t clock_behind; /* how far wall clocks of starting nodes are
				 behind */
	/* Called when a node starts, and before it stops. */
	void (*started)(struct node *node);
	void (*stopping)(struct node *node);
};

struct world *world_create(uint32_t seed);
void world_destroy(struct world *world);
/* Adds a node that is not yet up. */
struct node *world_add(struct world *world, const char *data_centre);
/* Adds that many nodes to each of that many data centres. */
void world_fill(struct world *world, int centres, int each);
struct transport node_transport(struct node *node);
void node_start(struct node *node);
/* Ends it at once; without a word to anyone. */
void node_kill(struct node *node);
void node_pause(struct node *node);
void node_wake(struct node *node);
/* Names every node that is up, as the platform's list would, to this one. */
void node_hint(struct node *node);
void world_start(struct world *world);
void world_run(struct world *world, int64_t usec);
/* Parts or joins the nodes of two data centres, both ways. */
void world_partition(struct world *world, const char *a, const char *b,
		     bool cut);
void world_heal(struct world *world);
bool node_in(const struct node *node, const char *data_centre);
const struct member *node_view(const struct node *node,
			       const struct node *other);

#endif
