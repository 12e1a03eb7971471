/* The event loop: deferred calls, signals, and gaps after a process was
 * stopped.
 */
#include <signal.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "world.h"

static int64_t fake_now = 1000 * USEC_PER_SEC;

/* Replaces the C library's function, so that time only advances when a test
 * adds to it. */
int clock_gettime(clockid_t id, struct timespec *ts)
{
	ts->tv_sec = fake_now / USEC_PER_SEC;
	ts->tv_nsec = fake_now % USEC_PER_SEC * 1000;
	return 0;
}

struct fixture {
	struct clock *clock;
	struct loop *loop;
	GString *trace;
	struct loop_deferred nodes[3];
	struct timer timer;
	int64_t gap;
	int iterations;
};

static void setup(struct fixture *fixture, gconstpointer data)
{
	fixture->clock = clock_create_system();
	fixture->loop = loop_create(fixture->clock);
	fixture->trace = g_string_new(NULL);
}

static void teardown(struct fixture *fixture, gconstpointer data)
{
	loop_destroy(fixture->loop);
	clock_destroy(fixture->clock);
	g_string_free(fixture->trace, TRUE);
}

static void trace_a(void *ctx)
{
	struct fixture *fixture = ctx;

	g_string_append_c(fixture->trace, 'a');
}

static void trace_stop(void *ctx)
{
	struct fixture *fixture = ctx;

	g_string_append_c(fixture->trace, 's');
	loop_stop(fixture->loop);
}

static void trace_twice(void *ctx)
{
	struct fixture *fixture = ctx;

	g_string_append_c(fixture->trace, 't');
	/* Deferred again while it runs: runs once more, after the others. */
	if (fixture->trace->len < 3)
		loop_defer(fixture->loop, &fixture->nodes[0], trace_twice, ctx);
}

static void test_defer(struct fixture *fixture, gconstpointer data)
{
	struct loop_deferred *nodes = fixture->nodes;

	loop_defer(fixture->loop, &nodes[0], trace_twice, fixture);
	loop_defer(fixture->loop, &nodes[1], trace_a, fixture);
	loop_defer(fixture->loop, &nodes[0], trace_a, fixture);
	loop_defer(fixture->loop, &nodes[2], trace_stop, fixture);
	loop_defer_cancel(&nodes[1]);
	loop_defer_cancel(&nodes[1]);
	loop_run(fixture->loop);
	g_assert_cmpstr(fixture->trace->str, ==, "tst");
}

static void on_signal(void *ctx, int number)
{
	struct fixture *fixture = ctx;

	g_string_append_printf(fixture->trace, "%d ", number);
	if (number == SIGUSR2)
		loop_stop(fixture->loop);
}

static void test_signal(struct fixture *fixture, gconstpointer data)
{
	char expected[32];

	g_snprintf(expected, sizeof(expected), "%d %d ", SIGUSR1, SIGUSR2);
	loop_on_signal(fixture->loop, SIGUSR1, on_signal, fixture);
	loop_on_signal(fixture->loop, SIGUSR2, on_signal, fixture);
	raise(SIGUSR1);
	raise(SIGUSR2);
	loop_run(fixture->loop);
	g_assert_cmpstr(fixture->trace->str, ==, expected);
}

static void on_iteration(void *ctx, int64_t gap_us)
{
	struct fixture *fixture = ctx;

	fixture->gap = MAX(fixture->gap, gap_us);
	if (++fixture->iterations == 5)
		loop_stop(fixture->loop);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct fixture *fixture = ctx;

	g_string_append_c(fixture->trace, '.');
	timer_start(timer, 0);
}

static void pause_process(void *ctx)
{
	fake_now += 60 * USEC_PER_SEC;
}

static void test_gap(struct fixture *fixture, gconstpointer data)
{
	timer_init(&fixture->timer, fixture->clock, on_timer, fixture);
	timer_start(&fixture->timer, 0);
	loop_on_iteration(fixture->loop, on_iteration, fixture);
	loop_run(fixture->loop);
	g_assert_cmpint(fixture->gap, ==, 0);
	g_assert_cmpuint(fixture->trace->len, >=, 4);
	/* Time between two runs is no gap; time within a run is. */
	fake_now += 60 * USEC_PER_SEC;
	fixture->iterations = 0;
	loop_run(fixture->loop);
	g_assert_cmpint(fixture->gap, ==, 0);
	fixture->iterations = 0;
	loop_defer(fixture->loop, &fixture->nodes[0], pause_process, NULL);
	loop_run(fixture->loop);
	g_assert_cmpint(fixture->gap, ==, 60 * USEC_PER_SEC);
}

struct paused {
	struct world *world;
	int64_t gap;
	int64_t gap_at_request;
	int handled;
};

static void on_paused_iteration(void *ctx, int64_t gap_us)
{
	struct paused *paused = ctx;

	paused->gap = MAX(paused->gap, gap_us);
	if (paused->handled)
		loop_stop(paused->world->loop);
}

static void on_request(void *ctx, struct web_request *request)
{
	struct paused *paused = ctx;

	paused->gap_at_request = paused->gap;
	paused->handled = 1;
	web_reply(request, 200, NULL, NULL, 0);
}

/* A request that arrived while the process was stopped is handled only after
 * the iteration hook has reported the gap. */
static void test_gap_before_request(struct world *world, gconstpointer data)
{
	struct paused paused = {.world = world};
	struct loop_deferred node = {0};
	int fd;

	web_server_handle(world->server, "/", on_request, &paused);
	loop_on_iteration(world->loop, on_paused_iteration, &paused);
	fd = raw_connect(web_server_address(world->server));
	world_iterate(world, 20);
	raw_send(fd, "GET / HTTP/1.1\r\nhost: a\r\n\r\n", 27);
	loop_defer(world->loop, &node, pause_process, NULL);
	loop_run(world->loop);
	close(fd);
	g_assert_cmpint(paused.handled, ==, 1);
	g_assert_cmpint(paused.gap_at_request, >=, 50 * USEC_PER_SEC);
}

/* Guards against a signal that ends the process since it arrives after the last
 * iteration of the loop, which the teardown destroys. */
static void test_signal_late(struct fixture *fixture, gconstpointer data)
{
	loop_on_signal(fixture->loop, SIGUSR1, on_signal, fixture);
	raise(SIGUSR1);
}

#define TEST(name, fn)                                                         \
	g_test_add("/web/loop/" name, struct fixture, NULL, setup, fn, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	TEST("defer", test_defer);
	TEST("signal-late", test_signal_late);
	TEST("signal", test_signal);
	TEST("gap", test_gap);
	g_test_add("/web/loop/gap-before-request", struct world, NULL,
		   world_setup, test_gap_before_request, world_teardown);
	return g_test_run();
}
