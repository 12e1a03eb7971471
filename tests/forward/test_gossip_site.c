/* Hundreds of instances that exchange loads, on a paused clock. */
#include <glib.h>

#include "gossip_world.h"

static void all_know_all(struct site *site)
{
	for (uint32_t i = 0; i < site->count; i++) {
		const struct gossip *gossip = site->instances[i].gossip;
		struct gossip_summary total;

		g_assert_cmpuint(gossip_live_count(gossip), ==,
				 site->count - 1);
		g_assert_cmpuint(gossip_instances(gossip), ==, site->count);
		gossip_total(gossip, &total);
		g_assert_cmpuint(total.waiting, ==, site->count);
		g_assert_false(gossip_partitioned(gossip));
	}
	g_assert_cmpuint(lowest_count(site), ==, 1);
}

/* Each instance knows all others, the totals and the load of each server. */
static void test_views(void)
{
	struct site *site = site_open(300);

	all_know_all(site);
	for (uint32_t i = 0; i < site->count; i += 3)
		load_put(&site->instances[i], i % CENTRES, 2);
	site_advance(site, 1500);
	for (uint32_t i = 0; i < CENTRES; i++)
		g_assert_cmpuint(seen_by(site, i, 40), ==, site->count);
	for (uint32_t i = 0; i < site->count; i += 3)
		load_put(&site->instances[i], i % CENTRES, 0);
	site_advance(site, 1500);
	g_assert_cmpuint(seen_by(site, 0, 0), ==, site->count);
	site_close(site);
}

/* A load on a remote server is known at once to local instances and to those of
 * the server's data centre. */
static void test_used_remotely(void)
{
	struct site *site = site_open(60);
	struct instance *user = &site->instances[0];

	load_put(user, 2, 3);
	site_advance(site, 50);
	for (uint32_t i = 0; i < site->count; i++) {
		struct instance *instance = &site->instances[i];

		if (instance->centre == user->centre || instance->centre == 2)
			g_assert_cmpuint(backend_requests(server(instance, 2)),
					 ==, 3);
	}
	site_advance(site, 1500);
	g_assert_cmpuint(seen_by(site, 2, 3), ==, site->count);
	site_close(site);
}

static uint64_t bytes_sent(const struct site *site)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < site->count; i++)
		bytes += gossip_traffic(site->instances[i].gossip)->sent_bytes;
	return bytes;
}

/* Mean bytes a second that an instance sends while its load does not change. */
static uint64_t idle_bytes(uint32_t count)
{
	struct site *site = site_open(count);
	uint64_t before = bytes_sent(site);
	uint64_t bytes;

	site_advance(site, 10000);
	bytes = (bytes_sent(site) - before) / 10 / count;
	site_close(site);
	return bytes;
}

/* Traffic of an instance is bounded by its own data centre, up to 60 instances
 * there: with five times as many instances it sends less than three times as
 * many bytes. */
static void test_bytes(void)
{
	uint64_t few = idle_bytes(60);
	uint64_t many = idle_bytes(300);

	g_test_message("%d bytes a second with 60 instances, %d with 300",
		       (int)few, (int)many);
	g_assert_cmpuint(many, <, 3 * few);
	g_assert_cmpuint(many, <, 24000);
}

/* Instances that join two dozen at a time, or restart in turn, are known within
 * three seconds, and no load of an earlier start is left. */
static void test_joins(void)
{
	struct site *site = site_open(100);

	for (int i = 0; i < 24; i++)
		add_all_peers(site, instance_add(site));
	site_advance(site, 3000);
	all_know_all(site);
	for (uint32_t i = 0; i < 12; i++) {
		load_put(&site->instances[i], 1, 5);
		site_advance(site, 50);
		instance_stop(&site->instances[i]);
		instance_start(&site->instances[i]);
		add_all_peers(site, &site->instances[i]);
		site_advance(site, 200);
	}
	site_advance(site, 3000);
	all_know_all(site);
	g_assert_cmpuint(seen_by(site, 1, 0), ==, site->count);
	site_close(site);
}

/* Stopped instances are forgotten after 30 s, and their loads after 2.5 s.
 * Meanwhile other instances send in their place. */
static void test_stopped(void)
{
	struct site *site = site_open(100);

	for (uint32_t i = 0; i < 40; i++) {
		load_put(&site->instances[i], 1, 5);
		site_advance(site, 50);
		instance_stop(&site->instances[i]);
	}
	site_advance(site, 6000);
	g_assert_cmpuint(seen_by(site, 1, 0), ==, 60);
	g_assert_cmpuint(lowest_count(site), ==, 1);
	load_put(&site->instances[99], 4, 7);
	site_advance(site, 1500);
	g_assert_cmpuint(seen_by(site, 4, 7), ==, 60);
	site_advance(site, 32000);
	for (uint32_t i = 40; i < 100; i++)
		g_assert_cmpuint(gossip_instances(site->instances[i].gossip),
				 ==, 60);
	site_close(site);
}

/* A data centre that is paused for longer than silent instances are remembered
 * counts as partitioned, and is found again by itself. */
static void test_paused(void)
{
	struct site *site = site_open(100);

	load_put(&site->instances[3], 3, 6);
	site_advance(site, 1500);
	site->paused[3] = true;
	site_advance(site, 7000);
	for (uint32_t i = 0; i < site->count; i++)
		if (site->instances[i].centre != 3)
			g_assert_cmpuint(backend_requests(server(
						 &site->instances[i], 3)),
					 ==, 0);
	g_assert_cmpuint(lowest_count(site), ==, 1);
	site_advance(site, 33000);
	site->paused[3] = false;
	site_advance(site, 3000);
	all_know_all(site);
	g_assert_cmpuint(seen_by(site, 3, 6), ==, site->count);
	site_close(site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/gossip/site/views", test_views);
	g_test_add_func("/forward/gossip/site/used-elsewhere",
			test_used_remotely);
	g_test_add_func("/forward/gossip/site/bytes", test_bytes);
	g_test_add_func("/forward/gossip/site/joins", test_joins);
	g_test_add_func("/forward/gossip/site/gone", test_stopped);
	g_test_add_func("/forward/gossip/site/still", test_paused);
	return g_test_run();
}
