/* The home's estimate of when a prefill runner is free. It comes from reports,
 * which are old when they arrive, and from the progress that holders send. */
#include "world.h"

#define MSEC USEC_PER_MSEC
#define QUEUE_TOKENS 100000 /* half a second of prefill on one runner */

static struct world *world;

static void setup(void)
{
	world = world_create(1, 3, "reserve", 100);
	world_run(world, 500 * MSEC);
	world->poll_interval = 60 * USEC_PER_SEC;
	world_run(world, 200 * MSEC);
}

/* Both prefill runners report QUEUE_TOKENS waiting, age ago. */
static void report_queues(int64_t age)
{
	for (int i = 0; i < 2; i++) {
		struct ledger_report queued = {.runner = world->engines[i].id,
					       .reachable = true,
					       .running = 1,
					       .queue_tokens = QUEUE_TOKENS,
					       .age = age};

		g_assert_cmpint(world->engines[i].role, ==, POOL_PREFILL);
		ledger_report(world_home(world)->ledger, &queued);
	}
}

static const struct {
	int64_t age;
	int64_t wait_usec;
} ages[] = {{0, 480 * MSEC}, {300 * MSEC, 180 * MSEC}, {600 * MSEC, 0}};

static void test_age(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ages); i++) {
		struct job *job;
		int64_t waited;

		setup();
		report_queues(ages[i].age);
		job = app_submit(world, 0, &(struct spec){.key = 0});
		world_run(world, USEC_PER_SEC);
		g_assert_cmpuint(job->answers, ==, 1);
		waited = job->answered_at - job->submitted_at;
		g_assert_cmpint(waited, >=, ages[i].wait_usec);
		g_assert_cmpint(waited, <, ages[i].wait_usec + 20 * MSEC);
		world_end(world);
	}
}

/* The first prompt takes 50 ms, while the reported queue predicts 500 ms. The
 * holder's progress message, sent only for a request with a key, frees the
 * runner early. */
static const struct {
	uint64_t key;
	int64_t wait_min;
	int64_t wait_max;
} ends[] = {{7, 0, 80 * MSEC}, {0, 400 * MSEC, 600 * MSEC}};

static void test_ended(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		struct spec first = {.key = ends[i].key,
				     .prefill_usec = 50 * MSEC,
				     .decode_usec = 2 * USEC_PER_SEC};
		struct job *job;
		int64_t waited;

		setup();
		app_submit(world, 0, &first);
		world_run(world, 20 * MSEC);
		report_queues(0);
		job = app_submit(world, 1, &(struct spec){.key = 0});
		world_run(world, USEC_PER_SEC);
		g_assert_cmpuint(job->answers, ==, 1);
		waited = job->answered_at - job->submitted_at;
		g_assert_cmpint(waited, >=, ends[i].wait_min);
		g_assert_cmpint(waited, <, ends[i].wait_max);
		world_end(world);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ledger/prefill/age", test_age);
	g_test_add_func("/ledger/prefill/ended", test_ended);
	return g_test_run();
}
