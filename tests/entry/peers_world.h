/* Fixture: three instances in one process, connected over loopback. */
#ifndef TESTS_ENTRY_PEERS_WORLD_H
#define TESTS_ENTRY_PEERS_WORLD_H

#include <glib.h>

#include "common/counter.h"
#include "entry/peers.h"
#include "run.h"

#define NODES 3
#define COALESCE_USEC (2 * USEC_PER_MSEC)

struct node {
	struct world *world;
	struct peers *peers;
	struct counter_set *counters;
	const char *name;
	uint64_t id;
	char address[64];
	GString *received; /* "SENDER:TEXT " for each message */
	int count;
	int hellos;
	int expected;
};

struct world {
	struct run run;
	struct node nodes[NODES];
	struct peers_settings settings;
	int remote; /* index of the node in another data centre; 0 for none */
	/* The address callback returns override_address for override_id. */
	uint64_t override_id;
	const char *override_address;
};

const char *node_address(void *ctx, uint64_t instance);
void node_start(struct world *world, int i, uint64_t incarnation);
void node_stop(struct world *world, int i);
/* settings may be NULL. */
void world_setup(struct world *world, const struct peers_settings *settings);
void world_teardown(struct world *world);
int64_t counter_value(const struct node *node, const char *name,
		      const char *labels);
void send_text(struct world *world, int from, int to, const char *text);
/* Waits until node i has received the expected number of messages; fails when
 * it has received more. */
void messages_wait(struct world *world, int i, int expected);
/* Whether node 0 has no ready link. */
bool links_closed(void *ctx);

#endif
