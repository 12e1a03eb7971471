/* Tests that timers fire by due time, then in the order of their start. */
#include <glib.h>
#include <inttypes.h>

#include "common/clock.h"

#define TIMERS 200

struct probe {
	struct timer timer;
	GString *trace;
	char name;
	int64_t restart_delay; /* restarts itself unless negative */
	int fired;
};

static void probe_fired(struct timer *timer, void *ctx)
{
	struct probe *probe = ctx;

	probe->fired++;
	g_string_append_printf(probe->trace, "%c%" PRId64 " ", probe->name,
			       clock_now(timer->clock));
	if (probe->restart_delay >= 0)
		timer_start(timer, probe->restart_delay);
}

static void probes_init(struct probe *probes, int count, struct clock *clock,
			GString *trace)
{
	for (int i = 0; i < count; i++) {
		probes[i] = (struct probe){.trace = trace,
					   .name = (char)('a' + i),
					   .restart_delay = -1};
		timer_init(&probes[i].timer, clock, probe_fired, &probes[i]);
	}
}

static void test_order(void)
{
	struct clock *clock = clock_create(5);
	GString *trace = g_string_new(NULL);
	struct probe probes[4];

	probes_init(probes, 4, clock, trace);
	timer_start(&probes[0].timer, 30);
	timer_start(&probes[1].timer, 10);
	timer_start(&probes[2].timer, 30);
	timer_start(&probes[3].timer, 20);
	g_assert_cmpint(clock_next(clock), ==, 10);
	timer_stop(&probes[3].timer);
	g_assert_false(timer_running(&probes[3].timer));
	clock_advance(clock, 30);
	g_assert_cmpstr(trace->str, ==, "b10 a30 c30 ");
	g_assert_cmpint(clock_next(clock), ==, CLOCK_NEVER);
	clock_advance(clock, 7);
	g_assert_cmpint(clock_now(clock), ==, 30);
	g_assert_cmpint(clock_unix(clock), ==, 35);
	g_string_free(trace, TRUE);
	clock_destroy(clock);
}

/* clock_advance() fires each timer at its due time. clock_jump() sets the new
 * time first, and a timer that restarts itself fires once per call. */
static void test_jump(void)
{
	struct clock *clock = clock_create(0);
	GString *trace = g_string_new(NULL);
	struct probe probes[2];

	probes_init(probes, 2, clock, trace);
	probes[0].restart_delay = 10;
	timer_start(&probes[0].timer, 10);
	clock_advance(clock, 25);
	g_assert_cmpstr(trace->str, ==, "a10 a20 ");
	probes[1].restart_delay = 0;
	timer_start(&probes[1].timer, 0);
	clock_jump(clock, 100);
	g_assert_cmpstr(trace->str, ==, "a10 a20 b100 a100 ");
	clock_jump(clock, 100);
	g_assert_cmpstr(trace->str, ==, "a10 a20 b100 a100 b100 ");
	clock_jump(clock, 50);
	g_assert_cmpint(clock_now(clock), ==, 100);
	g_string_free(trace, TRUE);
	clock_destroy(clock);
}

static void test_edges(void)
{
	struct clock *clock = clock_create(0);
	GString *trace = g_string_new(NULL);
	struct probe probes[2];

	probes_init(probes, 2, clock, trace);
	clock_advance(clock, 5);
	timer_start(&probes[0].timer, INT64_MAX);
	g_assert_cmpint(clock_next(clock), ==, CLOCK_NEVER);
	timer_start(&probes[1].timer, -3);
	g_assert_cmpint(clock_next(clock), ==, 5);
	timer_start(&probes[1].timer, 4); /* a restart changes the due time */
	g_assert_cmpint(clock_next(clock), ==, 9);
	clock_destroy(clock);
	g_assert_false(timer_running(&probes[0].timer));
	timer_stop(&probes[0].timer); /* allowed after clock_destroy() */
	g_string_free(trace, TRUE);
}

/* With random starts, stops and advances, no timer fires early, late or twice.
 */
static void test_random(void)
{
	struct clock *clock = clock_create(0);
	GString *trace = g_string_new(NULL);
	struct probe probes[TIMERS];
	int64_t due[TIMERS] = {0};
	int expected[TIMERS] = {0};

	probes_init(probes, TIMERS, clock, trace);
	for (int step = 0; step < 5000; step++) {
		int i = g_test_rand_int_range(0, TIMERS);
		int64_t now = clock_now(clock);

		switch (g_test_rand_int_range(0, 4)) {
		case 0:
			timer_stop(&probes[i].timer);
			due[i] = 0;
			break;
		case 1:
			clock_advance(clock,
				      now + g_test_rand_int_range(0, 50));
			break;
		default:
			due[i] = now + g_test_rand_int_range(1, 1000);
			timer_start(&probes[i].timer, due[i] - now);
			break;
		}
		for (int j = 0; j < TIMERS; j++) {
			if (due[j] && due[j] <= clock_now(clock)) {
				due[j] = 0;
				expected[j]++;
			}
			g_assert_cmpint(probes[j].fired, ==, expected[j]);
		}
	}
	g_string_free(trace, TRUE);
	clock_destroy(clock);
}

/* A system clock advances by itself, and its timers fire. */
static void test_follow(void)
{
	struct clock *clock = clock_create_system();
	GString *trace = g_string_new(NULL);
	struct probe probes[1];

	probes_init(probes, 1, clock, trace);
	timer_start(&probes[0].timer, 100);
	while (!probes[0].fired)
		g_assert_cmpint(clock_follow(clock), >=, 0);
	g_assert_cmpint(clock_now(clock), >=, 100);
	g_assert_cmpint(clock_unix(clock), >, 1000 * USEC_PER_SEC);
	g_string_free(trace, TRUE);
	clock_destroy(clock);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/clock/order", test_order);
	g_test_add_func("/clock/jump", test_jump);
	g_test_add_func("/clock/edges", test_edges);
	g_test_add_func("/clock/random", test_random);
	g_test_add_func("/clock/follow", test_follow);
	return g_test_run();
}
