/* Compares the text output with a golden file; bound on series, histogram
 * buckets and quantiles. */
#include <glib.h>

#include "common/counter.h"
#include "golden.h"

static void test_print(void)
{
	struct counter_set *set = counter_set_create();
	GString *out = g_string_new(NULL);
	struct histogram *histogram;
	struct counter *counter;

	counter =
		counter_get(set, "jt_requests", "Requests", "class=\"urgent\"");
	counter->value = 3;
	g_assert_true(counter == counter_get(set, "jt_requests", "Requests",
					     "class=\"urgent\""));
	counter_get(set, "jt_requests", "Requests", "class=\"deferrable\"");
	gauge_get(set, "jt_held", "Grants held", NULL)->value = -2;
	histogram = histogram_get(set, "jt_wait_usec", "Wait", "pool=\"a\"");
	histogram_add(histogram, -5);
	histogram_add(histogram, 64);
	histogram_add(histogram, 65);
	histogram_add(histogram, INT64_C(1) << 40);
	counter_set_print(set, out);
	g_assert_true(golden_same(SOURCE_ROOT "/tests/common/counter.golden",
				  out->str));
	g_string_free(out, TRUE);
	counter_set_destroy(set);
}

static void test_bounded(void)
{
	struct counter_set *set = counter_set_create();
	struct counter *first, *second;
	char labels[32];

	for (int i = 0; i < COUNTER_SERIES_MAX; i++) {
		g_snprintf(labels, sizeof(labels), "n=\"%d\"", i);
		counter_get(set, "x", "X", labels)->value++;
	}
	first = counter_get(set, "x", "X", "n=\"one more\"");
	second = counter_get(set, "x", "X", "n=\"and another\"");
	g_assert_true(first == second);
	g_assert_true(first == counter_get(set, "x", "X", "overflow=\"true\""));
	counter_set_destroy(set);
}

static const struct {
	int64_t usec;
	int64_t bound; /* upper bound of its bucket */
} buckets[] = {
	{0, 64},
	{64, 64},
	{65, 76},
	{76, 76},
	{77, 91},
	{1000000, 1048576},
	{1048576, 1048576},
	{1048577, 1246974},
	{INT64_C(1) << 30, INT64_C(1) << 30},
	{(INT64_C(1) << 30) + 1, INT64_MAX},
	{INT64_MAX, INT64_MAX},
};

static void test_buckets(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(buckets); i++) {
		struct counter_set *set = counter_set_create();
		struct histogram *histogram =
			histogram_get(set, "h", "H", NULL);

		g_assert_cmpint(histogram_quantile(histogram, 0.5), ==, 0);
		histogram_add(histogram, buckets[i].usec);
		g_assert_cmpint(histogram_quantile(histogram, 0.5), ==,
				buckets[i].bound);
		g_assert_cmpuint(histogram_count(histogram), ==, 1);
		counter_set_destroy(set);
	}
}

/* A quantile is at least the true one and at most 2^(1/4) times it. */
static void test_quantile(void)
{
	struct counter_set *set = counter_set_create();
	struct histogram *histogram = histogram_get(set, "h", "H", NULL);

	for (int64_t usec = 1; usec <= 100000; usec++)
		histogram_add(histogram, usec);
	for (int percent = 1; percent <= 100; percent++) {
		double exact = 1000.0 * percent;
		double got =
			(double)histogram_quantile(histogram, percent / 100.0);

		g_assert_cmpfloat(got, >=, exact);
		g_assert_cmpfloat(got, <=, exact * 1.1893);
	}
	counter_set_destroy(set);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/counter/print", test_print);
	g_test_add_func("/counter/bounded", test_bounded);
	g_test_add_func("/counter/buckets", test_buckets);
	g_test_add_func("/counter/quantile", test_quantile);
	return g_test_run();
}
