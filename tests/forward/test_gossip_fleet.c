/* A thousand instances in groups: the view of each, and the traffic that it
 * receives. */
#include <glib.h>

#include "gossip_world.h"

#define INSTANCES 985u
/* Bounds of the datagrams and bytes that an instance receives, whatever the
 * size of the site. */
#define RECEIVED_PER_SEC_MAX 160u
#define BYTES_PER_SEC_MAX 40000u

static uint64_t received(const struct site *site)
{
	uint64_t count = 0;

	for (uint32_t i = 0; i < site->count; i++)
		count += gossip_traffic(site->instances[i].gossip)->received;
	return count;
}

static uint64_t received_bytes(const struct site *site)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < site->count; i++)
		bytes += gossip_traffic(site->instances[i].gossip)
				 ->received_bytes;
	return bytes;
}

static void all_know_all(const struct site *site, uint32_t count)
{
	for (uint32_t i = 0; i < site->count; i++) {
		const struct gossip *gossip = site->instances[i].gossip;
		struct gossip_summary total;

		if (!gossip)
			continue;
		g_assert_true(gossip_grouped(gossip));
		g_assert_false(gossip_partitioned(gossip));
		gossip_total(gossip, &total);
		g_assert_cmpuint(total.waiting, ==, count);
	}
	g_assert_cmpuint(lowest_count(site), ==, 1);
}

static void test_fleet(void)
{
	struct site *site = site_open(INSTANCES);
	uint64_t count;
	uint64_t bytes;

	site_advance(site, 3000);
	all_know_all(site, INSTANCES);
	/* A load is known to all after two intervals between groups. */
	load_put(&site->instances[0], 0, 3);
	site_advance(site, 2500);
	g_assert_cmpuint(seen_by(site, 0, 3), ==, INSTANCES);
	load_put(&site->instances[0], 0, 0);
	count = received(site);
	bytes = received_bytes(site);
	site_advance(site, 2000);
	count = (received(site) - count) / 2 / INSTANCES;
	bytes = (received_bytes(site) - bytes) / 2 / INSTANCES;
	g_test_message("%d datagrams and %d bytes a second", (int)count,
		       (int)bytes);
	g_assert_cmpuint(count, <=, RECEIVED_PER_SEC_MAX);
	g_assert_cmpuint(bytes, <=, BYTES_PER_SEC_MAX);
	/* A tenth of the instances stop, among them the lowest of all. */
	load_put(&site->instances[0], 0, 7);
	site_advance(site, 1500);
	for (uint32_t i = 0; i < INSTANCES / 10; i++)
		instance_stop(&site->instances[i]);
	site_advance(site, 6000);
	g_assert_cmpuint(seen_by(site, 0, 0), ==, INSTANCES - INSTANCES / 10);
	all_know_all(site, INSTANCES - INSTANCES / 10);
	site_close(site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/gossip/fleet", test_fleet);
	return g_test_run();
}
