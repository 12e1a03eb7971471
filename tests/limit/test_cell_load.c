/* The data centre that a request is sent to when the local cell is busy. */
#include <glib.h>
#include <string.h>

#include "coord/cell_load.h"
#include "packet.h"

#define NONE NULL

#define MEMBERS 3
#define STEPS 100

static const char *const names[MEMBERS] = {"a1", "b1", "c1"};
static const char *const places[MEMBERS] = {"a", "b", "c"};

static GQueue packets = G_QUEUE_INIT;

static void packet_queue(void *ctx, uint64_t instance, enum channel channel,
			 const void *payload, size_t size)
{
	for (int i = 0; i < MEMBERS; i++)
		if (id_of(names[i]) == instance)
			g_queue_push_tail(&packets,
					  packet_create(ctx, (void *)&names[i],
							channel, payload,
							size));
}

static const struct config_data_centre data_centres[] = {
	{.name = "a"},
	{.name = "b"},
	{.name = "c"},
	{.name = "unpeopled"},
};

static const struct config config = {
	.data_centres = data_centres,
	.data_centre_count = G_N_ELEMENTS(data_centres),
};

static const struct config_service service = {
	.name = "s",
	.kind = SERVICE_MODEL,
	.prefill_pool = "p",
	.decode_pool = "d",
};

struct load_case {
	enum cell_level own;
	enum cell_level b;
	enum cell_level c;
	const char *chosen; /* "*": b or c */
};

static const struct load_case load_cases[] = {
	{CELL_FREE, CELL_FREE, CELL_FREE, NONE},
	{CELL_BUSY, CELL_FREE, CELL_BUSY, "b"},
	{CELL_BUSY, CELL_BUSY, CELL_FREE, "c"},
	{CELL_BUSY, CELL_BUSY, CELL_FULL, NONE},
	{CELL_FULL, CELL_FULL, CELL_BUSY, "c"},
	{CELL_FULL, CELL_FULL, CELL_FULL, NONE},
	{CELL_FULL, CELL_FREE, CELL_FREE, "*"},
};

static struct member member_make(const char *name, const char *data_centre)
{
	struct member member = {.id = id_of(name), .incarnation = 1};

	g_strlcpy(member.name, name, sizeof(member.name));
	g_strlcpy(member.data_centre, data_centre, sizeof(member.data_centre));
	return member;
}

static void messages_deliver(struct membership *const *members)
{
	struct packet *packet;

	while ((packet = g_queue_pop_head(&packets))) {
		const char *const *to = packet->to;

		membership_receive(members[to - names], id_of(packet->from),
				   packet->data, packet->size);
		g_free(packet);
	}
}

static void members_make(struct clock *clock, struct membership **members)
{
	static const struct membership_settings settings = {.seed = 1};
	static const struct membership_ops ops;

	for (int i = 0; i < MEMBERS; i++) {
		struct member self = member_make(names[i], places[i]);
		struct transport transport = {packet_queue, (void *)names[i]};

		members[i] = membership_create(clock, &self, &settings,
					       &transport, &ops, NULL);
		membership_start(members[i]);
	}
	for (int i = 0; i < MEMBERS * MEMBERS; i++) {
		struct member peer =
			member_make(names[i % MEMBERS], places[i % MEMBERS]);

		membership_hint(members[i / MEMBERS], &peer);
	}
	for (int step = 0; step < STEPS; step++) {
		clock_advance(clock, clock_now(clock) + 100 * USEC_PER_MSEC);
		messages_deliver(members);
	}
}

static void members_free(struct clock *clock, struct membership **members)
{
	for (int i = 0; i < MEMBERS; i++)
		membership_destroy(members[i]);
	clock_destroy(clock);
}

static void row_check(const struct load_case *row)
{
	struct clock *clock = clock_create(0);
	struct membership *members[MEMBERS];
	const char *target;

	members_make(clock, members);
	cell_load_set(members[0], cell_id(&service, "b"), row->b, 0, 1);
	cell_load_set(members[0], cell_id(&service, "c"), row->c, 0, 1);
	target = cell_load_pick_least_loaded(members[0], &config, &service,
					     row->own, 7);
	if (row->chosen && strcmp(row->chosen, "*") == 0) {
		g_assert_nonnull(target);
		g_assert_true(strcmp(target, "b") == 0 ||
			      strcmp(target, "c") == 0);
	} else {
		g_assert_cmpstr(target, ==, row->chosen);
	}
	members_free(clock, members);
}

static void test_choose(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
		g_test_message("row %zu", i);
		row_check(&load_cases[i]);
	}
}

/* The level set at the home in b reaches a, and an older one is ignored. */
static void test_newest(void)
{
	struct clock *clock = clock_create(0);
	struct membership *members[MEMBERS];
	uint64_t cell = cell_id(&service, "b");

	members_make(clock, members);
	g_assert_cmpint(cell_load_get(members[0], cell), ==, CELL_FREE);
	cell_load_set(members[1], cell, CELL_FULL, 3, 5);
	cell_load_set(members[1], cell, CELL_BUSY, 2, 4);
	for (int step = 0; step < STEPS; step++) {
		clock_advance(clock, clock_now(clock) + 100 * USEC_PER_MSEC);
		messages_deliver(members);
	}
	g_assert_cmpint(cell_load_get(members[0], cell), ==, CELL_FULL);
	g_assert_cmpuint(cell_load_share(members[0], cell), ==, 3);
	cell_load_set(members[0], cell, CELL_FREE, 0, 6);
	g_assert_cmpint(cell_load_get(members[0], cell), ==, CELL_FREE);
	members_free(clock, members);
}

/* The given share of a thousand requests is redirected, and a higher share
 * redirects no fewer. */
static void test_leaves(void)
{
	uint32_t before = 0;

	for (uint32_t share = 0; share <= CELL_LOAD_SHARE_ALL; share++) {
		uint32_t left[CLASS_COUNT] = {0};

		for (uint64_t key = 0; key < 1000; key++)
			for (int class = 0; class < CLASS_COUNT; class ++)
				left[class] += cell_load_redirects(
					share, class, id_mix(key, 1));
		g_assert_cmpuint(left[CLASS_URGENT], >=, before);
		g_assert_cmpfloat_with_epsilon(
			left[CLASS_URGENT],
			1000.0 * share / CELL_LOAD_SHARE_ALL, 50);
		g_assert_cmpuint(left[CLASS_DEFERRABLE], ==,
				 share < CELL_LOAD_SHARE_ALL ? 0 : 1000);
		before = left[CLASS_URGENT];
	}
}

/* A data centre is not chosen when its latency exceeds the wait at a busy local
 * cell. */
static void test_remote(void)
{
	const struct config_link links[] = {
		{.from = "a", .to = "b", .latency_ms = 60},
		{.from = "b", .to = "a", .latency_ms = 60},
	};
	struct config far = config;
	struct clock *clock = clock_create(0);
	struct membership *members[MEMBERS];

	far.links = links;
	far.link_count = G_N_ELEMENTS(links);
	members_make(clock, members);
	for (uint64_t key = 0; key < 100; key++) {
		const char *nearest = cell_load_pick_by_key(members[0], &config,
							    &service, key);

		g_assert_nonnull(nearest);
		g_assert_cmpstr(
			cell_load_pick_by_key(members[0], &far, &service, key),
			==, "c");
	}
	g_assert_nonnull(cell_load_pick_least_loaded(members[0], &far, &service,
						     CELL_FULL, 7));
	members_free(clock, members);
}

/* Requests whose cell is not free stay local; the others go to the same cell as
 * before. */
static void test_spread(void)
{
	struct clock *clock = clock_create(0);
	struct membership *members[MEMBERS];
	uint32_t count[3] = {0};

	members_make(clock, members);
	for (uint64_t key = 0; key < 1000; key++) {
		const char *before;
		const char *after;

		cell_load_set(members[0], cell_id(&service, "b"), CELL_FREE, 0,
			      2 * key + 1);
		before = cell_load_pick_by_key(members[0], &config, &service,
					       key);
		cell_load_set(members[0], cell_id(&service, "b"), CELL_BUSY, 0,
			      2 * key + 2);
		after = cell_load_pick_by_key(members[0], &config, &service,
					      key);
		g_assert_nonnull(before);
		g_assert_cmpstr(after, ==,
				strcmp(before, "b") == 0 ? NULL : "c");
		count[before[0] - 'a']++;
	}
	g_assert_cmpfloat_with_epsilon(count[1], 500, 50);
	members_free(clock, members);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_load/choose", test_choose);
	g_test_add_func("/cell_load/newest", test_newest);
	g_test_add_func("/cell_load/leaves", test_leaves);
	g_test_add_func("/cell_load/far", test_remote);
	g_test_add_func("/cell_load/spread", test_spread);
	return g_test_run();
}
