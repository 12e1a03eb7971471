#include "peers_world.h"

#include <string.h>

#include "common/error.h"
#include "common/id.h"
#include "coord/member.h"

const char *side_address(void *ctx, uint64_t instance)
{
	const struct side *side = ctx;
	const struct world *world = side->world;

	if (world->moved == instance)
		return world->moved_to;
	for (int i = 0; i < SIDES; i++) {
		if (world->sides[i].id == instance)
			return world->sides[i].address;
	}
	return NULL;
}

static void side_hello(void *ctx, const struct member *peer)
{
	struct side *side = ctx;

	side->hellos++;
	g_assert_cmpuint(peer->id, ==, id_of(peer->name));
}

static void side_receive(void *ctx, uint64_t from, const void *data,
			 size_t size)
{
	struct side *side = ctx;
	const char *name = "?";

	for (int i = 0; i < SIDES; i++) {
		if (side->world->sides[i].id == from)
			name = side->world->sides[i].name;
	}
	side->count++;
	g_string_append_printf(side->got, "%s:%.*s ", name, (int)MIN(size, 20),
			       (const char *)data);
}

void side_start(struct world *world, int i, uint64_t incarnation)
{
	static const struct peers_ops ops = {
		.address = side_address,
		.hello = side_hello,
	};
	struct side *side = &world->sides[i];
	struct peers_settings settings = world->settings;
	struct error err;

	settings.name = side->name;
	settings.data_centre = i > 0 && i == world->apart ? "d2" : "d1";
	settings.listen = side->address[0] ? side->address : "127.0.0.1:0";
	settings.incarnation = incarnation;
	settings.seed = (uint32_t)i + 1;
	side->peers = peers_create(world->run.loop, side->counters, &settings,
				   &ops, side, &err);
	g_assert_nonnull(side->peers);
	g_strlcpy(side->address, peers_address(side->peers),
		  sizeof(side->address));
	peers_handler_set(side->peers, CHANNEL_LEDGER, side_receive, side);
}

void side_stop(struct world *world, int i)
{
	peers_destroy(world->sides[i].peers);
	world->sides[i].peers = NULL;
}

void world_setup(struct world *world, const struct peers_settings *settings)
{
	static const char *const names[SIDES] = {"a", "b", "c"};

	*world = (struct world){0};
	run_setup(&world->run);
	if (settings)
		world->settings = *settings;
	if (world->settings.coalesce_usec == 0)
		world->settings.coalesce_usec = COALESCE_USEC;
	for (int i = 0; i < SIDES; i++) {
		struct side *side = &world->sides[i];

		side->world = world;
		side->name = names[i];
		side->id = id_of(names[i]);
		side->got = g_string_new(NULL);
		side->counters = counter_set_create();
		side_start(world, i, 10);
	}
}

void world_teardown(struct world *world)
{
	for (int i = 0; i < SIDES; i++) {
		side_stop(world, i);
		g_string_free(world->sides[i].got, TRUE);
		counter_set_destroy(world->sides[i].counters);
	}
	run_teardown(&world->run);
}

int64_t counted(const struct side *side, const char *name, const char *labels)
{
	return counter_get(side->counters, name, "", labels)->value;
}

void send_text(struct world *world, int from, int to, const char *text)
{
	peers_send(world->sides[from].peers, world->sides[to].id,
		   CHANNEL_LEDGER, text, strlen(text));
}

static bool got_wanted(void *ctx)
{
	const struct side *side = ctx;

	return side->count >= side->wanted;
}

void wait_for(struct world *world, int i, int wanted)
{
	world->sides[i].wanted = wanted;
	g_assert_true(run_until(&world->run, got_wanted, &world->sides[i]));
	g_assert_cmpint(world->sides[i].count, ==, wanted);
}

bool no_links(void *ctx)
{
	const struct world *world = ctx;

	return peers_links(world->sides[0].peers) == 0;
}
