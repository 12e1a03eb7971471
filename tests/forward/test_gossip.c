/* Delay and rate at which peers receive load changes. */
#include <glib.h>
#include <string.h>

#include "address_unused.h"
#include "common/id.h"
#include "forward/gossip.h"
#include "web/loop.h"

#define PEERS 3

struct site {
	struct clock *clock;
	struct loop *loop;
	struct fleet *fleets[PEERS];
	struct gossip *gossips[PEERS];
	char addresses[PEERS][ADDRESS_UNUSED_MAX];
};

/* The instance of a callback. */
struct callback_ctx {
	int number;
};

static struct callback_ctx peers[PEERS] = {{0}, {1}, {2}};
/* The first instance announces two servers that change role. */
static bool changing;
static uint32_t changes_received[PEERS];

static void on_summary(void *ctx, struct gossip_summary *out)
{
	const struct callback_ctx *peer = ctx;

	*out = (struct gossip_summary){.version = 1};
	if (!changing || peer->number > 0)
		return;
	out->changing[0] = (struct backend_change){5, STAGE_PREFILL, 9000000};
	out->changing[1] = (struct backend_change){6, STAGE_PREFILL, 8000000};
	out->changing_count = 2;
}

static void on_received(void *ctx, const char *address, bool local,
			const struct gossip_summary *from)
{
	const struct callback_ctx *peer = ctx;

	for (uint32_t i = 0; i < from->changing_count; i++)
		if (from->changing[i].left_usec == (i ? 8000000 : 9000000))
			changes_received[peer->number] = i + 1;
}

static bool reads(void *ctx)
{
	return false;
}

static struct backend *server(struct site *site, int peer)
{
	struct backend_info info = {
		.id = "d1", .service = 1, .stage = STAGE_DECODE, .slots = 8};

	return fleet_put(site->fleets[peer], &info);
}

static void site_advance(struct site *site, int64_t usec)
{
	for (int i = 0; i < 4; i++) {
		clock_advance(site->clock, clock_now(site->clock) + usec / 4);
		loop_run_h2o(site->loop, 0);
	}
}

static void site_open(struct site *site)
{
	static const struct gossip_ops ops = {
		.summary = on_summary, .received = on_received, .reads = reads};
	static const char *const names[PEERS] = {"n0", "n1", "n2"};

	*site = (struct site){.clock = clock_create(0)};
	clock_advance(site->clock, 60 * USEC_PER_SEC);
	site->loop = loop_create(site->clock);
	for (int i = 0; i < PEERS; i++) {
		struct gossip_settings settings = {
			.name = names[i],
			.data_centre = i < 2 ? "here" : "there",
			.address = site->addresses[i],
			.boot = 1,
		};
		struct error err;

		address_pick_unused(site->addresses[i]);
		site->fleets[i] =
			fleet_create(site->clock, settings.data_centre);
		server(site, i);
		site->gossips[i] =
			gossip_create(site->loop, site->fleets[i], &settings,
				      &ops, &peers[i], &err);
		g_assert_nonnull(site->gossips[i]);
	}
	for (int i = 0; i < PEERS; i++)
		for (int k = 0; k < PEERS; k++)
			gossip_add_peer(site->gossips[i], site->addresses[k],
					NULL);
	site_advance(site, USEC_PER_SEC);
	g_assert_cmpuint(gossip_live_count(site->gossips[0]), ==, PEERS - 1);
}

static void site_close(struct site *site)
{
	for (int i = 0; i < PEERS; i++) {
		gossip_destroy(site->gossips[i]);
		fleet_destroy(site->fleets[i]);
	}
	loop_destroy(site->loop);
	clock_destroy(site->clock);
}

static void load_put(struct site *site, uint32_t requests)
{
	struct backend *backend = server(site, 0);

	struct backend_load load = {requests, requests * 1000, 0};

	backend_charge(backend, &backend->own, -1);
	backend_charge(backend, &load, 1);
	gossip_load_changed(site->gossips[0]);
}

/* Local and remote peers receive a load change long before the next regular
 * summary. Otherwise instances that place at the same moment choose the same
 * server. */
static void test_at_once(void)
{
	struct site site;

	site_open(&site);
	load_put(&site, 3);
	site_advance(&site, 2 * USEC_PER_MSEC);
	for (int i = 1; i < PEERS; i++) {
		const struct backend *backend = server(&site, i);

		g_assert_cmpuint(backend->peers.requests, ==, 3);
		g_assert_cmpuint(backend_decode_tokens(backend), ==, 3000);
	}
	g_assert_cmpint(gossip_delay(site.gossips[0], true), <,
			GOSSIP_INTERVAL_USEC);
	site_close(&site);
}

/* Servers that change role are known to all peers, in other data centres from
 * the summary of the data centre. */
static void test_changing(void)
{
	struct site site;

	site_open(&site);
	changing = true;
	site_advance(&site, USEC_PER_SEC);
	changing = false;
	for (int i = 1; i < PEERS; i++)
		g_assert_cmpuint(changes_received[i], ==, 2);
	site_close(&site);
}

static uint64_t sent_by_all(const struct site *site)
{
	uint64_t sent = 0;

	for (int i = 0; i < PEERS; i++)
		sent += gossip_traffic(site->gossips[i])->sent;
	return sent;
}

/* A load that changes all the time does not send without bound: once the token
 * buckets are empty, peers receive it at the interval. */
static void test_allowance(void)
{
	struct site site;
	uint64_t before;
	uint64_t sent;

	site_open(&site);
	before = sent_by_all(&site);
	for (uint32_t i = 0; i < 20000; i++) {
		load_put(&site, i % 7);
		site_advance(&site, USEC_PER_MSEC / 2);
	}
	/* Ten seconds, two peers: the bursts, 600 a second, and the regular
	 * summaries of three instances. */
	sent = sent_by_all(&site) - before;
	g_assert_cmpuint(sent, <, 1200 + 6000 + 700);
	g_assert_cmpuint(sent, >, 5000);
	site_close(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/gossip/at-once", test_at_once);
	g_test_add_func("/forward/gossip/allowance", test_allowance);
	g_test_add_func("/forward/gossip/changing", test_changing);
	return g_test_run();
}
