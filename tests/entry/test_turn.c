/* A process that stood still is told so before any timer acts on its behalf. */
#include <glib.h>

#include "run.h"

#define TURNS 3

struct turns {
	struct run run;
	GString *order;
	int turns;
};

static void on_iteration(void *ctx, int64_t gap_us)
{
	struct turns *turns = ctx;

	g_assert_cmpint(gap_us, >=, 0);
	g_string_append(turns->order, "turn ");
	if (++turns->turns == TURNS)
		loop_stop(turns->run.loop);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct turns *turns = ctx;

	g_string_append(turns->order, "timer ");
	timer_start(timer, 0);
}

static void test_order(void)
{
	struct turns turns = {0};
	struct timer timer;

	run_setup(&turns.run);
	turns.order = g_string_new(NULL);
	timer_init(&timer, turns.run.clock, on_timer, &turns);
	timer_start(&timer, 0);
	loop_on_iteration(turns.run.loop, on_iteration, &turns);
	loop_run(turns.run.loop);
	g_assert_true(g_str_has_prefix(turns.order->str,
				       "timer turn timer turn timer turn"));
	timer_stop(&timer);
	g_string_free(turns.order, TRUE);
	run_teardown(&turns.run);
}

/* The two halves: moving fires nothing, firing moves nothing. */
static void test_halves(void)
{
	struct turns turns = {0};
	struct timer timer;

	run_setup(&turns.run);
	turns.order = g_string_new(NULL);
	timer_init(&timer, turns.run.clock, on_timer, &turns);
	timer_start(&timer, 0);
	g_assert_cmpint(clock_step(turns.run.clock), >=, 0);
	g_assert_cmpstr(turns.order->str, ==, "");
	int64_t now = clock_now(turns.run.clock);

	clock_fire_due(turns.run.clock);
	g_assert_cmpstr(turns.order->str, ==, "timer ");
	g_assert_cmpint(clock_now(turns.run.clock), ==, now);
	timer_stop(&timer);
	g_string_free(turns.order, TRUE);
	run_teardown(&turns.run);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/turn/order", test_order);
	g_test_add_func("/turn/halves", test_halves);
	return g_test_run();
}
