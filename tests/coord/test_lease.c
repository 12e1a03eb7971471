/*
 * Leases: at no instant of the true time do two running instances both hold a
 * valid one, and orders to engines never go back, whether the engine checks
 * the fencing number or not. LEASE_SEED runs one schedule, LEASE_COUNT another
 * number than 1,000.
 */
#include <stdlib.h>

#include "common/log.h"
#include "coord/lease.h"
#include "fake_log.h"
#include "lease_fold.h"

#define HOLDERS 3u
#define TASK 5u
#define STEPS 10000 /* 50 s */
#define ORDER_TIMEOUT (6 * USEC_PER_SEC)

struct engine {
	bool checks;	/* fencing numbers */
	uint64_t fence; /* the highest seen */
	int64_t orders;
	int64_t refused;
};

struct trial;

struct holder {
	struct trial *trial;
	struct node *node;
	struct fake_log_client client;
	struct leases *leases; /* NULL while down */
	uint64_t incarnation;
	bool held; /* by the callbacks */
	bool wants;
};

struct trial {
	struct world *world;
	struct fake_log *log;
	struct holder holders[HOLDERS];
	struct engine engine;
	uint64_t fence; /* the highest taken */
	uint64_t fence_owner;
	int taken;
};

/* An order on its way to the engine. */
struct order {
	struct trial *trial;
	uint64_t fence;
};

static void holder_taken(void *ctx, uint64_t task, uint64_t fence)
{
	struct holder *holder = ctx;
	struct trial *trial = holder->trial;
	uint64_t owner = id_mix((uint64_t)(holder - trial->holders),
				holder->incarnation);

	g_assert_cmpuint(task, ==, TASK);
	g_assert_false(holder->held);
	if (owner == trial->fence_owner)
		g_assert_cmpuint(fence, >=, trial->fence);
	else
		g_assert_cmpuint(fence, >, trial->fence);
	trial->fence = fence;
	trial->fence_owner = owner;
	trial->taken++;
	holder->held = true;
}

static void holder_lost(void *ctx, uint64_t task)
{
	struct holder *holder = ctx;

	g_assert_true(holder->held);
	holder->held = false;
}

static const struct lease_ops holder_ops = {holder_taken, holder_lost};

/* Engines that do not check must never get an order that is out of date. */
static void order_arrived(void *data)
{
	struct order *order = data;
	struct engine *engine = &order->trial->engine;

	if (engine->checks && order->fence < engine->fence) {
		engine->refused++;
		return;
	}
	g_assert_cmpuint(order->fence, >=, engine->fence);
	engine->fence = order->fence;
	engine->orders++;
}

static void order_send(struct trial *trial, uint64_t fence)
{
	struct order *order = g_new0(struct order, 1);

	*order = (struct order){trial, fence};
	/* The engine is on the first node's side, which never stops. */
	world_post(trial->world->nodes->pdata[HOLDERS],
		   world_draw(trial->world, ORDER_TIMEOUT), order_arrived,
		   order, g_free, true);
}

static void holder_want(struct holder *holder)
{
	if (holder->trial->engine.checks)
		lease_want(holder->leases, TASK);
	else
		lease_want_unfenced(holder->leases, TASK, ORDER_TIMEOUT);
}

static void holder_start(struct holder *holder)
{
	struct trial *trial = holder->trial;
	struct log_store store = fake_log_store(&holder->client);
	struct owner self = {(uint64_t)(holder - trial->holders) + 1,
			     ++holder->incarnation};

	node_start(holder->node);
	holder->held = false;
	holder->wants = true;
	holder->leases = leases_create(holder->node->clock, &self, &store,
				       &holder_ops, holder);
	holder_want(holder);
}

static void holder_kill(struct holder *holder)
{
	leases_destroy(holder->leases);
	holder->leases = NULL;
	node_stop(holder->node);
}

static struct trial *trial_create(uint32_t seed)
{
	struct trial *trial = g_new0(struct trial, 1);

	trial->world = world_create(seed);
	trial->log = fake_log_create(trial->world);
	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct holder *holder = &trial->holders[i];

		holder->trial = trial;
		holder->node = world_add(trial->world);
		holder->client =
			(struct fake_log_client){trial->log, holder->node};
	}
	node_start(world_add(trial->world));
	return trial;
}

static void trial_destroy(struct trial *trial)
{
	for (uint32_t i = 0; i < HOLDERS; i++) {
		if (trial->holders[i].leases)
			holder_kill(&trial->holders[i]);
	}
	world_destroy(trial->world);
	fake_log_destroy(trial->log);
	g_free(trial);
}

/* The promise itself; a paused holder acts on nothing. */
static int trial_check(const struct trial *trial)
{
	uint64_t fence;
	int valid = 0;

	for (uint32_t i = 0; i < HOLDERS; i++) {
		const struct holder *holder = &trial->holders[i];

		if (!holder->leases || holder->node->paused ||
		    !lease_valid(holder->leases, TASK, &fence))
			continue;
		g_assert_true(holder->held);
		valid++;
	}
	g_assert_cmpint(valid, <=, 1);
	return valid;
}

static void trial_step(struct trial *trial)
{
	uint64_t fence;

	world_step(trial->world);
	trial_check(trial);
	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct holder *holder = &trial->holders[i];

		if (holder->leases && !holder->node->paused &&
		    lease_valid(holder->leases, TASK, &fence) &&
		    world_chance(trial->world, 2))
			order_send(trial, fence);
	}
}

static void trial_run(struct trial *trial, int64_t usec)
{
	int64_t end = clock_now(trial->world->clock) + usec;

	while (clock_now(trial->world->clock) < end)
		trial_step(trial);
}

static bool strikes(struct world *world, double per_thousand)
{
	return g_rand_double(world->rand) * 1000.0 < per_thousand;
}

static void holder_faults(struct holder *holder, double rate)
{
	struct world *world = holder->trial->world;

	if (!holder->leases) {
		if (strikes(world, 2))
			holder_start(holder);
		return;
	}
	if (strikes(world, rate / 3)) {
		holder_kill(holder);
		return;
	}
	if (strikes(world, rate))
		holder->node->paused = true;
	else if (strikes(world, 0.5))
		holder->node->paused = false;
	if (holder->node->paused || !strikes(world, rate / 3))
		return;
	if (holder->wants)
		lease_give_up(holder->leases, TASK);
	else
		holder_want(holder);
	holder->wants = !holder->wants;
	holder->held = false;
}

static void trial_faults(struct trial *trial, double rate)
{
	for (uint32_t i = 0; i < HOLDERS; i++)
		holder_faults(&trial->holders[i], rate);
	if (strikes(trial->world, rate / 5))
		trial->log->outage = true;
	else if (strikes(trial->world, 0.5))
		trial->log->outage = false;
	if (strikes(trial->world, rate / 5))
		trial->log->retention =
			1 + world_draw(trial->world, 20 * USEC_PER_SEC);
}

/* Whoever wants the task takes it again once all is well. */
static void trial_heal(struct trial *trial)
{
	trial->log->outage = false;
	trial->log->delay = 10 * USEC_PER_MSEC;
	trial->log->lost_percent = 0;
	trial->log->retention = 0;
	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct holder *holder = &trial->holders[i];

		holder->node->paused = false;
		if (!holder->leases)
			holder_start(holder);
		if (!holder->wants)
			holder_want(holder);
	}
	trial_run(trial, 40 * USEC_PER_SEC);
	g_assert_cmpint(trial_check(trial), ==, 1);
}

static int schedule_run(uint32_t seed, int64_t *refused)
{
	struct trial *trial = trial_create(seed);
	struct world *world = trial->world;
	double rate = g_rand_double_range(world->rand, 0.0, 1.0);
	int taken;

	trial->engine.checks = seed % 2;
	trial->log->delay = 1 + world_draw(world, 400 * USEC_PER_MSEC);
	if (seed % 4 == 0)
		trial->log->delay = 4 * USEC_PER_SEC;
	trial->log->lost_percent = (int)world_draw(world, 70);
	world->stale_percent = 50;
	for (uint32_t i = 0; i < HOLDERS; i++) {
		trial->holders[i].node->rate =
			g_rand_double_range(world->rand, 0.95, 1.05);
		holder_start(&trial->holders[i]);
	}
	for (int step = 0; step < STEPS; step++) {
		trial_faults(trial, rate);
		trial_step(trial);
	}
	trial_heal(trial);
	taken = trial->taken;
	*refused += trial->engine.refused;
	trial_destroy(trial);
	return taken;
}

static uint32_t environment(const char *name, uint32_t otherwise)
{
	const char *text = getenv(name);

	return text ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : otherwise;
}

static void test_schedules(void)
{
	uint32_t first = environment("LEASE_SEED", 0);
	uint32_t count = environment("LEASE_COUNT", first ? 1 : 1000);
	int64_t refused = 0;
	int taken = 0;

	for (uint32_t seed = first; seed < first + count; seed++) {
		g_test_message("seed %u", seed);
		taken += schedule_run(seed, &refused);
	}
	g_test_message("%u schedules, %d times taken, %" G_GINT64_FORMAT
		       " late orders refused",
		       count, taken, refused);
	/* The schedules must bring about what they are for. */
	g_assert_cmpint(taken, >=, 2 * (int)count);
	g_assert_cmpint(refused, >=, (int)count / 100);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, NULL, LOG_CRIT);
	g_test_add_func("/lease/schedules", test_schedules);
	return g_test_run();
}
