/* Random schedules of load and failures by seed, checked against invariants.c.
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

struct action {
	struct world *world;
	int index;
	int other;
	struct job *job;
};

static void action_schedule(struct world *world, int64_t at, void (*fn)(void *),
			    const struct action *action)
{
	world_after(world, at, fn, g_memdup2(action, sizeof(*action)), g_free);
}

static void do_withdraw(void *data)
{
	struct action *action = data;

	if (action->job->state == JOB_SUBMITTED && action->job->answers == 0 &&
	    action->job->instance->up && !action->job->instance->paused)
		app_withdraw(action->job);
}

static void do_cancel(void *data)
{
	struct action *action = data;

	if (action->job->instance->up && !action->job->instance->paused)
		app_cancel(action->job);
}

static void do_submit(void *data)
{
	struct action action = *(struct action *)data;
	struct world *world = action.world;
	struct instance *instance = &world->instances[action.index];
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
	action.job = app_submit(world, action.index, &spec);
	action.job->adopt = world_chance(world, 0.5);
	if (world_chance(world, 0.1))
		action.job->fail_times = 1;
	if (world_chance(world, 0.1))
		action_schedule(world, world_range(world, 0, USEC_PER_SEC),
				do_withdraw, &action);
	if (world_chance(world, 0.1))
		action_schedule(world, world_range(world, 0, USEC_PER_SEC),
				do_cancel, &action);
}

static void do_restart(void *data)
{
	struct action *action = data;

	world_restart(action->world, action->index);
}

static void do_kill(void *data)
{
	struct action *action = data;

	world_kill(action->world, action->index);
	action_schedule(action->world,
			world_range(action->world, 1, 3 * USEC_PER_SEC),
			do_restart, action);
}

static void do_resume(void *data)
{
	struct action *action = data;

	world_resume(action->world, action->index);
}

static void do_pause(void *data)
{
	struct action *action = data;

	world_pause(action->world, action->index);
	action_schedule(action->world,
			world_range(action->world, 0, 4 * USEC_PER_SEC),
			do_resume, action);
}

static void do_unblock(void *data)
{
	struct action *action = data;

	world_block(action->world, action->index, action->other, false);
}

/* The link is restored within the settling time, before membership would notice
 * that it is blocked. */
static void do_block(void *data)
{
	struct action *action = data;

	world_block(action->world, action->index, action->other, true);
	action_schedule(action->world,
			world_range(action->world, 0, USEC_PER_SEC), do_unblock,
			action);
}

static void do_leave(void *data)
{
	struct action *action = data;

	world_leave(action->world, action->index);
}

static void do_change_policy(void *data)
{
	struct action *action = data;

	world_configure(action->world, "least_load", 500);
	world_configure(action->world, "reserve", 400);
}

static void do_runner_leaves(void *data)
{
	struct action *action = data;

	action->world->engines[3].leaving = true;
}

static void (*const faults[])(void *) = {do_kill,	   do_pause,
					 do_block,	   do_leave,
					 do_change_policy, do_runner_leaves};

static void schedule(uint32_t seed)
{
	struct world *world;
	struct action action = {.job = NULL};
	int count = 2 + (int)(seed % 3);

	world = world_create(seed, count, "reserve", 500);
	action.world = world;
	world->loss_rate = world_chance(world, 0.5) ? 0.1 : 0;
	world->duplicate_rate = world_chance(world, 0.5) ? 0.2 : 0;
	world->delay_max = world_range(world, 1, 40) * USEC_PER_MSEC;
	for (int i = 0; i < JOBS; i++) {
		action.index = (int)world_range(world, 0, count);
		action_schedule(world, world_range(world, 0, LOAD_USEC),
				do_submit, &action);
	}
	for (int i = (int)world_range(world, 0, 4); i > 0; i--) {
		int64_t fault = world_range(world, 0, G_N_ELEMENTS(faults));

		action.index = (int)world_range(world, 0, count);
		action.other = (action.index + 1) % count;
		action_schedule(world, world_range(world, 0, LOAD_USEC),
				faults[fault], &action);
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
