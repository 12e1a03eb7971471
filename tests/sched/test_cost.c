/*
 * Predictions of the output of streams, on traces of three shapes. Guards
 * against a prediction that is used although the caller's estimate is better,
 * and against one that is not used although the estimate is biased.
 */
#include <glib.h>
#include <math.h>
#include <stdbool.h>

#include "sched/cost.h"

#define SAMPLES 400

struct trace {
	const char *name;
	double bias;  /* output / estimate, in the median */
	double sigma; /* of the logarithm of that ratio */
	bool estimated;
};

static double normal(GRand *rand)
{
	double u = 1.0 - g_rand_double(rand);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * g_rand_double(rand));
}

/* Mean absolute errors of the logarithm, of the second half of the trace. */
static void trace_play(const struct trace *trace, double *estimate_error,
		       double *used_error)
{
	struct costs *costs = costs_create();
	GRand *rand = g_rand_new_with_seed(5);

	*estimate_error = 0.0;
	*used_error = 0.0;
	for (int i = 0; i < SAMPLES; i++) {
		double estimate = 600.0 * exp(0.5 * normal(rand));
		double output = estimate * trace->bias *
				exp(trace->sigma * normal(rand));
		double given = trace->estimated ? estimate : 0.0;
		double used = costs_predict(costs, 1, given);
		/* A request without an estimate counts as half of its maximum
		 * output, 2,000 tokens here. */
		double today = given > 0.0 ? given : 1000.0;

		if (i >= SAMPLES / 2) {
			*estimate_error += fabs(log(output / today));
			*used_error += fabs(log(output / used));
		}
		costs_add(costs, 1, given, output);
	}
	*estimate_error /= SAMPLES / 2;
	*used_error /= SAMPLES / 2;
	g_test_message("%s: estimate %.3f, used %.3f", trace->name,
		       *estimate_error, *used_error);
	g_rand_free(rand);
	costs_destroy(costs);
}

static void test_unbiased(void)
{
	static const struct trace trace = {"right in the median", 1.0, 0.5,
					   true};
	double estimate;
	double used;

	trace_play(&trace, &estimate, &used);
	g_assert_cmpfloat(used, <=, estimate * 1.001);
}

static void test_biased(void)
{
	static const struct trace low = {"twice the estimate", 2.0, 0.5, true};
	static const struct trace high = {"0.4 of the estimate", 0.4, 0.5,
					  true};
	double estimate;
	double used;

	trace_play(&low, &estimate, &used);
	g_assert_cmpfloat(used, <=, estimate * 0.7);
	trace_play(&high, &estimate, &used);
	g_assert_cmpfloat(used, <=, estimate * 0.7);
}

static void test_without_estimate(void)
{
	static const struct trace trace = {"no estimate", 0.5, 0.5, false};
	double estimate;
	double used;

	trace_play(&trace, &estimate, &used);
	g_assert_cmpfloat(used, <=, estimate * 0.7);
}

/* A route that changes: the old ratio must not stay in use. */
static void test_change(void)
{
	struct costs *costs = costs_create();

	for (int i = 0; i < 100; i++)
		costs_add(costs, 1, 100.0, 300.0);
	g_assert_cmpfloat_with_epsilon(costs_predict(costs, 1, 100.0), 300.0,
				       15.0);
	for (int i = 0; i < 200; i++)
		costs_add(costs, 1, 100.0, 100.0);
	g_assert_cmpfloat_with_epsilon(costs_predict(costs, 1, 100.0), 100.0,
				       5.0);
	costs_destroy(costs);
}

/* Neither absurd figures nor many keys may spoil or enlarge the table. */
static void test_bounds(void)
{
	struct costs *costs = costs_create();
	struct cost_errors errors;

	for (int i = 0; i < 50; i++) {
		costs_add(costs, 1, 100.0, 200.0);
		costs_add(costs, 1, 100.0, NAN);
		costs_add(costs, 1, 100.0, -1.0);
		costs_add(costs, 1, 100.0, INFINITY);
	}
	costs_errors(costs, 1, &errors);
	g_assert_cmpuint(errors.samples, ==, 50);
	g_assert_cmpfloat_with_epsilon(errors.estimate, log(2.0), 1e-6);
	g_assert_cmpfloat(costs_predict(costs, 2, 70.0), ==, 70.0);
	g_assert_cmpfloat(costs_predict(costs, 2, 0.0), ==, 0.0);
	for (uint64_t key = 2; key <= COSTS_MAX; key++)
		costs_add(costs, key, 100.0, 200.0);
	costs_errors(costs, 1, &errors);
	g_assert_cmpuint(errors.samples, ==, 50);
	costs_add(costs, COSTS_MAX + 1, 100.0, 200.0);
	costs_errors(costs, 1, &errors);
	g_assert_cmpuint(errors.samples, ==, 0);
	costs_errors(costs, 2, &errors);
	g_assert_cmpuint(errors.samples, ==, 1);
	costs_destroy(costs);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/cost/unbiased", test_unbiased);
	g_test_add_func("/sched/cost/biased", test_biased);
	g_test_add_func("/sched/cost/without-estimate", test_without_estimate);
	g_test_add_func("/sched/cost/change", test_change);
	g_test_add_func("/sched/cost/bounds", test_bounds);
	return g_test_run();
}
