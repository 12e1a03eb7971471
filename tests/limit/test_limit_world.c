/*
 * One organisation at 7, 73 and 300 instances: the units admitted in any window
 * against its allotment, and the units refused although the load is below it.
 * Each scenario runs with each policy; only LIMIT_COUNTS, the one in use, has
 * bounds.
 *
 * The bounds are those promised to users: a window may admit a tenth more than
 * the allotment, plus 0.9 bursts for use that other instances have not received
 * yet. Below the allotment next to nothing is refused; above it nine tenths are
 * used. The overload lasts longer than a window of eight seconds: with seven
 * seconds, a single bucket for all instances admitted 0.904 to 0.988 of the
 * allotment, and 5 of 2,000 seeds were below nine tenths for lack of requests;
 * with nine seconds it admits 0.985 or more.
 */
#include <glib.h>

#include "limit_world.h"

#define OVER_MAX 1.1
#define SLACK (0.9 * WORLD_BURST)

/* Overload is eight times the normal load. */
enum scenario {
	SCENARIO_NORMAL,
	SCENARIO_OVERLOAD,	     /* for nine seconds */
	SCENARIO_PARTITION_OVERLOAD, /* the same, with a partition */
	SCENARIO_PARTITION,	     /* normal load, for a minute */
	SCENARIO_RESTART_ALL,	     /* overload; all at once, in the middle */
	SCENARIO_RESTART_OFTEN,	  /* the same eight times, isolated each time */
	SCENARIO_RESTART_ROLLING, /* overload; one after the other */
	SCENARIO_PAUSE,		  /* overload; a third, for three seconds */
	SCENARIO_CALLERS_MOVE,	  /* to other instances */
	SCENARIO_COUNT,
};

static const char *const scenario_names[SCENARIO_COUNT] = {
	[SCENARIO_NORMAL] = "normal load",
	[SCENARIO_OVERLOAD] = "overload",
	[SCENARIO_PARTITION_OVERLOAD] = "overload and partition",
	[SCENARIO_PARTITION] = "partition",
	[SCENARIO_RESTART_ALL] = "restart of all",
	[SCENARIO_RESTART_OFTEN] = "repeated restarts of all",
	[SCENARIO_RESTART_ROLLING] = "rolling restart",
	[SCENARIO_PAUSE] = "pause",
	[SCENARIO_CALLERS_MOVE] = "callers move",
};

/* Time until a restarted instance has read the list of instances, and between
 * two restarts of all. */
#define ISOLATED_MSEC 500
#define RESTART_INTERVAL_MSEC 1200
/* Connected instances have received each other's use within this time. */
#define EXCHANGE_MSEC 500
/* Part of the rate that an instance without peers admits. */
#define START_RATE_PART 0.35

#define NORMAL_LOAD (1.0 / 1.8)
#define OVERLOAD (8.0 / 1.8)

static void scenario_play(struct world *world, enum scenario scenario)
{
	world_run(world, 10000);
	world->requested = 0;
	world->admitted = 0;
	world->bytes = 0;
	world->requested_part =
		scenario == SCENARIO_NORMAL || scenario == SCENARIO_PARTITION ||
				scenario == SCENARIO_CALLERS_MOVE
			? NORMAL_LOAD
			: OVERLOAD;
	if (scenario == SCENARIO_PARTITION ||
	    scenario == SCENARIO_PARTITION_OVERLOAD)
		world->centre_partitioned = 1;
	if (scenario == SCENARIO_CALLERS_MOVE)
		world->callers = MIN(world->count, 9);
	world_run(world, 3000);
	if (scenario == SCENARIO_RESTART_OFTEN)
		world->isolated_usec = ISOLATED_MSEC * USEC_PER_MSEC;
	if (scenario == SCENARIO_RESTART_ALL)
		world_restart(world, 0, world->count);
	for (uint32_t i = 0; scenario == SCENARIO_RESTART_OFTEN && i < 8; i++) {
		world_restart(world, 0, world->count);
		world_run(world, RESTART_INTERVAL_MSEC);
	}
	for (uint32_t i = 0; scenario == SCENARIO_RESTART_ROLLING && i < 4;
	     i++) {
		world_restart(world, i, i + 1);
		world_run(world, 500);
	}
	for (uint32_t i = 0; scenario == SCENARIO_PAUSE && i < world->count;
	     i += 3)
		world->paused_until[i] = world->now + 3 * USEC_PER_SEC;
	world_run(world, scenario == SCENARIO_PARTITION ? 57000 : 5000);
	world->centre_partitioned = -1;
	world_run(world, 1000);
	world->requested_part = NORMAL_LOAD;
}

struct outcome {
	double over;	/* most admitted in a window, as a part of the allotment
			 */
	double refused; /* part of the requested units */
	double kbytes;	/* sent a second by an instance */
};

static struct outcome scenario_run(enum limit_policy policy, uint32_t count,
				   enum scenario scenario, uint32_t seed)
{
	struct world *world = world_open(policy, count, seed);
	int64_t from = world->now;
	struct outcome outcome;

	scenario_play(world, scenario);
	from += 10 * USEC_PER_SEC;
	outcome = (struct outcome){
		.over = world_max_admitted(world) / world_allowed(world),
		.refused = 1.0 - world->admitted / world->requested,
		.kbytes = (double)world->bytes / 1000.0 / count /
			  ((double)(world->now - from) / USEC_PER_SEC),
	};
	world_run(world, 10000);
	outcome.over = MAX(outcome.over,
			   world_max_admitted(world) / world_allowed(world));
	world_close(world);
	return outcome;
}

static bool is_below_allotment(enum scenario scenario)
{
	return scenario == SCENARIO_NORMAL || scenario == SCENARIO_PARTITION ||
	       scenario == SCENARIO_CALLERS_MOVE;
}

/* Lowest part of the allotment to be used under overload. The estimated use of
 * paused instances is not available: that of two of five callers, for three of
 * eight seconds. Neither is the part kept for starting peers whose use was not
 * received yet. */
static double least_used(enum scenario scenario)
{
	double window = WORLD_WINDOW_SEC * 1000.0;
	double isolated = 0.0;

	if (scenario == SCENARIO_PAUSE)
		return 0.9 * (1.0 - 0.4 * 3000.0 / window);
	if (scenario == SCENARIO_RESTART_ALL)
		isolated = EXCHANGE_MSEC / window;
	if (scenario == SCENARIO_RESTART_OFTEN)
		isolated = (double)(ISOLATED_MSEC + EXCHANGE_MSEC) /
			   RESTART_INTERVAL_MSEC;
	return 0.9 * (1.0 - (1.0 - START_RATE_PART) * isolated);
}

static void outcome_check(enum scenario scenario, const struct outcome *outcome)
{
	double allowed = WORLD_RATE * WORLD_WINDOW_SEC + WORLD_BURST;

	g_assert_cmpfloat(outcome->over, <=, OVER_MAX + SLACK / allowed);
	if (is_below_allotment(scenario))
		g_assert_cmpfloat(outcome->refused, <, 0.02);
	else
		/* The allotment is used. */
		g_assert_cmpfloat(outcome->over, >=, least_used(scenario));
}

static void count_play(uint32_t count)
{
	for (int policy = 0; policy < LIMIT_POLICY_COUNT; policy++)
		for (int scenario = 0; scenario < SCENARIO_COUNT; scenario++) {
			struct outcome outcome =
				scenario_run((enum limit_policy)policy, count,
					     (enum scenario)scenario,
					     (uint32_t)g_test_rand_int());

			g_test_message(
				"%u instances, %s, %s: %.2f of the allotment, "
				"%.3f refused, %.2f kB/s",
				count,
				limit_policy_name((enum limit_policy)policy),
				scenario_names[scenario], outcome.over,
				outcome.refused, outcome.kbytes);
			if (policy == LIMIT_COUNTS)
				outcome_check((enum scenario)scenario,
					      &outcome);
		}
}

static void test_few(void)
{
	count_play(7);
}

static void test_many(void)
{
	count_play(73);
}

static void test_most(void)
{
	count_play(300);
}

/* A lowered allotment applies at once. Use from before is cleared, so that it
 * is in no later window. */
static void test_lowered(void)
{
	struct world *world = world_open(LIMIT_COUNTS, 73, 1);

	world->requested_part = OVERLOAD;
	world_run(world, 10000);
	world->rate_part = 0.25;
	world_run(world, 1000);
	g_array_set_size(world->admitted_requests, 0);
	world_run(world, 15000);
	g_test_message("%.2f of the lower allotment",
		       world_max_admitted(world) / world_allowed(world));
	g_assert_cmpfloat(world_max_admitted(world), <=,
			  world_allowed(world) * OVER_MAX + SLACK * 0.25);
	world_close(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/world/7", test_few);
	g_test_add_func("/limit/world/73", test_many);
	g_test_add_func("/limit/world/300", test_most);
	g_test_add_func("/limit/world/lowered", test_lowered);
	return g_test_run();
}
