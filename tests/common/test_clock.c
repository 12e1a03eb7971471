/* Timers fire by due time, then by order of starting, at their own time. */
#include <glib.h>
#include <inttypes.h>

#include "common/clock.h"

struct probe {
	struct timer timer;
	GString *trace;
	char name;
	int64_t again; /* restarts itself with this delay when not 0 */
};

static void probe_fired(struct timer *timer, void *ctx)
{
	struct probe *probe = ctx;

	g_string_append_printf(probe->trace, "%c%" PRId64 " ", probe->name,
			       clock_now(timer->clock));
	if (probe->again)
		timer_start(timer, probe->again);
}

static void test_order(void)
{
	struct clock *clock = clock_create(5);
	GString *trace = g_string_new(NULL);
	struct probe probes[4];

	for (int i = 0; i < 4; i++) {
		probes[i] =
			(struct probe){.trace = trace, .name = (char)('a' + i)};
		timer_init(&probes[i].timer, clock, probe_fired, &probes[i]);
	}
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/clock/order", test_order);
	return g_test_run();
}
