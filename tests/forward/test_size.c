/* Cost and quality of placement with 2,000 to 20,000 servers. */
#include <glib.h>

#include "common/clock.h"
#include "forward/fleet.h"
#include "forward/place.h"

#define SERVICE 1u
#define CENTRES 5
#define VISITS_MAX 64u

static const struct engine_traits engine = {.slots = 12,
					    .memory_tokens = 27000};

struct site {
	struct clock *clock;
	struct fleet *fleet;
	struct place place;
	uint32_t visits;
};

static void site_open(struct site *site, uint32_t servers)
{
	static const char *const centres[CENTRES] = {"a", "b", "c", "d", "e"};

	site->clock = clock_create(0);
	clock_advance(site->clock, 100 * USEC_PER_SEC);
	site->fleet = fleet_create(site->clock, centres[0]);
	fleet_set_group(site->fleet, 1, 4);
	for (uint32_t i = 0; i < servers; i++) {
		struct backend_info info = {
			.service = SERVICE,
			.stage = i % 25 < 5 ? STAGE_PREFILL : STAGE_DECODE,
			.slots = 12,
		};

		g_snprintf(info.id, sizeof(info.id), "s%u", i);
		g_strlcpy(info.address, "127.0.0.1:1", sizeof(info.address));
		g_strlcpy(info.data_centre, centres[i % CENTRES],
			  sizeof(info.data_centre));
		g_assert_nonnull(fleet_put(site->fleet, &info));
	}
	site->visits = 0;
	site->place = (struct place){
		.fleet = site->fleet,
		.now = clock_now(site->clock),
		.service = SERVICE,
		.visits = &site->visits,
		.rand = g_rand_new_with_seed(11),
	};
}

static void site_close(struct site *site)
{
	fleet_destroy(site->fleet);
	clock_destroy(site->clock);
	g_rand_free(site->place.rand);
}

static void all_fill(struct site *site)
{
	const GPtrArray *all = fleet_all(site->fleet);

	for (guint i = 0; i < all->len; i++)
		((struct backend *)all->pdata[i])->peers.decode_tokens =
			(int64_t)engine.memory_tokens;
}

static void test_visits(void)
{
	static const uint32_t sizes[] = {2000, 10000, 20000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct site site;
		struct backend *to;

		site_open(&site, sizes[i]);
		to = place_decode(&site.place, &engine, 3000);
		g_assert_cmpuint(site.visits, <=, VISITS_MAX);
		site.visits = 0;
		g_assert_nonnull(place_prefill(&site.place, to));
		g_assert_cmpuint(site.visits, <=, VISITS_MAX);
		site_close(&site);
	}
}

/* Requests go to servers of the instance's own group while these have room, and
 * are spread evenly over them. */
static void test_spread(void)
{
	const struct backend_load load = {1, 3000, 0};
	struct site site;
	uint32_t most = 0;
	uint32_t in_group = 0;

	site_open(&site, 10000);
	for (int i = 0; i < 200; i++) {
		struct backend *to = place_decode(&site.place, &engine, 3000);

		g_assert_cmpint(to->info.stage, ==, STAGE_DECODE);
		backend_charge(to, &load, 1);
		most = MAX(most, backend_requests(to));
		in_group += to->in_group;
	}
	g_assert_cmpuint(most, <=, 2);
	g_assert_cmpuint(in_group, ==, 200);
	site_close(&site);
}

/* The only server with room is found, wherever it is. */
static void test_last_room(void)
{
	struct site site;
	struct backend *last;

	site_open(&site, 10000);
	all_fill(&site);
	g_assert_null(place_decode(&site.place, &engine, 3000));
	last = fleet_find_id(site.fleet, "s9");
	last->peers.decode_tokens = 0;
	g_assert_true(place_decode(&site.place, &engine, 3000) == last);
	site_close(&site);
}

/* Servers with load and unreachable servers are found without a scan of all,
 * and are forgotten when they are removed. */
static void test_few(void)
{
	const struct backend_load load = {1, 3000, 0};
	struct unreachable_backend unreachable[4];
	struct site site;

	site_open(&site, 10000);
	for (uint32_t i = 0; i < 3; i++) {
		struct backend *one = fleet_all(site.fleet)->pdata[i * CENTRES];

		backend_charge(one, &load, 1);
		backend_unreachable(one, site.place.now);
	}
	/* Otherwise the instance takes itself for cut off. */
	backend_reached(fleet_find_id(site.fleet, "s20"));
	g_assert_cmpuint(fleet_charged(site.fleet)->len, ==, 3);
	g_assert_cmpuint(fleet_unreachable(site.fleet, unreachable, 4), ==, 3);
	fleet_remove(site.fleet, "s0");
	backend_charge(fleet_find_id(site.fleet, "s5"), &load, -1);
	backend_reached(fleet_find_id(site.fleet, "s5"));
	g_assert_cmpuint(fleet_charged(site.fleet)->len, ==, 1);
	g_assert_cmpuint(fleet_unreachable(site.fleet, unreachable, 4), ==, 1);
	site_close(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/size/visits", test_visits);
	g_test_add_func("/forward/size/spread", test_spread);
	g_test_add_func("/forward/size/last-room", test_last_room);
	g_test_add_func("/forward/size/few", test_few);
	return g_test_run();
}
