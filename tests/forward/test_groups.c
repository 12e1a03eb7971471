/* Names and sizes of the groups of a large data centre. */
#include <glib.h>

#include "../../forward/gossip_private.h"
#include "../fake/rows.h"
#include "address_unused.h"

struct size {
	const char *name;
	uint32_t groups;
	uint32_t instances;
	uint32_t expected;
};

static const struct size sizes[] = {
	{"none", 1, 0, 1},
	{"one", 1, 1, 1},
	{"whole", 1, 96, 1},
	{"parted", 1, 97, 2},
	{"fleet", 1, 197, 4},
	{"twice the fleet", 1, 394, 8},
	{"large fleet", 4, 4000, 64},
	{"some gone", 4, 130, 4},
	{"many gone", 4, 127, 2},
	{"nearly all gone", 4, 10, 1},
	{"back", 2, 193, 4},
};

static void test_size(const void *data)
{
	const struct size *row = data;

	g_assert_cmpuint(groups_for(row->groups, row->instances), ==,
			 row->expected);
}

static void test_names(void)
{
	char group[GOSSIP_GROUP_MAX];

	group_print(group, "north", 1, 7);
	g_assert_cmpstr(group, ==, "north");
	g_assert_true(group_is_whole(group));
	g_assert_true(group_within(group, "north"));
	g_assert_true(group_serves(group, "north", 6));
	group_print(group, "north", 4, 7);
	g_assert_cmpstr(group, ==, "north/3.4");
	g_assert_false(group_is_whole(group));
	g_assert_true(group_within(group, "north"));
	g_assert_false(group_within(group, "nort"));
	g_assert_false(group_within(group, "north/3"));
	g_assert_false(group_within("", "north"));
	g_assert_true(group_serves(group, "north", 11));
	g_assert_false(group_serves(group, "north", 12));
	g_assert_false(group_serves(group, "south", 11));
}

/* Malformed names from a peer. */
static void test_malformed_names(void)
{
	g_assert_false(group_serves("north/", "north", 0));
	g_assert_true(group_within("north/", "north"));
	g_assert_false(group_serves("north/1.0", "north", 1));
	g_assert_false(group_serves("north/1.-4", "north", 1));
	g_assert_false(group_serves("north/1.4294967296", "north", 1));
	g_assert_false(group_serves("north/x.y", "north", 1));
	g_assert_false(group_serves("/1.4", "north", 1));
}

/* A peer known only from the summary of another group has no name. When the
 * groups change and it becomes local, it must not count as the lowest instance.
 */
static void test_nameless_first(void)
{
	char address[ADDRESS_UNUSED_MAX];
	struct gossip_settings settings = {
		.name = "b", .data_centre = "here", .address = address};
	struct clock *clock = clock_create(0);
	struct loop *loop = loop_create(clock);
	struct fleet *fleet = fleet_create(clock, "here");
	struct gossip_candidate first;
	struct gossip *gossip;
	struct error err;

	address_pick_unused(address);
	gossip = gossip_create(loop, fleet, &settings,
			       &(struct gossip_ops){.summary = NULL}, NULL,
			       &err);
	g_assert_nonnull(gossip);
	peer_seen(gossip, peer_add(gossip, "127.0.0.1:9"), "here");
	peers_update(gossip);
	g_assert_cmpuint(gossip->local->len, ==, 1);
	gossip_lowest_local(gossip, false, false, &first);
	g_assert_cmpstr(first.name, ==, "b");
	g_assert_cmpuint(gossip_rank(gossip), ==, 0);
	gossip_destroy(gossip);
	fleet_destroy(fleet);
	loop_destroy(loop);
	clock_destroy(clock);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/forward/groups/size/", sizes, test_size);
	g_test_add_func("/forward/groups/names", test_names);
	g_test_add_func("/forward/groups/malformed-names",
			test_malformed_names);
	g_test_add_func("/forward/groups/nameless-first", test_nameless_first);
	return g_test_run();
}
