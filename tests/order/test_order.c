/* Orders under a lease, with faults of engines, log and instances. */
#include <glib.h>
#include <string.h>

#include "common/log.h"
#include "rows.h"
#include "world.h"

#define SEC USEC_PER_SEC
/* Enough time from the start for the first change. */
#define FIRST_CHANGE_USEC (2 * ROLE_DWELL_USEC)

struct row {
	const char *name;
	bool checks_fencing;
	void (*fault)(struct order_world *world);	  /* at start */
	void (*when_draining)(struct order_world *world); /* in drain */
	uint32_t changes;
	uint32_t orders; /* accepted by each engine, at least */
	uint64_t sent;	 /* at least, by the first instance */
	uint64_t lost;
	uint64_t fenced;
	uint64_t failures;
};

static void engines_set(struct order_world *world, struct engine set)
{
	for (uint32_t i = 0; i < ENGINES; i++) {
		set.role = world->engines[i].role;
		set.listed = set.role;
		world->engines[i] = set;
	}
}

static void fault_lose_answers(struct order_world *world)
{
	engines_set(world, (struct engine){.lose_answers = 2});
}

static void fault_lose_orders(struct order_world *world)
{
	engines_set(world, (struct engine){.lose_orders = 2});
}

static void fault_old_fence(struct order_world *world)
{
	engines_set(world, (struct engine){.fence = 1000000});
}

static void fault_ignores(struct order_world *world)
{
	engines_set(world, (struct engine){.ignores_orders = true});
}

static void fault_busy(struct order_world *world)
{
	engines_set(world, (struct engine){.busy = true});
}

static void fault_list_frozen(struct order_world *world)
{
	world->list_frozen = true;
}

static void fault_log_slow(struct order_world *world)
{
	world->log->fixed_delay = 500 * USEC_PER_MSEC;
}

static void fault_log_loses_answers(struct order_world *world)
{
	world->log->lost_percent = 30;
}

static void drain_runner_fails(struct order_world *world)
{
	for (uint32_t i = 0; i < ENGINES; i++)
		world->engines[i].unreachable |=
			world->instances[0].withheld[i];
}

/* The other runners of the draining role become unreachable. */
static void drain_others_fail(struct order_world *world)
{
	for (uint32_t i = 0; i < ENGINES; i++)
		world->engines[i].unreachable |=
			world->engines[i].role == POOL_DECODE &&
			!world->instances[0].withheld[i];
}

static const struct row rows[] = {
	{"plain", true, NULL, NULL, 2, 1, 8, 0, 0, 0},
	{"plain-unfenced", false, NULL, NULL, 2, 1, 8, 0, 0, 0},
	{"answer-lost", true, fault_lose_answers, NULL, 2, 3, 20, 12, 0, 0},
	{"answer-lost-unfenced", false, fault_lose_answers, NULL, 2, 3, 20, 12,
	 0, 0},
	{"order-lost", true, fault_lose_orders, NULL, 2, 1, 20, 12, 0, 0},
	{"order-lost-unfenced", false, fault_lose_orders, NULL, 2, 1, 20, 12, 0,
	 0},
	{"fence-refused", true, fault_old_fence, NULL, 0, 0, 1, 0, 1, 0},
	{"ignores-orders", true, fault_ignores, NULL, 0, 1, 16, 0, 0, 1},
	{"never-empty", true, fault_busy, NULL, 0, 1, 6, 0, 0, 1},
	{"not-in-the-list", true, fault_list_frozen, NULL, 1, 1, 7, 0, 0, 1},
	{"gone-while-draining", true, NULL, drain_runner_fails, 1, 1, 7, 0, 0,
	 1},
	{"last-of-its-role", true, NULL, drain_others_fail, 0, 1, 6, 0, 0, 1},
	{"log-slow", true, fault_log_slow, NULL, 2, 1, 8, 0, 0, 0},
	{"log-loses-answers", true, fault_log_loses_answers, NULL, 2, 1, 8, 0,
	 0, 0},
};

static bool draining(const struct order_world *world)
{
	return withheld_count(world) > 0;
}

static bool changed(const struct order_world *world)
{
	return world->changes > 0;
}

/* The load needs two prefill runners more than the three present. */
static struct order_world *start(bool checks_fencing, const struct row *row)
{
	struct order_world *world = order_world_create(1, checks_fencing);

	world->need_prefill = 4.6;
	world->need_decode = 0.8;
	if (row && row->fault)
		row->fault(world);
	return world;
}

static void stats_check(const struct row *row, const struct orders_stats *stats)
{
	g_assert_cmpuint(stats->lost, >=, row->lost);
	g_assert_cmpuint(stats->fenced > 0, ==, row->fenced > 0);
	g_assert_cmpuint(stats->failures > 0, ==, row->failures > 0);
	g_assert_cmpuint(stats->sent, >=, row->sent);
}

static void test_row(gconstpointer data)
{
	const struct row *row = data;
	struct order_world *world = start(row->checks_fencing, row);
	struct orders_stats stats;

	if (row->when_draining) {
		g_assert_true(
			order_world_until(world, FIRST_CHANGE_USEC, draining));
		row->when_draining(world);
	}
	order_world_run(world, (row->when_draining ? 300 : 900) * SEC);
	for (uint32_t i = 0; i < ENGINES; i++)
		g_assert_cmpuint(world->engines[i].orders, >=, row->orders);
	orders_stats(world->instances[0].orders, &stats);
	if (row->changes)
		g_assert_cmpuint(world->changes, >=, row->changes);
	else
		g_assert_cmpuint(world->changes, ==, 0);
	stats_check(row, &stats);
	g_assert_cmpint(world->min_interval, >=, ROLE_DWELL_USEC);
	order_world_destroy(world);
}

/* The load reverses: a runner changes back, but not within the dwell time. */
static void test_reversed_load(void)
{
	struct order_world *world = start(true, NULL);

	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, changed));
	world->need_prefill = 0.8;
	world->need_decode = 4.6;
	order_world_run(world, 600 * SEC);
	g_assert_cmpuint(engines_of(world, POOL_DECODE), >=, 4);
	g_assert_cmpint(world->min_interval, >=, ROLE_DWELL_USEC);
	order_world_destroy(world);
}

/* The holder is paused during a change and another instance becomes home and
 * takes over. What the first does after it resumes has no effect. */
static void test_paused(gconstpointer data)
{
	bool checks_fencing = data != NULL;
	struct order_world *world = start(checks_fencing, NULL);
	struct orders_stats stats;

	world->order_delay = ORDER_TIMEOUT_USEC;
	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, draining));
	world->instances[0].node->paused = true;
	world->home = 1;
	order_world_run(world, 200 * SEC);
	g_assert_cmpuint(world->changes, >, 0);
	world->instances[0].node->paused = false;
	order_world_run(world, 200 * SEC);
	orders_stats(world->instances[1].orders, &stats);
	g_assert_cmpuint(stats.changes, >, 0);
	orders_stats(world->instances[0].orders, &stats);
	g_assert_cmpuint(stats.leases, ==, 0);
	for (uint32_t i = 0; i < ENGINES; i++)
		g_assert_false(world->instances[0].withheld[i]);
	g_assert_cmpint(world->min_interval, >=, ROLE_DWELL_USEC);
	order_world_destroy(world);
}

static bool ordering(const struct order_world *world)
{
	struct orders_status status;
	uint32_t cursor = 0;

	return orders_next(world->instances[0].orders, &cursor, &status) &&
	       strcmp(status.step, "order") == 0;
}

/* The lease passes on at once, as the engines check fencing numbers, while an
 * order is under way. The new holder's order makes them refuse the late one. */
static void test_late_order(void)
{
	struct order_world *world = start(true, NULL);
	uint32_t refused = 0;

	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, ordering));
	world->first_order_delay = 20 * SEC;
	order_world_run(world, 1500 * USEC_PER_MSEC);
	world->home = 1;
	order_world_run(world, 30 * SEC);
	for (uint32_t i = 0; i < ENGINES; i++)
		refused += world->engines[i].refused;
	g_assert_cmpuint(refused, >=, 1);
	g_assert_cmpuint(world->changes, ==, 0);
	order_world_destroy(world);
}

/* Engines do not check fencing numbers: the next holder waits for the order. */
static void test_late_order_unfenced(void)
{
	struct order_world *world = start(false, NULL);

	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, ordering));
	world->first_order_delay = ORDER_TIMEOUT_USEC - 50 * USEC_PER_MSEC;
	order_world_run(world, 1500 * USEC_PER_MSEC);
	world->home = 1;
	order_world_run(world, 60 * SEC);
	g_assert_cmpuint(world->changes, ==, 1);
	for (uint32_t i = 0; i < ENGINES; i++)
		g_assert_cmpuint(world->engines[i].orders, >=, 2);
	order_world_destroy(world);
}

/* The holder is paused while it reads a role, and another takes the lease. It
 * resumes with its clock behind and reads the answer, but sends no order. */
static void test_stale_clock(void)
{
	struct order_world *world = start(false, NULL);
	struct orders_stats before, after;
	uint64_t call;

	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, ordering));
	call = world->instances[0].last_call;
	while (world->instances[0].last_call == call)
		order_world_run(world, WORLD_STEP_USEC);
	orders_stats(world->instances[0].orders, &before);
	world->world->stale_percent = 100;
	world->instances[0].node->paused = true;
	world->home = 1;
	order_world_run(world, 60 * SEC);
	world->instances[0].node->paused = false;
	order_world_run(world, 10 * SEC);
	orders_stats(world->instances[0].orders, &after);
	g_assert_cmpuint(after.sent, ==, before.sent);
	g_assert_cmpuint(after.leases, ==, 0);
	order_world_destroy(world);
}

/* An order whose answer was lost is repeated, although it took effect. */
static void test_repeated(void)
{
	struct order_world *world = start(true, NULL);
	uint32_t orders = 0;

	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, draining));
	for (uint32_t i = 0; i < ENGINES; i++)
		world->engines[i].lose_answers = 1;
	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, changed));
	order_world_run(world, 10 * SEC);
	for (uint32_t i = 0; i < ENGINES; i++)
		orders += world->engines[i].orders;
	/* One assertion for each engine, one lost and one answered order. */
	g_assert_cmpuint(orders, ==, ENGINES + 2);
	order_world_destroy(world);
}

/* The list is out of date at a takeover: the new holder asserts the role that
 * the engine reports, not the one in the list. */
static void test_takeover_behind(void)
{
	struct order_world *world = start(true, NULL);

	world->list_frozen = true;
	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, changed));
	order_world_run(world, 5 * SEC);
	world->home = 1;
	order_world_run(world, 20 * SEC);
	g_assert_cmpuint(withheld_count(world), ==, 1);
	order_world_run(world, 300 * SEC);
	g_assert_cmpuint(world->changes, ==, 1);
	world->list_frozen = false;
	order_world_run(world, 200 * SEC);
	g_assert_cmpuint(world->changes, >, 1);
	order_world_destroy(world);
}

/* The holder dies during a change: the next one drops that change and goes on.
 */
static void test_killed(gconstpointer data)
{
	struct order_world *world = start(data != NULL, NULL);

	world->order_delay = ORDER_TIMEOUT_USEC;
	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, draining));
	order_world_run(world, 6 * SEC);
	instance_kill(&world->instances[0]);
	world->home = 1;
	order_world_run(world, 300 * SEC);
	g_assert_cmpuint(world->changes, >=, 2);
	order_world_destroy(world);
}

/* The home moves: the previous home stops and releases the lease. */
static void test_home_moved(void)
{
	struct order_world *world = start(true, NULL);
	struct orders_stats stats;
	int64_t moved_at;

	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, draining));
	world->home = 1;
	moved_at = clock_now(world->world->clock);
	order_world_run(world, 2 * SEC);
	orders_stats(world->instances[0].orders, &stats);
	g_assert_cmpuint(stats.leases, ==, 0);
	order_world_run(world, 3 * SEC);
	orders_stats(world->instances[1].orders, &stats);
	g_assert_cmpuint(stats.leases, ==, 1);
	g_assert_cmpint(clock_now(world->world->clock) - moved_at, <, 10 * SEC);
	order_world_destroy(world);
}

static void engines_set_busy(struct order_world *world, bool busy)
{
	for (uint32_t i = 0; i < ENGINES; i++)
		world->engines[i].busy = busy;
}

/* The lease expires during a drain: the runner is released, and gets no order
 * once it is empty. */
static void test_lease_expired(void)
{
	struct order_world *world = start(true, NULL);

	g_assert_true(order_world_until(world, FIRST_CHANGE_USEC, draining));
	world->log->outage = true;
	engines_set_busy(world, true);
	order_world_run(world, 15 * SEC);
	g_assert_cmpuint(withheld_count(world), ==, 0);
	engines_set_busy(world, false);
	order_world_run(world, 300 * SEC);
	g_assert_cmpuint(world->changes, ==, 0);
	world->log->outage = false;
	order_world_run(world, 300 * SEC);
	g_assert_cmpuint(world->changes, >, 0);
	order_world_destroy(world);
}

/* The lease expires while an order is under way: the runner stays withheld
 * until the order has arrived or has timed out. The log fails at different
 * points. */
static void test_lease_expired_during_order(void)
{
	uint32_t changes = 0;

	for (int64_t msec = 0; msec < 6000; msec += 200) {
		struct order_world *world = start(true, NULL);

		g_assert_true(
			order_world_until(world, FIRST_CHANGE_USEC, draining));
		world->first_order_delay =
			ORDER_TIMEOUT_USEC - 50 * USEC_PER_MSEC;
		engines_set_busy(world, true);
		order_world_run(world, 10 * SEC);
		world->log->outage = true;
		order_world_run(world, msec * USEC_PER_MSEC);
		engines_set_busy(world, false);
		order_world_run(world, 30 * SEC);
		g_assert_cmpuint(withheld_count(world), ==, 0);
		changes += world->changes;
		order_world_destroy(world);
	}
	g_assert_cmpuint(changes, >, 0);
	g_assert_cmpuint(changes, <, 30);
}

/* No change begins and no order is sent without a lease. */
static void test_no_log(void)
{
	struct order_world *world = start(true, NULL);
	struct orders_stats stats;

	world->log->outage = true;
	g_assert_false(order_world_until(world, 300 * SEC, draining));
	orders_stats(world->instances[0].orders, &stats);
	g_assert_cmpuint(stats.sent, ==, 0);
	world->log->outage = false;
	order_world_run(world, 300 * SEC);
	g_assert_cmpuint(world->changes, >, 0);
	order_world_destroy(world);
}

static void disturb(struct order_world *world)
{
	struct instance *inst = &world->instances[world_draw(world->world, 2)];
	struct engine *engine =
		&world->engines[world_draw(world->world, ENGINES)];

	switch (world_draw(world->world, 8)) {
	case 0:
		inst->node->paused = inst->orders && !inst->node->paused;
		break;
	case 1:
		if (inst->orders)
			instance_kill(inst);
		else
			instance_start(inst);
		break;
	case 2:
		world->home = (uint32_t)world_draw(world->world, 2);
		break;
	case 3:
		engine->lose_answers = 1;
		break;
	case 4:
		engine->lose_orders = 1;
		break;
	case 5:
		world->log->outage = !world->log->outage;
		break;
	case 6:
		engine->busy = !engine->busy;
		break;
	default:
		world->need_prefill = 5 - world->need_prefill;
		world->need_decode = 5 - world->need_decode;
	}
}

/* Random faults; the invariants of world.h are checked at each step. */
static void test_schedules(gconstpointer data)
{
	uint32_t changes = 0;

	for (uint32_t seed = 1; seed <= 100; seed++) {
		struct order_world *world =
			order_world_create(seed, data != NULL);

		world->need_prefill = 4.2;
		world->need_decode = 0.8;
		world->order_delay = ORDER_TIMEOUT_USEC;
		for (int i = 0; i < 30; i++) {
			order_world_run(world, 60 * SEC);
			disturb(world);
		}
		changes += world->changes;
		order_world_destroy(world);
	}
	g_test_message("%u changes", changes);
	g_assert_cmpuint(changes, >, 150);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	ROWS_ADD("/order/fault/", rows, test_row);
	g_test_add_func("/order/back", test_reversed_load);
	g_test_add_data_func("/order/paused/fenced", "", test_paused);
	g_test_add_data_func("/order/paused/unfenced", NULL, test_paused);
	g_test_add_data_func("/order/killed/fenced", "", test_killed);
	g_test_add_data_func("/order/killed/unfenced", NULL, test_killed);
	g_test_add_func("/order/late", test_late_order);
	g_test_add_func("/order/late-unfenced", test_late_order_unfenced);
	g_test_add_func("/order/stale", test_stale_clock);
	g_test_add_func("/order/lapsed-under-way",
			test_lease_expired_during_order);
	g_test_add_func("/order/repeated", test_repeated);
	g_test_add_func("/order/takeover-behind", test_takeover_behind);
	g_test_add_func("/order/moved", test_home_moved);
	g_test_add_func("/order/lapsed", test_lease_expired);
	g_test_add_func("/order/no-log", test_no_log);
	g_test_add_data_func("/order/schedules/fenced", "", test_schedules);
	g_test_add_data_func("/order/schedules/unfenced", NULL, test_schedules);
	return g_test_run();
}
