/* Rates per organisation and service: shares, bursts, bounded state. */
#include <glib.h>

#include "common/clock.h"
#include "coord/limit.h"

struct limit_case {
	const char *name;
	double rate;
	uint32_t instances;
	int64_t span; /* requests come evenly over it */
	uint32_t requests;
	uint32_t allowed_min;
	uint32_t allowed_max;
};

static const struct limit_case limit_cases[] = {
	{"no limit", 0, 7, USEC_PER_SEC, 1000, 1000, 1000},
	{"under the rate", 100, 1, 10 * USEC_PER_SEC, 900, 900, 900},
	{"burst then rate", 100, 1, 10 * USEC_PER_SEC, 10000, 1190, 1201},
	{"a share of seven", 70, 7, 10 * USEC_PER_SEC, 10000, 119, 121},
	{"at least one", 0.5, 360, USEC_PER_SEC, 50, 1, 1},
};

static uint32_t allowed_count(const struct limit_case *row)
{
	struct limits *limits = limits_create(16);
	uint32_t allowed = 0;
	int64_t after = 0;

	for (uint32_t i = 0; i < row->requests; i++) {
		int64_t now = row->span * i / row->requests;

		if (limit_take(limits, now, 7, row->rate, row->instances,
			       &after))
			allowed++;
		else
			g_assert_cmpint(after, >, 0);
	}
	limits_destroy(limits);
	return allowed;
}

static void test_rates(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
		const struct limit_case *row = &limit_cases[i];
		uint32_t allowed = allowed_count(row);

		g_test_message("%s: %u", row->name, allowed);
		g_assert_cmpuint(allowed, >=, row->allowed_min);
		g_assert_cmpuint(allowed, <=, row->allowed_max);
	}
}

static void test_retry_after(void)
{
	struct limits *limits = limits_create(4);
	int64_t after = 0;

	while (limit_take(limits, 0, 1, 10, 1, &after))
		continue;
	g_assert_false(limit_take(limits, after - 2, 1, 10, 1, &after));
	g_assert_true(
		limit_take(limits, 100 * USEC_PER_MSEC + 1, 1, 10, 1, &after));
	limits_destroy(limits);
}

/* One organisation's overload takes nothing from another's rate. */
static void test_apart(void)
{
	struct limits *limits = limits_create(4);
	int64_t after = 0;

	while (limit_take(limits, 0, 1, 10, 1, &after))
		continue;
	g_assert_true(limit_take(limits, 0, 2, 10, 1, &after));
	limits_destroy(limits);
}

static void test_bounded(void)
{
	struct limits *limits = limits_create(100);
	int64_t after = 0;

	for (uint64_t pair = 1; pair <= 12000; pair++)
		g_assert_true(limit_take(limits, 0, pair, 10, 1, &after));
	g_assert_cmpuint(limits_count(limits), ==, 100);
	limits_destroy(limits);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/rates", test_rates);
	g_test_add_func("/limit/retry_after", test_retry_after);
	g_test_add_func("/limit/apart", test_apart);
	g_test_add_func("/limit/bounded", test_bounded);
	return g_test_run();
}
