/* What the ledger offers for role changes: withholding runners, runners that
 * move to the other pool, and the waiting and arriving work. */
#include "../ledger/world.h"
#include "common/log.h"

#define MSEC USEC_PER_MSEC

static struct world *world;

static void begin(void)
{
	world = world_create(1, 3, "reserve", 100);
	world_run(world, 500 * MSEC);
}

static void cell_get(struct ledger_cell *cell)
{
	uint32_t cursor = 0;

	g_assert_true(
		ledger_cell_next(world_home(world)->ledger, &cursor, cell));
	g_assert_true(cell->settled);
}

static uint32_t grants_of(uint64_t id)
{
	struct ledger_cell cell;

	cell_get(&cell);
	for (uint32_t i = 0; i < cell.runner_count; i++) {
		if (cell.runners[i].id == id)
			return cell.grants[i];
	}
	g_assert_not_reached();
}

static const struct policy_runner *runner_get(uint64_t id)
{
	struct ledger_cell cell;

	cell_get(&cell);
	for (uint32_t i = 0; i < cell.runner_count; i++) {
		if (cell.runners[i].id == id)
			return &cell.runners[i];
	}
	g_assert_not_reached();
}

static uint32_t usable_of(enum pool_role role)
{
	struct ledger_cell cell;
	uint32_t count = 0;

	cell_get(&cell);
	for (uint32_t i = 0; i < cell.runner_count; i++)
		count += cell.runners[i].usable && cell.runners[i].role == role;
	return count;
}

/* A withheld runner finishes its requests and gets no new ones. */
static void test_withhold(void)
{
	struct ledger *ledger;
	struct job *first, *second, *third;
	uint64_t decode;

	begin();
	ledger = world_home(world)->ledger;
	first = app_submit(world, 0,
			   &(struct spec){.decode_usec = USEC_PER_SEC});
	world_run(world, 50 * MSEC);
	decode = first->grant.decode;
	g_assert_cmpuint(grants_of(decode), ==, 1);
	g_assert_cmpuint(grants_of(first->grant.prefill), ==, 1);
	ledger_withhold(ledger, decode, true);
	g_assert_cmpuint(usable_of(POOL_DECODE), ==, 1);
	for (int i = 0; i < 8; i++) {
		second = app_submit(world, i % 3, &(struct spec){0});
		world_run(world, 150 * MSEC);
		g_assert_cmpint(second->state, ==, JOB_DONE);
		g_assert_cmpuint(second->grant.decode, !=, decode);
	}
	world_run(world, 500 * MSEC);
	g_assert_cmpint(first->state, ==, JOB_DONE);
	g_assert_cmpuint(grants_of(decode), ==, 0);
	/* A request that waits for it starts once it is released. */
	app_submit(
		world, 0,
		&(struct spec){.tokens = 16000, .decode_usec = USEC_PER_SEC});
	world_run(world, 50 * MSEC);
	third = app_submit(world, 1, &(struct spec){.tokens = 16000});
	world_run(world, 200 * MSEC);
	g_assert_cmpint(third->state, ==, JOB_SUBMITTED);
	ledger_withhold(ledger, decode, false);
	world_run(world, 200 * MSEC);
	g_assert_cmpint(third->state, ==, JOB_DONE);
	g_assert_cmpuint(third->grant.decode, ==, decode);
	world_end(world);
}

/* A new home does not withhold the runner, nor does the first after it returns.
 */
static void test_home_moves(void)
{
	struct instance *first, *home;

	begin();
	first = world_home(world);
	world_kill(world, first->index);
	world_run(world, 8 * USEC_PER_SEC);
	home = world_home(world);
	ledger_withhold(home->ledger, world->engines[2].id, true);
	g_assert_cmpuint(usable_of(POOL_DECODE), ==, 1);
	world_restart(world, first->index);
	world_run(world, 8 * USEC_PER_SEC);
	g_assert_true(world_home(world) == first);
	g_assert_cmpuint(usable_of(POOL_DECODE), ==, 2);
	world_kill(world, first->index);
	world_run(world, 8 * USEC_PER_SEC);
	g_assert_true(world_home(world) == home);
	g_assert_cmpuint(usable_of(POOL_DECODE), ==, 2);
	world_end(world);
}

static void test_unknown(void)
{
	struct ledger *ledger;

	begin();
	ledger = world_home(world)->ledger;
	ledger_withhold(ledger, 12345, true);
	g_assert_cmpuint(usable_of(POOL_DECODE), ==, 2);
	world_end(world);
}

static void list_put(uint64_t id, const char *pool)
{
	struct ledger_runner list[ENGINES_MAX];
	static const char *const pools[] = {"prefill", "decode"};
	int count = world->engine_count;

	for (int i = 0; i < count; i++) {
		const struct engine *engine = &world->engines[i];

		list[i] = (struct ledger_runner){
			.id = engine->id,
			.pool = engine->id == id
					? pool
					: pools[engine->role == POOL_DECODE],
			.data_centre = "hall-a",
		};
	}
	for (int i = 0; i < world->count; i++)
		ledger_runners(world->instances[i].ledger, list, (size_t)count);
}

/* A runner listed in the other pool is usable there after its first report. */
static void test_repool(void)
{
	uint64_t id;

	begin();
	g_assert_cmpuint(usable_of(POOL_PREFILL), ==, 2);
	id = world->engines[3].id;
	list_put(id, "prefill");
	g_assert_cmpint(runner_get(id)->role, ==, POOL_PREFILL);
	g_assert_false(runner_get(id)->usable);
	g_assert_cmpfloat(runner_get(id)->prefill_tokens_per_s, >, 0);
	world_run(world, 2 * USEC_PER_SEC);
	g_assert_cmpuint(usable_of(POOL_PREFILL), ==, 3);
	g_assert_cmpuint(usable_of(POOL_DECODE), ==, 1);
	list_put(id, "decode");
	world_run(world, 2 * USEC_PER_SEC);
	g_assert_cmpuint(usable_of(POOL_DECODE), ==, 2);
	world_end(world);
}

static void test_work(void)
{
	struct ledger_cell cell;

	begin();
	app_submit(
		world, 0,
		&(struct spec){.tokens = 16000, .decode_usec = USEC_PER_SEC});
	app_submit(
		world, 1,
		&(struct spec){.tokens = 16000, .decode_usec = USEC_PER_SEC});
	world_run(world, 50 * MSEC);
	app_submit(world, 2, &(struct spec){.tokens = 4000});
	world_run(world, 50 * MSEC);
	cell_get(&cell);
	g_assert_cmpfloat(cell.arrived.requests, ==, 3);
	g_assert_cmpfloat(cell.arrived.pieces, ==, 8 + 8 + 2);
	g_assert_cmpfloat(cell.waiting.requests, ==, 1);
	g_assert_cmpfloat(cell.waiting.pieces, ==, 2);
	g_assert_cmpfloat(cell.waiting.prompt_tokens, >, 0);
	g_assert_cmpfloat(cell.waiting.prompt_tokens, <=, 4000);
	g_assert_cmpfloat(cell.waiting.output_tokens, >, 0);
	world_end(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	g_test_add_func("/ledger-roles/withhold", test_withhold);
	g_test_add_func("/ledger-roles/home-moves", test_home_moves);
	g_test_add_func("/ledger-roles/unknown", test_unknown);
	g_test_add_func("/ledger-roles/repool", test_repool);
	g_test_add_func("/ledger-roles/work", test_work);
	return g_test_run();
}
