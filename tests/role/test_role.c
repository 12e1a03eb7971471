/* When the role controller moves a runner, and when it does not. */
#include <glib.h>
#include <math.h>

#include "coord/role.h"
#include "rows.h"

#define TICK USEC_PER_SEC

struct row {
	const char *name;
	struct role_load load;
	enum role_move move;
};

/* One runner does 8,000 prompt or 800 output tokens per second. */
#define LOAD(p, d, need_p, need_d)                                             \
	.prefill = p, .decode = d, .prompt_tokens_per_s = 8000.0 * (need_p),   \
	.output_tokens_per_s = 800.0 * (need_d), .prefill_tokens_per_s = 8000, \
	.decode_tokens_per_s = 800

static const struct row rows[] = {
	{"idle", {LOAD(7, 7, 0, 0)}, ROLE_STAY},
	{"balanced", {LOAD(7, 7, 6.5, 6.5)}, ROLE_STAY},
	{"uneven-but-not-busy", {LOAD(7, 7, 5, 1)}, ROLE_STAY},
	{"prefill-short", {LOAD(7, 7, 8, 3)}, ROLE_TO_PREFILL},
	{"decode-short", {LOAD(7, 7, 3, 8)}, ROLE_TO_DECODE},
	{"both-short", {LOAD(7, 7, 10, 10)}, ROLE_STAY},
	{"gain-too-small", {LOAD(7, 7, 7, 5.7)}, ROLE_STAY},
	{"last-decode", {LOAD(3, 1, 9, 0)}, ROLE_STAY},
	{"last-prefill", {LOAD(1, 3, 0, 9)}, ROLE_STAY},
	{"no-prefill", {LOAD(0, 4, 9, 0)}, ROLE_STAY},
	{"no-decode", {LOAD(4, 0, 0, 9)}, ROLE_STAY},
	{"backlog-of-prefill",
	 {LOAD(2, 2, 1, 0), .prefill_backlog = 60},
	 ROLE_TO_PREFILL},
	{"memory-full",
	 {LOAD(4, 4, 1, 1), .memory_used = 4, .decode_backlog = 30},
	 ROLE_TO_DECODE},
	{"moving", {LOAD(7, 7, 8, 3), .moving = true}, ROLE_STAY},
	{"odd-figures",
	 {.prefill = 2,
	  .decode = 2,
	  .prompt_tokens_per_s = NAN,
	  .prefill_backlog = -5,
	  .memory_used = INFINITY,
	  .decode_backlog = -INFINITY,
	  .prefill_tokens_per_s = -1},
	 ROLE_STAY},
	{"odd-beside-good",
	 {LOAD(7, 7, 8, 3), .prefill_backlog = -1000, .memory_used = INFINITY,
	  .decode_backlog = NAN},
	 ROLE_TO_PREFILL},
	{"many", {LOAD(UINT32_MAX, 2, 1, 4)}, ROLE_TO_DECODE},
};

static enum role_move run(struct role *role, int64_t *now, int64_t usec,
			  const struct role_load *load)
{
	enum role_move move = ROLE_STAY;

	for (int64_t end = *now + usec; move == ROLE_STAY && *now < end;) {
		*now += TICK;
		move = role_tick(role, *now, load);
	}
	return move;
}

static void test_row(gconstpointer data)
{
	const struct row *row = data;
	struct role role;
	int64_t now = 0;

	role_init(&role, &(struct role_settings){0});
	g_assert_cmpint(run(&role, &now, 30 * USEC_PER_SEC, &row->load), ==,
			row->move);
	g_assert_cmpint(now, >=, ROLE_STABILISATION_USEC);
}

/* Bursts shorter than the stabilisation time move no runner. */
static void test_bursts(void)
{
	const struct role_load burst = {LOAD(7, 7, 10, 3)};
	const struct role_load calm = {LOAD(7, 7, 2, 3)};
	struct role role;
	int64_t now = 0;

	role_init(&role, &(struct role_settings){0});
	for (int i = 0; i < 20; i++) {
		g_assert_cmpint(run(&role, &now, 20 * TICK, &calm), ==,
				ROLE_STAY);
		g_assert_cmpint(run(&role, &now, 9 * TICK, &burst), ==,
				ROLE_STAY);
	}
	g_assert_cmpint(run(&role, &now, 60 * TICK, &burst), ==,
			ROLE_TO_PREFILL);
}

/* After a pause of the process the stabilisation time starts again. */
static void test_gap(void)
{
	const struct role_load prefill_short = {LOAD(7, 7, 8, 3)};
	struct role role;
	int64_t now = 0;

	role_init(&role, &(struct role_settings){0});
	g_assert_cmpint(run(&role, &now, 5 * TICK, &prefill_short), ==,
			ROLE_STAY);
	now += 60 * USEC_PER_SEC;
	g_assert_cmpint(run(&role, &now, 10 * TICK, &prefill_short), ==,
			ROLE_STAY);
	g_assert_cmpint(run(&role, &now, 3 * TICK, &prefill_short), ==,
			ROLE_TO_PREFILL);
}

/* No move within the dwell time after the end of a move, whatever the load. */
static void test_dwell(void)
{
	const struct role_load prefill_short = {LOAD(7, 7, 9, 3)};
	const struct role_load moving = {LOAD(7, 6, 9, 3), .moving = true};
	const struct role_load decode_short = {LOAD(8, 6, 3, 9)};
	struct role role;
	int64_t now = 0;

	role_init(&role, &(struct role_settings){0});
	g_assert_cmpint(run(&role, &now, 30 * TICK, &prefill_short), ==,
			ROLE_TO_PREFILL);
	g_assert_cmpint(run(&role, &now, 300 * TICK, &moving), ==, ROLE_STAY);
	int64_t end = now;

	g_assert_cmpint(run(&role, &now, 300 * TICK, &decode_short), ==,
			ROLE_TO_DECODE);
	g_assert_cmpint(now - end, >=, ROLE_DWELL_USEC);
	g_assert_cmpint(now - end, <=, 2 * ROLE_DWELL_USEC);
}

/* Under a constant load no runner moves back. */
static void test_settles(void)
{
	for (int half = 1; half < 28; half++) {
		double need_p = half / 2.0;
		uint32_t p = 7;
		enum role_move first = ROLE_STAY;
		struct role role;
		int64_t now = 0;

		role_init(&role, &(struct role_settings){0});
		for (int i = 0; i < 20; i++) {
			struct role_load load = {
				LOAD(p, 14 - p, need_p, 13 - need_p)};
			enum role_move move =
				run(&role, &now, 2 * ROLE_DWELL_USEC, &load);

			if (first == ROLE_STAY)
				first = move;
			g_assert_true(move == ROLE_STAY || move == first);
			p += move == ROLE_TO_PREFILL;
			p -= move == ROLE_TO_DECODE;
			g_assert_cmpuint(p, >=, 1);
			g_assert_cmpuint(p, <=, 13);
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/role/move/", rows, test_row);
	g_test_add_func("/role/bursts", test_bursts);
	g_test_add_func("/role/gap", test_gap);
	g_test_add_func("/role/dwell", test_dwell);
	g_test_add_func("/role/settles", test_settles);
	return g_test_run();
}
