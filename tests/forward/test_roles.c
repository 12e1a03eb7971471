/* Which runner is ordered to another role, by which instance, and when. */
#include <glib.h>
#include <string.h>

#include "../fake/call_queue.h"
#include "../fake/fake_log.h"
#include "common/id.h"
#include "forward/rates.h"
#include "forward/roles.h"

#define SECOND USEC_PER_SEC
#define DECIDERS 2

struct site;

struct decider {
	struct site *site;
	struct fleet *fleet;
	struct roles *roles;
	struct fake_log_client client;
	bool decides;
};

struct site {
	struct clock *clock;
	struct call_queue *call_queue;
	GRand *rand;
	struct fake_log *log;
	struct catalog *catalog;
	struct decider deciders[DECIDERS];
	double demand;
	double prefill_rate;
	bool list_stale; /* the list does not show changes */
	GString *orders; /* an entry each, as in "a:p1>decode " */
	GArray *times;
};

static void on_post(void *node, int64_t delay, void (*fn)(void *data),
		    void *data, GDestroyNotify destroy)
{
	struct decider *decider = node;

	call_queue_add(decider->site->call_queue, delay, fn, data, destroy);
}

static bool decides(void *ctx)
{
	return ((struct decider *)ctx)->decides;
}

static double demand(void *ctx)
{
	return ((struct decider *)ctx)->site->demand;
}

static double prefill_rate(void *ctx)
{
	return ((struct decider *)ctx)->site->prefill_rate;
}

static const struct catalog *catalog(void *ctx)
{
	return ((struct decider *)ctx)->site->catalog;
}

struct answer {
	order_fn fn;
	void *ctx;
};

static void answer_send(void *data)
{
	struct answer *answer = data;

	answer->fn(answer->ctx, ORDER_ACCEPTED);
}

static void runner_put_version(struct site *site, const char *id,
			       enum backend_stage stage, const char *version)
{
	struct backend_info info = {
		.service = id_of("model"),
		.software = id_of(version),
		.stage = stage,
		.slots = 8,
	};

	g_strlcpy(info.id, id, sizeof(info.id));
	g_strlcpy(info.data_centre, "here", sizeof(info.data_centre));
	for (int i = 0; i < DECIDERS; i++)
		fleet_put(site->deciders[i].fleet, &info);
}

static void runner_put(struct site *site, const char *id,
		       enum backend_stage stage)
{
	runner_put_version(site, id, stage, "");
}

static void on_order(void *ctx, const struct stage_order *order, order_fn fn,
		     void *fn_ctx)
{
	struct decider *decider = ctx;
	struct site *site = decider->site;
	int64_t now = clock_now(site->clock);
	struct answer *answer = g_new0(struct answer, 1);

	answer->fn = fn;
	answer->ctx = fn_ctx;
	g_string_append_printf(
		site->orders, "%s:%s>%s ", order->holder, order->to->id,
		order->stage == STAGE_DECODE ? "decode" : "prefill");
	g_array_append_val(site->times, now);
	call_queue_add(site->call_queue, 5000, answer_send, answer, g_free);
	if (!site->list_stale)
		runner_put(site, order->to->id, order->stage);
}

static void decider_open(struct site *site, int i)
{
	static const char *const names[DECIDERS] = {"a", "b"};
	struct decider *decider = &site->deciders[i];
	struct roles_parts parts = {
		.clock = site->clock,
		.name = names[i],
		.boot = 1,
		.ops = {decides, demand, prefill_rate, catalog},
		.ctx = decider,
	};

	decider->site = site;
	decider->client = (struct fake_log_client){
		.log = site->log, .post = on_post, .node = decider};
	decider->fleet = fleet_create(site->clock, "here");
	parts.fleet = decider->fleet;
	parts.log = fake_log_store(&decider->client);
	parts.backends.order = on_order;
	parts.backends.ctx = decider;
	decider->roles = roles_create(&parts);
}

static void site_open(struct site *site)
{
	struct catalog_service *service;

	*site = (struct site){
		.orders = g_string_new(NULL),
		.prefill_rate = PREFILL_RATE_START,
	};
	site->times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	site->clock = clock_create(0);
	site->call_queue = call_queue_create(site->clock);
	site->rand = g_rand_new_with_seed(4);
	site->log = fake_log_create(site->clock, site->call_queue, site->rand);
	site->log->delay = 4 * USEC_PER_MSEC;
	site->catalog = catalog_create(1);
	service = catalog_add_service(site->catalog, "model");
	service->engine = (struct engine_traits){
		.slots = 8, .memory_tokens = 1000, .switch_usec = SECOND};
	for (int i = 0; i < DECIDERS; i++)
		decider_open(site, i);
	site->deciders[0].decides = true;
}

static void site_close(struct site *site, const char *orders)
{
	g_assert_cmpstr(site->orders->str, ==, orders);
	for (int i = 0; i < DECIDERS; i++) {
		roles_destroy(site->deciders[i].roles);
		fleet_destroy(site->deciders[i].fleet);
	}
	/* Pending answers arrive after their receiver is gone. */
	clock_advance(site->clock, clock_now(site->clock) + SECOND);
	call_queue_destroy(site->call_queue);
	fake_log_destroy(site->log);
	catalog_unref(site->catalog);
	g_rand_free(site->rand);
	g_array_unref(site->times);
	g_string_free(site->orders, TRUE);
	clock_destroy(site->clock);
}

static void wait_usec(struct site *site, int64_t usec)
{
	clock_advance(site->clock, clock_now(site->clock) + usec);
}

static void runners_put(struct site *site, const char *ids)
{
	g_auto(GStrv) list = g_strsplit(ids, " ", -1);

	for (int i = 0; list[i]; i++)
		runner_put(site, list[i],
			   list[i][0] == 'p' ? STAGE_PREFILL : STAGE_DECODE);
}

/* Before any traffic the split is corrected within seconds. */
static void test_start(void)
{
	struct site site;

	site_open(&site);
	runners_put(&site, "p1 p2 p3 p4 d1 d2 d3 d4 d5");
	wait_usec(&site, 6 * SECOND);
	site_close(&site, "a:p1>decode a:p2>decode ");
}

/* A lasting demand changes the role of a runner, a burst does not. */
static void test_demand(void)
{
	struct site site;

	site_open(&site);
	site.demand = 33000;
	runners_put(&site, "p1 p2 d1 d2 d3 d4 d5 d6 d7");
	wait_usec(&site, 10 * SECOND);
	site.demand = 90000;
	wait_usec(&site, 20 * SECOND);
	site.demand = 33000;
	wait_usec(&site, 20 * SECOND);
	g_assert_cmpstr(site.orders->str, ==, "");
	site.demand = 90000;
	wait_usec(&site, 36 * SECOND);
	site_close(&site, "a:d1>prefill ");
}

/* A stage that the loss of one runner would empty gets another at once. */
static void test_no_spare(void)
{
	struct site site;

	site_open(&site);
	site.demand = 33000;
	runners_put(&site, "p1 d1 d2 d3 d4 d5 d6 d7");
	wait_usec(&site, 5 * SECOND);
	site_close(&site, "a:d1>prefill ");
}

/* The last decode runners of a version are not taken from its streams. */
static void test_version_kept(void)
{
	struct site site;

	site_open(&site);
	site.demand = 33000;
	runner_put_version(&site, "p1", STAGE_PREFILL, "v2");
	runner_put_version(&site, "d1", STAGE_DECODE, "v1");
	runner_put_version(&site, "d2", STAGE_DECODE, "v1");
	runner_put_version(&site, "d3", STAGE_DECODE, "v2");
	runner_put_version(&site, "d4", STAGE_DECODE, "v2");
	runner_put_version(&site, "d5", STAGE_DECODE, "v2");
	wait_usec(&site, 5 * SECOND);
	site_close(&site, "a:d3>prefill ");
}

/* Prefill runners are lost, and the remaining ones cannot process the mean
 * demand: others replace them within seconds, one after the other. */
static void test_overload(void)
{
	struct site site;

	site_open(&site);
	site.demand = 130000;
	runners_put(&site, "p1 p2 p3 p4 p5 d1 d2 d3 d4 d5 d6 d7 d8 d9");
	wait_usec(&site, 40 * SECOND);
	g_assert_cmpstr(site.orders->str, ==, "");
	for (int i = 0; i < DECIDERS; i++) {
		fleet_remove(site.deciders[i].fleet, "p1");
		fleet_remove(site.deciders[i].fleet, "p2");
		fleet_remove(site.deciders[i].fleet, "p3");
	}
	wait_usec(&site, 2 * SECOND);
	g_assert_cmpstr(site.orders->str, ==, "");
	wait_usec(&site, 8 * SECOND);
	site_close(&site, "a:d9>prefill a:d8>prefill ");
}

/* The same loss with engines that prefill 1.6 times as fast: the remaining
 * runners suffice, so none is taken from decoding. */
static void test_fast_engines(void)
{
	struct site site;

	site_open(&site);
	site.prefill_rate = PREFILL_RATE_START * 1.6;
	site.demand = 100000;
	runners_put(&site, "p1 p2 p3 p4 p5 d1 d2 d3 d4 d5 d6 d7 d8 d9");
	wait_usec(&site, 40 * SECOND);
	for (int i = 0; i < DECIDERS; i++) {
		fleet_remove(site.deciders[i].fleet, "p1");
		fleet_remove(site.deciders[i].fleet, "p2");
		fleet_remove(site.deciders[i].fleet, "p3");
	}
	wait_usec(&site, 10 * SECOND);
	site_close(&site, "");
}

/* roles_pending_changes() reports every changing server until the list shows
 * its new role. */
static void test_pending_changes(void)
{
	struct backend_change moves[4];
	struct site site;

	site_open(&site);
	site.demand = 130000;
	runners_put(&site, "p1 p2 p3 p4 p5 d1 d2 d3 d4 d5 d6 d7 d8 d9");
	wait_usec(&site, 40 * SECOND);
	site.list_stale = true;
	for (int i = 0; i < DECIDERS; i++)
		for (int k = 0; k < 3; k++) {
			const char *const lost[] = {"p1", "p2", "p3"};

			fleet_remove(site.deciders[i].fleet, lost[k]);
		}
	wait_usec(&site, 5 * SECOND);
	g_assert_cmpuint(
		roles_pending_changes(site.deciders[0].roles, moves, 4), ==, 2);
	for (int k = 0; k < 2; k++) {
		const struct backend *backend =
			fleet_find(site.deciders[0].fleet, moves[k].key);

		g_assert_cmpint(moves[k].stage, ==, STAGE_PREFILL);
		g_assert_cmpint(moves[k].left_usec, >, 10 * SECOND);
		/* Neither instance sends it requests. */
		g_assert_false(backend_usable(backend, clock_now(site.clock)));
		fleet_set_changing(site.deciders[1].fleet, &moves[k]);
		backend = fleet_find(site.deciders[1].fleet, moves[k].key);
		g_assert_false(backend_usable(backend, clock_now(site.clock)));
	}
	runners_put(&site, "p4 p5");
	runner_put(&site, "d9", STAGE_PREFILL);
	runner_put(&site, "d8", STAGE_PREFILL);
	g_assert_cmpuint(
		roles_pending_changes(site.deciders[0].roles, moves, 4), ==, 0);
	g_assert_true(
		backend_usable(fleet_find_id(site.deciders[1].fleet, "d9"),
			       clock_now(site.clock)));
	site_close(&site, "a:d9>prefill a:d8>prefill ");
}

/* When the holder is lost, its successor orders soon, but never within the time
 * in which an order of the previous holder may still arrive. */
static void test_successor(void)
{
	struct site site;

	site_open(&site);
	site.demand = 33000;
	runners_put(&site, "p1 d1 d2 d3 d4 d5 d6 d7");
	wait_usec(&site, 4 * SECOND);
	site.deciders[0].client.partitioned = true;
	site.deciders[0].decides = false;
	site.deciders[1].decides = true;
	for (int i = 0; i < DECIDERS; i++)
		fleet_remove(site.deciders[i].fleet, "p1");
	wait_usec(&site, 10 * SECOND);
	g_assert_cmpint(g_array_index(site.times, int64_t, 1) -
				g_array_index(site.times, int64_t, 0),
			>=, 3 * SECOND);
	site_close(&site, "a:d1>prefill b:d7>prefill ");
}

/* While the log is down no instance orders anything. */
static void test_log_down(void)
{
	struct site site;

	site_open(&site);
	site.log->outage = true;
	runners_put(&site, "p1 p2 p3 p4 d1 d2 d3 d4 d5");
	wait_usec(&site, 20 * SECOND);
	site_close(&site, "");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/roles/start", test_start);
	g_test_add_func("/forward/roles/demand", test_demand);
	g_test_add_func("/forward/roles/fast-engines", test_fast_engines);
	g_test_add_func("/forward/roles/pending-changes", test_pending_changes);
	g_test_add_func("/forward/roles/no-spare", test_no_spare);
	g_test_add_func("/forward/roles/version-kept", test_version_kept);
	g_test_add_func("/forward/roles/overload", test_overload);
	g_test_add_func("/forward/roles/successor", test_successor);
	g_test_add_func("/forward/roles/log-down", test_log_down);
	return g_test_run();
}
