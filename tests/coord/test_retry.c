/* Retry budgets, backoff and circuit breakers. */
#include <glib.h>

#include "common/clock.h"
#include "coord/retry.h"

static const struct {
	const char *name;
	uint32_t percent;
	double max;
	int first;    /* retries available at the start */
	int requests; /* made after that */
	int more;     /* retries available after these requests */
} budgets[] = {
	{"a tenth", 10, 3.0, 3, 20, 2},
	{"never above the maximum", 10, 3.0, 3, 1000, 3},
	{"no retries", 0, 3.0, 0, 1000, 0},
	{"a percentage above 100 is clamped", 400, 2.0, 2, 1, 1},
	{"a negative maximum", 10, -1.0, 0, 1000, 0},
};

static int budget_drain(struct retry_budget *budget)
{
	int taken = 0;

	while (taken < 100 && retry_budget_take(budget))
		taken++;
	return taken;
}

static void test_budget(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(budgets); i++) {
		struct retry_budget budget;

		g_test_message("%s", budgets[i].name);
		retry_budget_init(&budget, budgets[i].percent, budgets[i].max);
		g_assert_cmpint(budget_drain(&budget), ==, budgets[i].first);
		for (int j = 0; j < budgets[i].requests; j++)
			retry_budget_request(&budget);
		g_assert_cmpint(budget_drain(&budget), ==, budgets[i].more);
	}
}

/* In an outage every request fails and is retried while the budget allows it:
 * there are about 110 calls for 100 requests. */
static void test_storm(void)
{
	struct retry_budget budget;
	int calls = 0;

	retry_budget_init(&budget, 10, 10.0);
	for (int i = 0; i < 10000; i++) {
		retry_budget_request(&budget);
		calls++;
		while (calls < 100000 && retry_budget_take(&budget))
			calls++;
	}
	g_assert_cmpint(calls, >, 10900);
	g_assert_cmpint(calls, <=, 11010);
}

static const struct {
	uint32_t attempt;
	int64_t base, max;
	int64_t longest; /* the shortest is at least half of it */
} backoffs[] = {
	{0, 100, 5000, 100},
	{1, 100, 5000, 200},
	{5, 100, 5000, 3200},
	{6, 100, 5000, 5000},
	{UINT32_MAX, 100, 5000, 5000},
	{0, 100, 40, 40},
	{3, 0, 5000, 8},
	{3, -7, -7, 1},
	{63, 1, INT64_MAX, INT64_MAX},
};

static void test_backoff(void)
{
	GRand *rand = g_rand_new_with_seed(g_test_rand_int() | 1u);

	for (size_t i = 0; i < G_N_ELEMENTS(backoffs); i++) {
		int64_t shortest = INT64_MAX, longest = 0;

		for (int j = 0; j < 2000; j++) {
			int64_t delay = retry_backoff(rand, backoffs[i].attempt,
						      backoffs[i].base,
						      backoffs[i].max);
			shortest = MIN(shortest, delay);
			longest = MAX(longest, delay);
		}
		g_assert_cmpint(shortest, >=, backoffs[i].longest / 2);
		g_assert_cmpint(longest, <=, backoffs[i].longest);
		/* The jitter covers most of its range. */
		if (backoffs[i].longest >= 100)
			g_assert_cmpint(longest - shortest, >=,
					backoffs[i].longest / 5 * 2);
	}
	g_rand_free(rand);
}

static void circuit_trip(struct circuit *circuit, GRand *rand, int64_t now)
{
	for (int i = 0; i < 3; i++) {
		g_assert_true(circuit_allow(circuit, now));
		circuit_failure(circuit, rand, now);
	}
}

static void test_circuit(void)
{
	GRand *rand = g_rand_new_with_seed(7);
	struct circuit circuit = {0};
	int64_t open_until;

	circuit_failure(&circuit, rand, 0);
	circuit_failure(&circuit, rand, 0);
	circuit_success(&circuit); /* only failures in a row count */
	circuit_trip(&circuit, rand, 1000);
	g_assert_cmpint(circuit.state, ==, CIRCUIT_OPEN);
	g_assert_false(circuit_allow(&circuit, 1000));
	open_until = circuit.until;
	circuit_failure(&circuit, rand, 2000); /* called before it opened */
	g_assert_cmpint(circuit.until, ==, open_until);
	g_assert_cmpint(open_until - 1000, >=, 250 * USEC_PER_MSEC);
	g_assert_false(circuit_allow(&circuit, open_until - 1));
	g_assert_true(circuit_allow(&circuit, open_until));
	g_assert_false(circuit_allow(&circuit, open_until)); /* one probe */
	circuit_failure(&circuit, rand, open_until);
	g_assert_cmpint(circuit.until - open_until, >=, 500 * USEC_PER_MSEC);
	g_assert_true(circuit_allow(&circuit, circuit.until));
	circuit_success(&circuit);
	g_assert_true(circuit_allow(&circuit, circuit.until));
	g_assert_cmpint(circuit.opened, ==, 0);
	g_rand_free(rand);
}

/* A probe whose result is never reported does not block calls for ever. */
static void test_probe_lost(void)
{
	GRand *rand = g_rand_new_with_seed(7);
	struct circuit circuit = {0};
	int64_t now;

	circuit_trip(&circuit, rand, 0);
	now = circuit.until;
	g_assert_true(circuit_allow(&circuit, now));
	g_assert_false(circuit_allow(&circuit, now + 59 * USEC_PER_SEC));
	g_assert_true(circuit_allow(&circuit, now + 60 * USEC_PER_SEC));
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry/budget", test_budget);
	g_test_add_func("/retry/storm", test_storm);
	g_test_add_func("/retry/backoff", test_backoff);
	g_test_add_func("/circuit/states", test_circuit);
	g_test_add_func("/circuit/trial_lost", test_probe_lost);
	return g_test_run();
}
