/* Reports of unreachable servers between instances. */
#include <glib.h>

#include "common/clock.h"
#include "common/id.h"
#include "forward/fleet.h"

#define LOCAL_SERVERS 4

struct site {
	struct clock *clock;
	struct fleet *sender;	/* of the reporting instance */
	struct fleet *receiver; /* of the peer that merges the reports */
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
	clock_advance(site->clock, 60 * USEC_PER_SEC);
	site->sender = fleet_create(site->clock, "here");
	site->receiver = fleet_create(site->clock, "here");
	for (int i = 0; i < LOCAL_SERVERS; i++) {
		g_autofree char *id = g_strdup_printf("n%d", i);

		server_put(site->sender, id, "here");
		server_put(site->receiver, id, "here");
	}
	server_put(site->sender, "f0", "there");
	server_put(site->receiver, "f0", "there");
}

static void site_close(struct site *site)
{
	fleet_destroy(site->sender);
	fleet_destroy(site->receiver);
	clock_destroy(site->clock);
}

static void mark_unreachable(struct site *site, const char *id)
{
	backend_unreachable(fleet_find_id(site->sender, id),
			    clock_now(site->clock));
}

/* Merges the sender's reports as if from that many peers; returns the number of
 * reports. */
static uint32_t send_reports(struct site *site, uint32_t peers)
{
	struct unreachable_backend unreachable[8];
	uint32_t count = fleet_unreachable(site->sender, unreachable, 8);

	for (uint32_t i = 0; i < count; i++)
		for (uint64_t peer = 1; peer <= peers; peer++)
			fleet_merge_unreachable(site->receiver, peer,
						&unreachable[i]);
	return count;
}

static bool usable(struct site *site, const char *id)
{
	return backend_usable(fleet_find_id(site->receiver, id),
			      clock_now(site->clock));
}

/* A reported server is avoided as long as the reporter avoids it, and the
 * report is not forwarded. */
static void test_peers_avoid(void)
{
	struct unreachable_backend unreachable[8];
	struct site site;

	site_open(&site);
	mark_unreachable(&site, "n1");
	mark_unreachable(&site, "f0");
	g_assert_cmpuint(send_reports(&site, 2), ==, 2);
	g_assert_false(usable(&site, "n1"));
	g_assert_false(usable(&site, "f0"));
	g_assert_true(usable(&site, "n2"));
	g_assert_cmpuint(fleet_unreachable(site.receiver, unreachable, 8), ==,
			 0);
	clock_advance(site.clock, clock_now(site.clock) + 3 * USEC_PER_SEC);
	g_assert_true(usable(&site, "n1"));
	site_close(&site);
}

/* Repeated reports of a single peer, which may have lost only its own path to
 * the server, do not make others avoid it. */
static void test_single_report(void)
{
	struct site site;

	site_open(&site);
	for (int i = 0; i < 20; i++) {
		mark_unreachable(&site, "n1");
		g_assert_cmpuint(send_reports(&site, 1), ==, 1);
		g_assert_true(usable(&site, "n1"));
		clock_advance(site.clock,
			      clock_now(site.clock) + USEC_PER_SEC / 5);
	}
	site_close(&site);
}

/* An instance that cannot reach half of the local servers is partitioned itself
 * and reports none. */
static void test_partitioned(void)
{
	struct site site;

	site_open(&site);
	mark_unreachable(&site, "n1");
	g_assert_cmpuint(send_reports(&site, 2), ==, 1);
	mark_unreachable(&site, "n2");
	g_assert_cmpuint(send_reports(&site, 2), ==, 0);
	site_close(&site);
}

/* An instance that has lost its links to all servers, and has noticed it at the
 * three of one service only, reports none. */
static void test_cut_off(void)
{
	struct site site;

	site_open(&site);
	for (int i = 0; i < 12; i++) {
		g_autofree char *id = g_strdup_printf("m%d", i);

		server_put(site.sender, id, "here");
		server_put(site.receiver, id, "here");
	}
	mark_unreachable(&site, "n0");
	mark_unreachable(&site, "n1");
	mark_unreachable(&site, "f0");
	g_assert_cmpuint(send_reports(&site, 2), ==, 0);
	g_assert_true(usable(&site, "n0"));
	site_close(&site);
}

/* A report may claim any time; the server is avoided no longer than one that
 * this instance itself could not reach. */
static void test_bounded(void)
{
	struct site site;
	struct unreachable_backend unreachable = {.left_usec =
							  600 * USEC_PER_SEC};

	site_open(&site);
	unreachable.key = fleet_find_id(site.receiver, "n1")->key;
	fleet_merge_unreachable(site.receiver, 1, &unreachable);
	fleet_merge_unreachable(site.receiver, 2, &unreachable);
	g_assert_false(usable(&site, "n1"));
	clock_advance(site.clock, clock_now(site.clock) + 2 * USEC_PER_SEC);
	g_assert_true(usable(&site, "n1"));
	unreachable.key = 1;
	fleet_merge_unreachable(site.receiver, 1, &unreachable);
	site_close(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/lost/peers-avoid", test_peers_avoid);
	g_test_add_func("/forward/lost/single-report", test_single_report);
	g_test_add_func("/forward/lost/partitioned", test_partitioned);
	g_test_add_func("/forward/lost/cut-off", test_cut_off);
	g_test_add_func("/forward/lost/bounded", test_bounded);
	return g_test_run();
}
