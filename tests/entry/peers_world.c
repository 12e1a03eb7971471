#include "peers_world.h"

#include <string.h>

#include "common/error.h"
#include "common/id.h"
#include "coord/member.h"

const char *node_address(void *ctx, uint64_t instance)
{
	const struct node *node = ctx;
	const struct world *world = node->world;

	if (world->override_id == instance)
		return world->override_address;
	for (int i = 0; i < NODES; i++) {
		if (world->nodes[i].id == instance)
			return world->nodes[i].address;
	}
	return NULL;
}

static void node_hello(void *ctx, const struct member *peer)
{
	struct node *node = ctx;

	node->hellos++;
	g_assert_cmpuint(peer->id, ==, id_of(peer->name));
}

static void node_receive(void *ctx, uint64_t from, const void *data,
			 size_t size)
{
	struct node *node = ctx;
	const char *name = "?";

	for (int i = 0; i < NODES; i++) {
		if (node->world->nodes[i].id == from)
			name = node->world->nodes[i].name;
	}
	node->count++;
	g_string_append_printf(node->received, "%s:%.*s ", name,
			       (int)MIN(size, 20), (const char *)data);
}

void node_start(struct world *world, int i, uint64_t incarnation)
{
	static const struct peers_ops ops = {
		.address = node_address,
		.hello = node_hello,
	};
	struct node *node = &world->nodes[i];
	struct peers_settings settings = world->settings;
	struct error err;

	settings.name = node->name;
	settings.data_centre = i > 0 && i == world->remote ? "d2" : "d1";
	settings.listen = node->address[0] ? node->address : "127.0.0.1:0";
	settings.incarnation = incarnation;
	settings.seed = (uint32_t)i + 1;
	node->peers = peers_create(world->run.loop, node->counters, &settings,
				   &ops, node, &err);
	g_assert_nonnull(node->peers);
	g_strlcpy(node->address, peers_address(node->peers),
		  sizeof(node->address));
	peers_handler_set(node->peers, CHANNEL_LEDGER, node_receive, node);
}

void node_stop(struct world *world, int i)
{
	peers_destroy(world->nodes[i].peers);
	world->nodes[i].peers = NULL;
}

void world_setup(struct world *world, const struct peers_settings *settings)
{
	static const char *const names[NODES] = {"a", "b", "c"};

	*world = (struct world){0};
	run_setup(&world->run);
	if (settings)
		world->settings = *settings;
	if (world->settings.coalesce_usec == 0)
		world->settings.coalesce_usec = COALESCE_USEC;
	for (int i = 0; i < NODES; i++) {
		struct node *node = &world->nodes[i];

		node->world = world;
		node->name = names[i];
		node->id = id_of(names[i]);
		node->received = g_string_new(NULL);
		node->counters = counter_set_create();
		node_start(world, i, 10);
	}
}

void world_teardown(struct world *world)
{
	for (int i = 0; i < NODES; i++) {
		node_stop(world, i);
		g_string_free(world->nodes[i].received, TRUE);
		counter_set_destroy(world->nodes[i].counters);
	}
	run_teardown(&world->run);
}

int64_t counter_value(const struct node *node, const char *name,
		      const char *labels)
{
	return counter_get(node->counters, name, "", labels)->value;
}

void send_text(struct world *world, int from, int to, const char *text)
{
	peers_send(world->nodes[from].peers, world->nodes[to].id,
		   CHANNEL_LEDGER, text, strlen(text));
}

static bool messages_received(void *ctx)
{
	const struct node *node = ctx;

	return node->count >= node->expected;
}

void messages_wait(struct world *world, int i, int expected)
{
	world->nodes[i].expected = expected;
	g_assert_true(
		run_until(&world->run, messages_received, &world->nodes[i]));
	g_assert_cmpint(world->nodes[i].count, ==, expected);
}

bool links_closed(void *ctx)
{
	const struct world *world = ctx;

	return peers_links(world->nodes[0].peers) == 0;
}
