/* Seeded schedules of load and failures, each checked against invariants.c.
 * Usage: test_ledger_schedules [FIRST-SEED [COUNT]]; a failure names its seed.
 */
#include "world.h"

#include "common/log.h"

#include <stdlib.h>

#define SCHEDULES 1000
#define LOAD_USEC (4 * USEC_PER_SEC)
#define QUIET_USEC (60 * USEC_PER_SEC)
#define JOBS 60

static uint32_t first_seed = 1;
static uint32_t seed_count = SCHEDULES;

struct act {
	struct world *world;
	int index;
	int other;
	struct job *job;
};

static void plan(struct world *world, int64_t at, void (*fn)(void *),
		 const struct act *act)
{
	world_after(world, at, fn, g_memdup2(act, sizeof(*act)), g_free);
}

static void do_withdraw(void *data)
{
	struct act *act = data;

	if (act->job->state == JOB_SUBMITTED && act->job->answers == 0 &&
	    act->job->instance->up && !act->job->instance->paused)
		app_withdraw(act->job);
}

static void do_cancel(void *data)
{
	struct act *act = data;

	if (act->job->instance->up && !act->job->instance->paused)
		app_cancel(act->job);
}

static void do_ask(void *data)
{
	struct act act = *(struct act *)data;
	struct world *world = act.world;
	struct instance *instance = &world->instances[act.index];
	struct spec spec = {
		.class = world_chance(world, 0.5) ? CLASS_URGENT
						  : CLASS_DEFERRABLE,
		.tokens = (uint32_t)world_range(world, 100, 16000),
		.decode_usec = world_range(world, 20, 400) * USEC_PER_MSEC,
		.block = (uint64_t)world_range(world, 1, 6)};

	if (!instance->up || instance->paused)
		return;
	if (world_chance(world, 0.4))
		spec.key = (uint64_t)world_range(world, 1, 12);
	act.job = app_submit(world, act.index, &spec);
	act.job->adopt = world_chance(world, 0.5);
	if (world_chance(world, 0.1))
		act.job->fail_times = 1;
	if (world_chance(world, 0.1))
		plan(world, world_range(world, 0, USEC_PER_SEC), do_withdraw,
		     &act);
	if (world_chance(world, 0.1))
		plan(world, world_range(world, 0, USEC_PER_SEC), do_cancel,
		     &act);
}

static void do_restart(void *data)
{
	struct act *act = data;

	world_restart(act->world, act->index);
}

static void do_kill(void *data)
{
	struct act *act = data;

	world_kill(act->world, act->index);
	plan(act->world, world_range(act->world, 1, 3 * USEC_PER_SEC),
	     do_restart, act);
}

static void do_wake(void *data)
{
	struct act *act = data;

	world_resume(act->world, act->index);
}

static void do_pause(void *data)
{
	struct act *act = data;

	world_pause(act->world, act->index);
	plan(act->world, world_range(act->world, 0, 4 * USEC_PER_SEC), do_wake,
	     act);
}

static void do_join(void *data)
{
	struct act *act = data;

	world_block(act->world, act->index, act->other, false);
}

/* Shorter than the settling time: a longer cut is for membership to see. */
static void do_cut(void *data)
{
	struct act *act = data;

	world_block(act->world, act->index, act->other, true);
	plan(act->world, world_range(act->world, 0, USEC_PER_SEC), do_join,
	     act);
}

static void do_leave(void *data)
{
	struct act *act = data;

	world_leave(act->world, act->index);
}

static void do_swap(void *data)
{
	struct act *act = data;

	world_configure(act->world, "least_load", 500);
	world_configure(act->world, "reserve", 400);
}

static void do_runner_leaves(void *data)
{
	struct act *act = data;

	act->world->engines[3].leaving = true;
}

static void (*const faults[])(void *) = {do_kill,  do_pause, do_cut,
					 do_leave, do_swap,  do_runner_leaves};

static void schedule(uint32_t seed)
{
	struct world *world;
	struct act act = {.job = NULL};
	int count = 2 + (int)(seed % 3);

	world = world_create(seed, count, "reserve", 500);
	act.world = world;
	world->loss_rate = world_chance(world, 0.5) ? 0.1 : 0;
	world->duplicate_rate = world_chance(world, 0.5) ? 0.2 : 0;
	world->delay_max = world_range(world, 1, 40) * USEC_PER_MSEC;
	for (int i = 0; i < JOBS; i++) {
		act.index = (int)world_range(world, 0, count);
		plan(world, world_range(world, 0, LOAD_USEC), do_ask, &act);
	}
	for (int i = (int)world_range(world, 0, 4); i > 0; i--) {
		int64_t fault = world_range(world, 0, G_N_ELEMENTS(faults));

		act.index = (int)world_range(world, 0, count);
		act.other = (act.index + 1) % count;
		plan(world, world_range(world, 0, LOAD_USEC), faults[fault],
		     &act);
	}
	world_run(world, LOAD_USEC);
	for (int i = 0; i < 60 && world->violation->len == 0; i++)
		world_run(world, QUIET_USEC / 60);
	invariants_end(world);
	if (world->violation->len > 0)
		g_test_message("seed %u: %s", seed, world->violation->str);
	g_assert_cmpstr(world->violation->str, ==, "");
	world_destroy(world);
}

static void test_schedules(void)
{
	for (uint32_t i = 0; i < seed_count; i++)
		schedule(first_seed + i);
}

int main(int argc, char **argv)
{
	log_setup(NULL, "test", LOG_ERR);
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		first_seed = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		seed_count = (uint32_t)strtoul(argv[2], NULL, 10);
	g_test_message("seeds from %u, %u of them", first_seed, seed_count);
	g_test_add_func("/ledger/schedules", test_schedules);
	return g_test_run();
}
