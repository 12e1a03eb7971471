#include "blocks.h"

#include <glib.h>
#include <stdlib.h>

#define BLOCKS 4
#define SCHEDULES 250

static schedule_fn schedule;

static gint usec_order(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static void test_block(gconstpointer data)
{
	uint32_t first = GPOINTER_TO_UINT(data);
	int64_t times[SCHEDULES];

	for (uint32_t i = 0; i < SCHEDULES; i++)
		times[i] = schedule(first + i);
	qsort(times, SCHEDULES, sizeof(times[0]), usec_order);
	g_test_message("seeds %u to %u: settled after %" G_GINT64_FORMAT
		       " ms in the median, %" G_GINT64_FORMAT " at most",
		       first, first + SCHEDULES - 1,
		       times[SCHEDULES / 2] / 1000,
		       times[SCHEDULES - 1] / 1000);
	g_assert_cmpint(times[0], >=, 0);
}

static void test_one(gconstpointer data)
{
	uint32_t seed = GPOINTER_TO_UINT(data);
	int64_t settled = schedule(seed);

	g_test_message("seed %u: settled after %" G_GINT64_FORMAT " us", seed,
		       settled);
	g_assert_cmpint(settled, >=, 0);
}

int blocks_run(int argc, char **argv, const char *area, schedule_fn fn)
{
	const char *one = getenv("MEMBER_SEED");

	g_test_init(&argc, &argv, NULL);
	schedule = fn;
	if (one) {
		uint32_t seed = (uint32_t)strtoul(one, NULL, 10);

		g_test_add_data_func("/schedule", GUINT_TO_POINTER(seed),
				     test_one);
		return g_test_run();
	}
	for (unsigned int i = 1; i <= BLOCKS; i++) {
		char *path = g_strdup_printf("/%s/schedules/%u", area, i);

		g_test_add_data_func(path, GUINT_TO_POINTER(i * 1000),
				     test_block);
		g_free(path);
	}
	return g_test_run();
}
