/*
 * A request that crashes each server that begins to run it, repeated for half a
 * minute at random instances: the number of servers that crash, and the time
 * until all instances refuse it, with 7, 83 and 300 instances. Without the
 * quarantine each repeat crashed a server.
 */
#include <glib.h>

#include "gossip_world.h"

/* Time from the start of the run to the crash of the server. */
#define CRASH_DELAY_MSEC 100
/* No repeat may reach a server later than this after the third crash. */
#define SETTLE_USEC (3 * USEC_PER_SEC)

struct scenario {
	struct site *site;
	struct request_fingerprint fingerprint;
	uint32_t crashed;
	int64_t third_at; /* when the third server crashed */
	uint32_t refused; /* repeats */
	uint32_t late;	  /* sent to servers after SETTLE_USEC */
};

static bool is_up(const struct instance *instance)
{
	return instance->gossip && !instance->site->paused[instance->centre];
}

static void server_crash(struct scenario *scenario, struct instance *instance)
{
	int64_t now = clock_now(scenario->site->clock);

	if (++scenario->crashed == 3)
		scenario->third_at = now;
	if (scenario->third_at && now - scenario->third_at > SETTLE_USEC)
		scenario->late++;
	if (quarantine_record_crash(
		    instance->quarantine, &scenario->fingerprint,
		    scenario->fingerprint.low, scenario->crashed, now))
		gossip_quarantine_changed(
			instance->gossip,
			quarantine_find(instance->quarantine,
					&scenario->fingerprint));
}

/* The request arrives at several instances at the same time. */
static void request_repeat(struct scenario *scenario, uint32_t times)
{
	struct instance *sent[INSTANCES_MAX];
	uint32_t count = 0;

	for (uint32_t i = 0; i < times; i++) {
		struct instance *instance =
			&scenario->site->instances[g_test_rand_int_range(
				0, (gint32)scenario->site->count)];

		if (!is_up(instance))
			continue;
		if (quarantine_holds(instance->quarantine,
				     &scenario->fingerprint))
			scenario->refused++;
		else
			sent[count++] = instance;
	}
	site_advance(scenario->site, CRASH_DELAY_MSEC);
	for (uint32_t i = 0; i < count; i++)
		if (is_up(sent[i]))
			server_crash(scenario, sent[i]);
}

static uint32_t holding_count(const struct scenario *scenario)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < scenario->site->count; i++) {
		const struct instance *instance = &scenario->site->instances[i];

		count += instance->gossip &&
			 quarantine_holds(instance->quarantine,
					  &scenario->fingerprint);
	}
	return count;
}

static struct scenario scenario_open(uint32_t count, uint64_t fingerprint)
{
	return (struct scenario){
		.site = site_open(count),
		.fingerprint = {fingerprint, fingerprint << 1},
	};
}

/* One at a time, as from a caller that waits for each answer. */
static void one_by_one_check(uint32_t count)
{
	struct scenario scenario = scenario_open(count, 1);

	for (int i = 0; i < 300; i++)
		request_repeat(&scenario, 1);
	g_test_message("%u instances: %u servers crashed, %u repeats refused",
		       count, scenario.crashed, scenario.refused);
	g_assert_cmpuint(scenario.crashed, <=, 4);
	g_assert_cmpuint(scenario.late, ==, 0);
	g_assert_cmpuint(holding_count(&scenario), ==, count);
	site_close(scenario.site);
}

static void test_one_by_one(void)
{
	one_by_one_check(7);
	one_by_one_check(83);
	one_by_one_check(300);
}

/* Twelve at a time, at as many instances. Requests sent before the first crash
 * cannot be prevented; at most one more round is sent after it. */
static void at_once_check(uint32_t count)
{
	struct scenario scenario = scenario_open(count, 2);

	for (int i = 0; i < 100; i++)
		request_repeat(&scenario, 12);
	g_test_message("%u instances: %u servers crashed, %u repeats refused",
		       count, scenario.crashed, scenario.refused);
	g_assert_cmpuint(scenario.crashed, <=, 24);
	g_assert_cmpuint(scenario.late, ==, 0);
	g_assert_cmpuint(holding_count(&scenario), ==, count);
	site_close(scenario.site);
}

static void test_at_once(void)
{
	at_once_check(7);
	at_once_check(83);
	at_once_check(300);
}

/* A data centre that was paused meanwhile, and instances that restart, have the
 * entry within three seconds. All have it at once after a restart of all, from
 * the store. */
static void recovery_check(uint32_t count)
{
	struct scenario scenario = scenario_open(count, 3);
	struct site *site = scenario.site;

	site->paused[2] = true;
	for (int i = 0; i < 60; i++)
		request_repeat(&scenario, 1);
	site->paused[2] = false;
	site_advance(site, 3000);
	g_assert_cmpuint(holding_count(&scenario), ==, count);
	for (uint32_t i = 0; i < count; i += 4) {
		instance_stop(&site->instances[i]);
		instance_start(&site->instances[i]);
		add_all_peers(site, &site->instances[i]);
	}
	site_advance(site, 3000);
	g_assert_cmpuint(holding_count(&scenario), ==, count);
	for (uint32_t i = 0; i < count; i++)
		instance_stop(&site->instances[i]);
	for (uint32_t i = 0; i < count; i++)
		instance_start(&site->instances[i]);
	g_assert_cmpuint(site->stored_count, >=, 1);
	g_assert_cmpuint(holding_count(&scenario), ==, count);
	for (int i = 0; i < 60; i++)
		request_repeat(&scenario, 1);
	g_assert_cmpuint(scenario.crashed, <=, 4);
	g_assert_cmpuint(scenario.late, ==, 0);
	site_close(site);
}

static void test_recovery(void)
{
	recovery_check(7);
	recovery_check(83);
	recovery_check(300);
}

/* Instances that start without the store receive the entry from the others. */
static void test_without_store(void)
{
	struct scenario scenario = scenario_open(100, 4);
	struct site *site = scenario.site;

	for (int i = 0; i < 10; i++)
		request_repeat(&scenario, 1);
	site->stored_count = 0;
	for (uint32_t i = 0; i < 50; i++) {
		instance_stop(&site->instances[i]);
		instance_start(&site->instances[i]);
		add_all_peers(site, &site->instances[i]);
	}
	site_advance(site, 3000);
	g_assert_cmpuint(holding_count(&scenario), ==, 100);
	site_close(site);
}

/* Mean traffic sent by an instance in twelve seconds, a multiple of the
 * interval between two lists of members. */
static struct gossip_traffic traffic(struct site *site)
{
	struct gossip_traffic sum = {0};

	for (int after = 0; after < 2; after++) {
		for (uint32_t i = 0; i < site->count; i++) {
			const struct gossip_traffic *one =
				gossip_traffic(site->instances[i].gossip);

			sum.sent += after ? one->sent : -one->sent;
			sum.sent_bytes +=
				after ? one->sent_bytes : -one->sent_bytes;
		}
		if (!after)
			site_advance(site, 12000);
	}
	g_assert_cmpuint(site->count, >, 0);
	sum.sent /= site->count;
	sum.sent_bytes /= site->count;
	return sum;
}

/* In the steady state a held request costs each instance two datagrams a
 * second, of some 60 bytes. */
static void test_bytes(void)
{
	struct scenario scenario = scenario_open(100, 5);
	struct gossip_traffic calm;
	struct gossip_traffic held;

	/* Unknown peers are no longer tried after this time. */
	site_advance(scenario.site, 15000);
	calm = traffic(scenario.site);
	for (int i = 0; i < 10; i++)
		request_repeat(&scenario, 1);
	site_advance(scenario.site, 3000);
	held = traffic(scenario.site);
	g_test_message("calm %d datagrams, %d bytes; held %d, %d",
		       (int)calm.sent, (int)calm.sent_bytes, (int)held.sent,
		       (int)held.sent_bytes);
	/* Other traffic varies by some 20 datagrams from one measurement to the
	 * next. */
	g_assert_cmpuint(held.sent, <=, calm.sent + 21 + 40);
	g_assert_cmpuint(held.sent_bytes, <, calm.sent_bytes + 2000);
	site_close(scenario.site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/gossip/works/one-by-one", test_one_by_one);
	g_test_add_func("/forward/gossip/works/at-once", test_at_once);
	g_test_add_func("/forward/gossip/works/comes-back", test_recovery);
	g_test_add_func("/forward/gossip/works/without-store",
			test_without_store);
	g_test_add_func("/forward/gossip/works/bytes", test_bytes);
	return g_test_run();
}
