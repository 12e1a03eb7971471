/*
 * Random schedules of leases under faults; the invariants of lease_trial.h are
 * checked at each step. LEASE_SEED selects one schedule; LEASE_COUNT sets their
 * number (default 1,000).
 */
#include "common/log.h"
#include "lease_trial.h"
#include "seeds.h"

#define STEPS 10000 /* 50 s */

static bool happens(struct world *world, double per_thousand)
{
	return g_rand_double(world->rand) * 1000.0 < per_thousand;
}

static void holder_faults(struct holder *holder, double rate)
{
	struct world *world = holder->trial->world;

	if (!holder->leases) {
		if (happens(world, 2))
			holder_start(holder);
		return;
	}
	if (happens(world, rate / 3)) {
		holder_kill(holder);
		return;
	}
	if (happens(world, rate / 3))
		holder->client.partitioned = true;
	else if (happens(world, 0.5))
		holder->client.partitioned = false;
	if (happens(world, rate))
		holder->node->paused = true;
	else if (happens(world, 0.5))
		holder->node->paused = false;
	if (holder->node->paused || !happens(world, rate / 3))
		return;
	if (holder->wants)
		holder_release(holder);
	else
		holder_acquire(holder);
}

static void trial_faults(struct trial *trial, double rate)
{
	for (uint32_t i = 0; i < HOLDERS; i++)
		holder_faults(&trial->holders[i], rate);
	if (happens(trial->world, rate / 5))
		trial->log->outage = true;
	else if (happens(trial->world, 0.5))
		trial->log->outage = false;
	if (happens(trial->world, rate / 5))
		trial->log->retention =
			1 + world_draw(trial->world, 20 * USEC_PER_SEC);
}

/* Once all faults have ended, an instance holds the task again. */
static void trial_heal(struct trial *trial)
{
	trial->log->outage = false;
	trial->log->delay = 10 * USEC_PER_MSEC;
	trial->log->lost_percent = 0;
	trial->log->retention = 0;
	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct holder *holder = &trial->holders[i];

		holder->node->paused = false;
		holder->client.partitioned = false;
		if (!holder->leases)
			holder_start(holder);
		if (!holder->wants)
			holder_acquire(holder);
	}
	trial_run(trial, 40 * USEC_PER_SEC);
	g_assert_cmpint(trial_check_holders(trial, NULL), ==, 1);
}

static int schedule_run(uint32_t seed, int64_t *refused)
{
	struct trial *trial = trial_create(seed);
	struct world *world = trial->world;
	double rate = g_rand_double_range(world->rand, 0.0, 1.0);
	int taken;

	trial->engine.checks_fencing = seed % 2;
	trial->log->delay = 1 + world_draw(world, 400 * USEC_PER_MSEC);
	if (seed % 8 == 0)
		trial->log->delay = 4 * USEC_PER_SEC;
	if (seed % 8 < 4)
		trial->log->delay = 1 + trial->log->delay / 40;
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

static void test_schedules(void)
{
	const struct seeds seeds = seeds_from_env("LEASE");
	int64_t refused = 0;
	int taken = 0;

	for (uint32_t i = 0; i < seeds.count; i++) {
		uint32_t seed = seeds.first + i;

		g_test_message("seed %u", seed);
		taken += schedule_run(seed, &refused);
	}
	g_test_message("%u schedules, %d times taken, %" G_GINT64_FORMAT
		       " late orders refused",
		       seeds.count, taken, refused);
	/* The schedules must cause takeovers and late orders. */
	g_assert_cmpint(taken, >=, 2 * (int)seeds.count);
	g_assert_cmpint(refused, >=, (int)seeds.count / 100);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, NULL, LOG_CRIT);
	g_test_add_func("/lease_schedules/random", test_schedules);
	return g_test_run();
}
