/* Versions that began streams: the table, the homes and the decision. */
#include <glib.h>

#include "common/id.h"
#include "forward/fleet.h"
#include "forward/origins.h"

static void test_table(void)
{
	struct clock *clock = clock_create(0);
	struct origins *origins = origins_create(clock, 3);

	g_assert_cmpuint(origins_get(origins, 1), ==, 0);
	g_assert_true(origins_put(origins, 1, 10));
	g_assert_true(origins_put(origins, 2, 20));
	g_assert_true(origins_put(origins, 3, 30));
	g_assert_false(origins_put(origins, 4, 40));
	g_assert_cmpuint(origins_get(origins, 1), ==, 10);
	/* One id for two streams. */
	g_assert_true(origins_put(origins, 2, 21));
	g_assert_cmpuint(origins_get(origins, 2), ==, 0);
	clock_advance(clock, ORIGIN_KEEP_USEC - 1);
	g_assert_true(origins_put(origins, 1, 10));
	clock_advance(clock, ORIGIN_KEEP_USEC);
	g_assert_cmpuint(origins_get(origins, 1), ==, 10);
	g_assert_cmpuint(origins_get(origins, 3), ==, 0);
	origins_destroy(origins);
	clock_destroy(clock);
}

struct decision {
	const char *name;
	struct origin_answer answers[3];
	uint64_t software;
};

static const struct decision decisions[] = {
	{"nobody knows", {{0}, {0}, {0}}, 0},
	{"one knows", {{0}, {7, 0, false}, {0}}, 7},
	{"one knows, others saw several", {{0, 0, true}, {7, 0, true}, {0}}, 7},
	{"all saw one version",
	 {{0, 7, false}, {0, 7, false}, {0, 7, false}},
	 7},
	{"one saw one version, others are new", {{0}, {0, 7, false}, {0}}, 7},
	{"one saw several", {{0, 7, false}, {0, 0, true}, {0}}, 0},
	{"they saw different ones", {{0, 7, false}, {0, 8, false}, {0}}, 0},
};

static void test_decide(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(decisions); i++) {
		const struct decision *row = &decisions[i];

		g_test_message("%s", row->name);
		g_assert_cmpuint(
			origin_decide(row->answers, G_N_ELEMENTS(row->answers)),
			==, row->software);
	}
}

/* The homes are the same in whatever order instances are known. */
static void test_homes(void)
{
	static const char names[40];

	for (uint64_t stream = 1; stream <= 100; stream++) {
		struct origin_homes up = {.stream = stream};
		struct origin_homes down = {.stream = stream};

		for (uint64_t i = 0; i < 40; i++) {
			origin_homes_offer(&up, i, &names[i]);
			origin_homes_offer(&down, 39 - i, &names[39 - i]);
		}
		g_assert_cmpuint(up.count, ==, ORIGIN_HOMES);
		g_assert_cmpmem(up.instances, sizeof(up.instances),
				down.instances, sizeof(down.instances));
	}
}

static struct backend_info server_info(const char *id, const char *version)
{
	struct backend_info info = {.service = 1, .software = id_of(version)};

	g_strlcpy(info.id, id, sizeof(info.id));
	return info;
}

static uint64_t sole(const struct fleet *fleet, int64_t since)
{
	bool mixed;
	uint64_t software = fleet_sole_software(fleet, 1, since, &mixed);

	g_assert_true(!mixed || !software);
	return software;
}

static void test_sole(void)
{
	struct clock *clock = clock_create(0);
	struct fleet *fleet;
	struct backend_info first = server_info("s1", "v1");
	struct backend_info second = server_info("s2", "v2");
	struct backend_info plain = server_info("s1", "");

	clock_advance(clock, 100);
	fleet = fleet_create(clock, "here");
	fleet_put(fleet, &first);
	g_assert_cmpuint(sole(fleet, 100), ==, 0);
	fleet_snapshot_begin(fleet);
	fleet_put(fleet, &first);
	fleet_snapshot_end(fleet);
	g_assert_cmpuint(sole(fleet, 99), ==, 0);
	g_assert_cmpuint(sole(fleet, 100), ==, id_of("v1"));
	fleet_put(fleet, &second);
	g_assert_cmpuint(sole(fleet, 100), ==, 0);
	clock_advance(clock, 200);
	fleet_remove(fleet, "s2");
	g_assert_cmpuint(sole(fleet, 200), ==, 0);
	g_assert_cmpuint(sole(fleet, 201), ==, id_of("v1"));
	/* The same id with another version. */
	clock_advance(clock, 300);
	g_strlcpy(second.id, "s1", sizeof(second.id));
	fleet_put(fleet, &second);
	g_assert_cmpuint(sole(fleet, 300), ==, 0);
	g_assert_cmpuint(sole(fleet, 301), ==, id_of("v2"));
	/* Others may have been listed in the meantime. */
	clock_advance(clock, 400);
	fleet_list_missed(fleet);
	g_assert_cmpuint(sole(fleet, 399), ==, 0);
	g_assert_cmpuint(sole(fleet, 400), ==, id_of("v2"));
	fleet_destroy(fleet);
	/* A platform without versions. */
	fleet = fleet_create(clock, "here");
	fleet_put(fleet, &plain);
	g_assert_cmpuint(sole(fleet, 0), ==, id_of(""));
	/* One where servers of another service state them. */
	g_strlcpy(second.id, "s2", sizeof(second.id));
	second.service = 2;
	fleet_put(fleet, &second);
	g_assert_cmpuint(sole(fleet, 0), ==, 0);
	fleet_destroy(fleet);
	clock_destroy(clock);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/origins/table", test_table);
	g_test_add_func("/forward/origins/decide", test_decide);
	g_test_add_func("/forward/origins/homes", test_homes);
	g_test_add_func("/forward/origins/sole", test_sole);
	return g_test_run();
}
