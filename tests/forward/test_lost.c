/* Servers that one instance could not reach, passed over by its peers. */
#include <glib.h>

#include "common/clock.h"
#include "common/id.h"
#include "forward/fleet.h"

#define NEAR 4
#define SECOND USEC_PER_SEC

struct site {
	struct clock *clock;
	struct fleet *own;  /* of who finds out */
	struct fleet *peer; /* of who is told */
};

static void server_put(struct fleet *fleet, const char *id, const char *centre)
{
	struct backend_info info = {
		.service = 1, .stage = STAGE_PREFILL, .slots = 8};

	g_strlcpy(info.id, id, sizeof(info.id));
	g_strlcpy(info.data_centre, centre, sizeof(info.data_centre));
	g_assert_nonnull(fleet_put(fleet, &info));
}

static void site_open(struct site *site)
{
	site->clock = clock_create(0);
	clock_advance(site->clock, 60 * SECOND);
	site->own = fleet_create(site->clock, "here");
	site->peer = fleet_create(site->clock, "here");
	for (int i = 0; i < NEAR; i++) {
		g_autofree char *id = g_strdup_printf("n%d", i);

		server_put(site->own, id, "here");
		server_put(site->peer, id, "here");
	}
	server_put(site->own, "f0", "there");
	server_put(site->peer, "f0", "there");
}

static void site_close(struct site *site)
{
	fleet_destroy(site->own);
	fleet_destroy(site->peer);
	clock_destroy(site->clock);
}

static void lose(struct site *site, const char *id)
{
	backend_unreachable(fleet_find_id(site->own, id),
			    clock_now(site->clock));
}

/* Has so many peers tell what there is to tell; returns how much. */
static uint32_t tell(struct site *site, uint32_t peers)
{
	struct unreachable_backend unreachable[8];
	uint32_t count = fleet_unreachable(site->own, unreachable, 8);

	for (uint32_t i = 0; i < count; i++)
		for (uint64_t peer = 1; peer <= peers; peer++)
			fleet_merge_unreachable(site->peer, peer,
						&unreachable[i]);
	return count;
}

static bool usable(struct site *site, const char *id)
{
	return backend_usable(fleet_find_id(site->peer, id),
			      clock_now(site->clock));
}

/* Passed over as long as who found out does, and not told on. */
static void test_told(void)
{
	struct unreachable_backend unreachable[8];
	struct site site;

	site_open(&site);
	lose(&site, "n1");
	lose(&site, "f0");
	g_assert_cmpuint(tell(&site, 2), ==, 2);
	g_assert_false(usable(&site, "n1"));
	g_assert_false(usable(&site, "f0"));
	g_assert_true(usable(&site, "n2"));
	g_assert_cmpuint(fleet_unreachable(site.peer, unreachable, 8), ==, 0);
	clock_advance(site.clock, clock_now(site.clock) + 3 * SECOND);
	g_assert_true(usable(&site, "n1"));
	site_close(&site);
}

/* One peer that has lost its own way to a server takes it from nobody else,
 * also when it says so again and again. */
static void test_one_alone(void)
{
	struct site site;

	site_open(&site);
	for (int i = 0; i < 20; i++) {
		lose(&site, "n1");
		g_assert_cmpuint(tell(&site, 1), ==, 1);
		g_assert_true(usable(&site, "n1"));
		clock_advance(site.clock, clock_now(site.clock) + SECOND / 5);
	}
	site_close(&site);
}

/* Who cannot reach half of the servers near is cut off itself. */
static void test_cut_off(void)
{
	struct site site;

	site_open(&site);
	lose(&site, "n1");
	g_assert_cmpuint(tell(&site, 2), ==, 1);
	lose(&site, "n2");
	g_assert_cmpuint(tell(&site, 2), ==, 0);
	site_close(&site);
}

/* A word may claim any time; servers are not passed over for longer than one
 * that was tried in vain here. */
static void test_bounded(void)
{
	struct site site;
	struct unreachable_backend unreachable = {.left_usec = 600 * SECOND};

	site_open(&site);
	unreachable.key = fleet_find_id(site.peer, "n1")->key;
	fleet_merge_unreachable(site.peer, 1, &unreachable);
	fleet_merge_unreachable(site.peer, 2, &unreachable);
	g_assert_false(usable(&site, "n1"));
	clock_advance(site.clock, clock_now(site.clock) + 2 * SECOND);
	g_assert_true(usable(&site, "n1"));
	unreachable.key = 1;
	fleet_merge_unreachable(site.peer, 1, &unreachable);
	site_close(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/lost/told", test_told);
	g_test_add_func("/forward/lost/one-alone", test_one_alone);
	g_test_add_func("/forward/lost/cut-off", test_cut_off);
	g_test_add_func("/forward/lost/bounded", test_bounded);
	return g_test_run();
}
