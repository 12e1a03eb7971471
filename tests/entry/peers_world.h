/* Fixture: three instances in one process, connected over loopback. */
#ifndef TESTS_ENTRY_PEERS_WORLD_H
#define TESTS_ENTRY_PEERS_WORLD_H

#include <glib.h>

#include "common/counter.h"
#include "entry/peers.h"
#include "run.h"

#define SIDES 3
#define COALESCE_USEC (2 * USEC_PER_MSEC)

struct side {
	struct world *world;
	struct peers *peers;
	struct counter_set *counters;
	const char *name;
	uint64_t id;
	char address[64];
	GString *got; /* "SENDER:TEXT " for each message */
	int count;
	int hellos;
	int wanted;
};

struct world {
	struct run run;
	struct side sides[SIDES];
	struct peers_settings settings;
	int apart; /* index of the one in another data centre; 0 for none */
	/* The address callback returns moved_to for the id moved. */
	uint64_t moved;
	const char *moved_to;
};

const char *side_address(void *ctx, uint64_t instance);
void side_start(struct world *world, int i, uint64_t incarnation);
void side_stop(struct world *world, int i);
/* settings may be NULL. */
void world_setup(struct world *world, const struct peers_settings *settings);
void world_teardown(struct world *world);
int64_t counted(const struct side *side, const char *name, const char *labels);
void send_text(struct world *world, int from, int to, const char *text);
/* Waits until i has received the wanted number of messages; fails when it has
 * received more. */
void wait_for(struct world *world, int i, int wanted);
/* Whether the first instance has no ready link. */
bool no_links(void *ctx);

#endif
