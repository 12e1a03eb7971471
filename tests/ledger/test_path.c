/* The plain paths of a request, with nothing failing. */
#include "world.h"

#include "common/log.h"

static struct world *world;

static void begin(const char *policy, uint32_t queue_max)
{
	world = world_create(1, 3, policy, queue_max);
	world_run(world, 500 * USEC_PER_MSEC);
}

static void end(void)
{
	world_run(world, 20 * USEC_PER_SEC);
	invariants_end(world);
	g_assert_cmpstr(world->broken->str, ==, "");
	world_destroy(world);
}

static void test_granted_and_released(void)
{
	struct job *job;

	begin("reserve", 100);
	job = app_ask(world, 0, &(struct spec){.key = 0});
	world_run(world, 50 * USEC_PER_MSEC);
	g_assert_cmpint(job->state, ==, JOB_DECODE);
	g_assert_cmpuint(job->grant.pieces, ==, 2);
	world_run(world, 200 * USEC_PER_MSEC);
	g_assert_cmpint(job->state, ==, JOB_DONE);
	end();
}

int main(int argc, char **argv)
{
	log_setup(NULL, "test", LOG_ERR);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ledger/path/granted-and-released",
			test_granted_and_released);
	return g_test_run();
}
