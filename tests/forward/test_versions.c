/*
 * Backend servers of several software versions, whose events do not form one
 * stream. No caller may receive events of two versions, and resumed streams are
 * to go on at least half as often as new ones begin.
 */
#include <glib.h>

#include "common/log.h"
#include "reach_world.h"

#define STEADY_MSEC 4000
#define AFTER_MSEC 1500
#define RESTART_MSEC 1000
/* Longest limit of a caller. */
#define END_MSEC 14500
#define RESUMED_MIN 12u

struct scenario {
	const char *name;
	uint32_t instances;
	uint32_t versions;
	void (*fault)(struct reach_world *world,
		      const struct scenario *scenario);
	uint32_t rounds;
	bool known; /* an instance that knows the version is left */
};

static void reset_callers(struct reach_world *world,
			  const struct scenario *scenario)
{
	reach_world_reset_callers(world, 0.7);
}

/* A third of the decode servers, of all versions, is away for a while. */
static void crash_servers(struct reach_world *world,
			  const struct scenario *scenario)
{
	uint32_t servers = reach_world_servers(world);

	for (uint32_t i = servers * 2 / 5; i < servers; i += 4)
		reach_world_crash(world, i);
	reach_world_run(world, RESTART_MSEC);
	for (uint32_t i = servers * 2 / 5; i < servers; i += 4)
		reach_world_restart(world, i);
}

static void stop_every(struct reach_world *world,
		       const struct scenario *scenario, uint32_t every)
{
	for (uint32_t i = 0; i < scenario->instances; i += every)
		reach_world_stop(world, i);
	reach_world_run(world, RESTART_MSEC);
	for (uint32_t i = 0; i < scenario->instances; i += every)
		reach_world_start(world, i);
}

static void stop_third(struct reach_world *world,
		       const struct scenario *scenario)
{
	stop_every(world, scenario, 3);
}

/* One instance of the partitioned data centre is killed, too. */
static void part_centre(struct reach_world *world,
			const struct scenario *scenario)
{
	reach_world_part(world, true);
	reach_world_run(world, STEADY_MSEC);
	reach_world_reset_callers(world, 0.7);
	reach_world_stop(world, CENTRES);
	reach_world_run(world, RESTART_MSEC);
	reach_world_start(world, CENTRES);
	reach_world_run(world, STEADY_MSEC);
	reach_world_part(world, false);
}

/* The callers resume when all instances are back. */
static void stop_all(struct reach_world *world, const struct scenario *scenario)
{
	for (uint32_t i = 0; i < scenario->instances; i++) {
		reach_world_stop(world, i);
		reach_world_start(world, i);
	}
}

static void test_joined(gconstpointer data)
{
	const struct scenario *scenario = data;
	struct reach_world *world = reach_world_create_versions(
		scenario->instances, (guint32)g_test_rand_int(),
		scenario->versions);
	struct tally fresh;
	struct tally resumed;
	uint32_t begin;

	reach_world_run(world, STEADY_MSEC);
	begin = reach_world_sent(world);
	for (uint32_t i = 0; i < scenario->rounds; i++) {
		scenario->fault(world, scenario);
		reach_world_run(world, AFTER_MSEC);
	}
	reach_world_end(world, END_MSEC);
	reach_world_resumed(world, begin, reach_world_sent(world), &fresh,
			    &resumed);
	g_test_message("joined %u, new %u of %u, resumed %u of %u",
		       reach_world_joined(world), fresh.served, fresh.sent,
		       resumed.served, resumed.sent);
	g_assert_cmpuint(reach_world_joined(world), ==, 0);
	if (scenario->known && resumed.sent >= RESUMED_MIN)
		g_assert_cmpfloat((double)resumed.served / resumed.sent, >=,
				  0.5 * fresh.served / fresh.sent);
	g_assert_cmpuint(reach_world_broken(world), ==, 0);
	reach_world_destroy(world);
}

static const struct scenario scenarios[] = {
	{"callers-reset-7", 7, 2, reset_callers, 12, true},
	{"callers-reset-83", 83, 3, reset_callers, 4, true},
	{"callers-reset-300", 300, 3, reset_callers, 2, true},
	{"server-crashes-7", 7, 2, crash_servers, 3, true},
	{"server-crashes-83", 83, 3, crash_servers, 3, true},
	{"server-crashes-300", 300, 3, crash_servers, 3, true},
	{"third-stops-7", 7, 2, stop_third, 8, true},
	{"third-stops-83", 83, 3, stop_third, 3, true},
	{"third-stops-300", 300, 3, stop_third, 2, true},
	{"partitioned-7", 7, 2, part_centre, 3, true},
	{"partitioned-83", 83, 3, part_centre, 1, true},
	{"partitioned-300", 300, 3, part_centre, 1, true},
	{"all-stop-7", 7, 2, stop_all, 6, false},
	{"all-stop-83", 83, 3, stop_all, 2, false},
	{"all-stop-300", 300, 3, stop_all, 1, false},
	{"one-version-7", 7, 1, reset_callers, 6, true},
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_ERR);
	for (guint i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		g_autofree char *path = g_strconcat("/forward/versions/",
						    scenarios[i].name, NULL);

		g_test_add_data_func(path, &scenarios[i], test_joined);
	}
	return g_test_run();
}
