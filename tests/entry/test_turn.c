/* The loop reports a pause of the process before it fires any timer. */
#include <glib.h>

#include "run.h"

#define ITERATIONS 3

struct world {
	struct run run;
	GString *order;
	int iterations;
};

static void on_iteration(void *ctx, int64_t gap_us)
{
	struct world *world = ctx;

	g_assert_cmpint(gap_us, >=, 0);
	g_string_append(world->order, "iteration ");
	if (++world->iterations == ITERATIONS)
		loop_stop(world->run.loop);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct world *world = ctx;

	g_string_append(world->order, "timer ");
	timer_start(timer, 0);
}

static void test_order(void)
{
	struct world world = {0};
	struct timer timer;

	run_setup(&world.run);
	world.order = g_string_new(NULL);
	timer_init(&timer, world.run.clock, on_timer, &world);
	timer_start(&timer, 0);
	loop_on_iteration(world.run.loop, on_iteration, &world);
	loop_run(world.run.loop);
	g_assert_true(g_str_has_prefix(
		world.order->str,
		"timer iteration timer iteration timer iteration"));
	timer_stop(&timer);
	g_string_free(world.order, TRUE);
	run_teardown(&world.run);
}

/* clock_step() fires no timers, clock_fire_due() does not move the clock. */
static void test_halves(void)
{
	struct world world = {0};
	struct timer timer;

	run_setup(&world.run);
	world.order = g_string_new(NULL);
	timer_init(&timer, world.run.clock, on_timer, &world);
	timer_start(&timer, 0);
	g_assert_cmpint(clock_step(world.run.clock), >=, 0);
	g_assert_cmpstr(world.order->str, ==, "");
	int64_t now = clock_now(world.run.clock);

	clock_fire_due(world.run.clock);
	g_assert_cmpstr(world.order->str, ==, "timer ");
	g_assert_cmpint(clock_now(world.run.clock), ==, now);
	timer_stop(&timer);
	g_string_free(world.order, TRUE);
	run_teardown(&world.run);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/turn/order", test_order);
	g_test_add_func("/turn/halves", test_halves);
	return g_test_run();
}
