/* Rate limits per account: shares, bursts, bounded state, and the merge of the
 * entries of other instances. */
#include <glib.h>

#include "common/clock.h"
#include "coord/limit.h"

/* Entries in a message between instances. */
#define EXPORT_MAX 48u
#define TICKS 1000

static struct limits *limits_open(uint32_t accounts_max)
{
	const struct limit_settings settings = {.policy = LIMIT_EQUAL,
						.accounts_max = accounts_max};

	return limits_create(&settings);
}

/* Takes one unit of an allotment whose burst is two seconds of its rate. */
static bool rate_take(struct limits *limits, int64_t now, uint64_t account,
		      double rate, uint32_t instances, int64_t *retry_after)
{
	const struct limit_request request = {
		.account = account,
		.allotment = {rate, MAX(rate * 2.0, 1.0)},
		.units = 1.0,
		.sharers = instances,
	};
	struct limit_refusal refusal;

	if (limit_take(limits, now, &request, &refusal))
		return true;
	*retry_after = refusal.retry_usec;
	return false;
}

struct limit_case {
	const char *name;
	double rate;
	uint32_t instances;
	int64_t span; /* requests arrive at even intervals in it */
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
	struct limits *limits = limits_open(16);
	uint32_t allowed = 0;
	int64_t after = 0;

	for (uint32_t i = 0; i < row->requests; i++) {
		int64_t now = row->span * i / row->requests;

		if (rate_take(limits, now, 7, row->rate, row->instances,
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
	struct limits *limits = limits_open(4);
	int64_t after = 0;

	while (rate_take(limits, 0, 1, 10, 1, &after))
		continue;
	g_assert_false(rate_take(limits, after - 2, 1, 10, 1, &after));
	g_assert_true(
		rate_take(limits, 100 * USEC_PER_MSEC + 1, 1, 10, 1, &after));
	limits_destroy(limits);
}

/* Overload by one organisation does not reduce the rate of another. */
static void test_separate_accounts(void)
{
	struct limits *limits = limits_open(4);
	int64_t after = 0;

	while (rate_take(limits, 0, 1, 10, 1, &after))
		continue;
	g_assert_true(rate_take(limits, 0, 2, 10, 1, &after));
	limits_destroy(limits);
}

static void test_bounded(void)
{
	struct limits *limits = limits_open(100);
	int64_t after = 0;

	for (uint64_t pair = 1; pair <= 12000; pair++)
		g_assert_true(rate_take(limits, 0, pair, 10, 1, &after));
	g_assert_cmpuint(limits_count(limits), ==, 100);
	limits_destroy(limits);
}

#define RATE 1000.0
#define BURST 1000.0

static bool units_take(struct limits *limits, int64_t now, double units,
		       struct limit_refusal *refusal)
{
	const struct limit_request request = {
		.account = 1, .allotment = {RATE, BURST}, .units = units};

	return limit_take(limits, now, &request, refusal);
}

static struct limits *counts_open(bool may_have_peers)
{
	const struct limit_settings settings = {
		.policy = LIMIT_COUNTS, .may_have_peers = may_have_peers};

	return limits_create(&settings);
}

static void test_too_large(void)
{
	struct limits *limits = counts_open(false);
	struct limit_refusal refusal;

	g_assert_false(units_take(limits, 0, BURST + 1, &refusal));
	g_assert_cmpint(refusal.retry_usec, ==, 0);
	g_assert_true(units_take(limits, 0, BURST, &refusal));
	limits_destroy(limits);
}

/* Refused requests get successive retry delays, up to a maximum. */
static void test_in_order(void)
{
	struct limits *limits = counts_open(false);
	struct limit_refusal refusal;
	int64_t before = 0;

	g_assert_true(units_take(limits, 0, BURST, &refusal));
	for (int i = 0; i < 5; i++) {
		g_assert_false(units_take(limits, 0, 500, &refusal));
		g_assert_cmpint(refusal.retry_usec - before, >=,
				500 * USEC_PER_MSEC);
		before = refusal.retry_usec;
	}
	for (int i = 0; i < 50; i++)
		g_assert_false(units_take(limits, 0, 500, &refusal));
	g_assert_cmpint(refusal.retry_usec, <=, 5 * USEC_PER_SEC);
	limits_destroy(limits);
}

/* Returned units may be used again, up to the burst. */
static void test_return(void)
{
	struct limits *limits = counts_open(false);
	struct limit_refusal refusal;

	g_assert_true(units_take(limits, 0, BURST, &refusal));
	g_assert_false(units_take(limits, 0, 1, &refusal));
	limit_return(limits, 0, 1, 600);
	g_assert_true(units_take(limits, 0, 600, &refusal));
	limit_return(limits, 0, 1, 600);
	limit_return(limits, 0, 1, 600);
	g_assert_cmpfloat(limit_level(limits, 0, 1), <=, BURST);
	limits_destroy(limits);
}

/* After a restart of all instances at once their earlier use is unknown; a
 * whole burst must not be granted again. */
static void test_starts_low(void)
{
	struct limits *limits = counts_open(true);
	struct limit_refusal refusal;

	g_assert_true(units_take(limits, 0, BURST / 16, &refusal));
	g_assert_false(units_take(limits, 0, BURST / 16, &refusal));
	/* Other starting instances may admit as much. */
	g_assert_true(units_take(limits, USEC_PER_SEC, RATE * 0.35, &refusal));
	g_assert_false(units_take(limits, USEC_PER_SEC, RATE * 0.1, &refusal));
	g_assert_true(
		units_take(limits, 5 * USEC_PER_SEC, BURST * 0.9, &refusal));
	limits_destroy(limits);
}

/* A full bucket, less one unit that was used here. */
static struct limits *counts_used_one(void)
{
	struct limits *limits = counts_open(false);
	struct limit_refusal refusal;

	g_assert_true(units_take(limits, 0, 1, &refusal));
	return limits;
}

static void merge(struct limits *limits, int64_t now, uint64_t id,
		  uint64_t group, uint32_t epoch, int64_t used, int64_t level)
{
	const struct limit_allotment allotment = {RATE, BURST};
	const struct limit_source source = {id, group};
	const struct limit_entry entry = {
		.account = 1, .epoch = epoch, .used = used, .level = level};

	limit_merge(limits, now, &source, &entry, &allotment);
}

/* A repeated entry counts once. Of two sources of one data centre one is
 * counted, and the other one replaces it when it falls silent. */
static void test_merged_once(void)
{
	struct limits *limits = counts_used_one();

	merge(limits, 0, 7, 0, 1, 100, 0);
	merge(limits, 0, 7, 0, 1, 100, 0);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, BURST - 101);
	merge(limits, 0, 8, 99, 1, 200, 0);
	merge(limits, 0, 9, 99, 1, 200, 0);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, BURST - 301);
	merge(limits, 0, 9, 99, 1, 250, 0);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, BURST - 301);
	/* The bucket is full again. Use within the estimate for the silent
	 * source costs nothing more; use above it is subtracted. */
	limit_level(limits, 2 * USEC_PER_SEC, 1);
	merge(limits, 2 * USEC_PER_SEC, 9, 99, 1, 260, 0);
	g_assert_cmpfloat(limit_level(limits, 2 * USEC_PER_SEC, 1), ==, BURST);
	merge(limits, 2 * USEC_PER_SEC, 9, 99, 1, 760, 0);
	g_assert_cmpfloat(limit_level(limits, 2 * USEC_PER_SEC, 1), ==,
			  BURST - 500);
	limits_destroy(limits);
}

/* A source that restarted counts from zero. */
static void test_merge_restarted(void)
{
	struct limits *limits = counts_used_one();

	merge(limits, 0, 7, 0, 1, 500, 0);
	merge(limits, 0, 7, 0, 2, 100, 0);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, BURST - 601);
	limits_destroy(limits);
}

/* The use of peers that have just started is counted. The level of a peer that
 * ran before is still adopted, and its total use is not counted. */
static void test_starts_together(void)
{
	struct limits *limits = counts_open(true);
	struct limit_refusal refusal;

	g_assert_true(units_take(limits, 0, 10, &refusal));
	merge(limits, 0, 7, 0, 1, 30, LIMIT_LEVEL_UNKNOWN);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, BURST / 16 - 40);
	merge(limits, 0, 8, 0, 1, 123456, 300);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, 290);
	merge(limits, 0, 8, 0, 1, 123466, 290);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, 280);
	limits_destroy(limits);
}

/* Equal shares add up to the allotment, also for an instance that has just
 * started. */
static void test_equal_starts(void)
{
	const struct limit_settings settings = {.policy = LIMIT_EQUAL,
						.may_have_peers = true};
	struct limits *limits = limits_create(&settings);
	struct limit_refusal refusal;

	g_assert_false(units_take(limits, 0, BURST / 2, &refusal));
	g_assert_true(
		units_take(limits, USEC_PER_SEC / 2, BURST / 2, &refusal));
	limits_destroy(limits);
}

/* A starting instance adopts the first level that it receives, and does not
 * count the use before it. */
static void test_adopts_level(void)
{
	struct limits *limits = counts_open(true);

	merge(limits, 0, 7, 0, 1, 123456, 300);
	merge(limits, 0, 8, 0, 1, 55555, 310);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, 300);
	merge(limits, 0, 8, 0, 1, 55600, 200);
	g_assert_cmpfloat(limit_level(limits, 0, 1), ==, 255);
	limits_destroy(limits);
}

static void test_policies(void)
{
	enum limit_policy policy;

	for (int i = 0; i < LIMIT_POLICY_COUNT; i++) {
		g_assert_true(limit_policy_find(
			limit_policy_name((enum limit_policy)i), &policy));
		g_assert_cmpint(policy, ==, i);
	}
	g_assert_false(limit_policy_find("none", &policy));
}

/* Measures the cost of one export and one merge with count active
 * organisations. Each message has room for EXPORT_MAX of them and successive
 * messages take turns, so this bounds the age of an organisation's data. */
static void cost_measure(uint32_t count)
{
	const struct limit_allotment allotment = {1000.0, 1000.0};
	const struct limit_settings settings = {.policy = LIMIT_COUNTS};
	const struct limit_source source = {.id = 7};
	struct limits *limits = limits_create(&settings);
	struct limit_entry entries[EXPORT_MAX];
	struct limit_refusal refusal;
	int64_t began;
	double export_usec;
	double merge;
	uint32_t exported = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct limit_request request = {i + 1, allotment, 10.0,
						      1};

		g_assert_true(limit_take(limits, 1, &request, &refusal));
	}
	began = g_get_monotonic_time();
	for (int i = 0; i < TICKS; i++) {
		exported =
			limit_export(limits, 1 + i, false, entries, EXPORT_MAX);
		limit_exported(limits);
	}
	export_usec = (double)(g_get_monotonic_time() - began) / TICKS;
	began = g_get_monotonic_time();
	for (int i = 0; i < TICKS; i++)
		for (uint32_t k = 0; k < exported; k++)
			limit_merge(limits, 2 + i, &source, &entries[k],
				    &allotment);
	merge = (double)(g_get_monotonic_time() - began) / TICKS;
	g_test_message("%u organisations: %u in a message, all in %u messages; "
		       "export of one message %.1f us, merge %.1f us",
		       count, exported, (count + exported - 1) / exported,
		       export_usec, merge);
	g_assert_cmpuint(exported, ==, MIN(count, EXPORT_MAX));
	g_assert_cmpuint(limits_count(limits), ==, count);
	limits_destroy(limits);
}

static void test_cost(void)
{
	cost_measure(16);
	cost_measure(1000);
	cost_measure(10000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/rates", test_rates);
	g_test_add_func("/limit/retry_after", test_retry_after);
	g_test_add_func("/limit/apart", test_separate_accounts);
	g_test_add_func("/limit/bounded", test_bounded);
	g_test_add_func("/limit/too-large", test_too_large);
	g_test_add_func("/limit/in-order", test_in_order);
	g_test_add_func("/limit/return", test_return);
	g_test_add_func("/limit/starts-low", test_starts_low);
	g_test_add_func("/limit/heard-once", test_merged_once);
	g_test_add_func("/limit/heard-restarted", test_merge_restarted);
	g_test_add_func("/limit/takes-over", test_adopts_level);
	g_test_add_func("/limit/policies", test_policies);
	g_test_add_func("/limit/cost", test_cost);
	g_test_add_func("/limit/starts-together", test_starts_together);
	g_test_add_func("/limit/equal-starts", test_equal_starts);
	return g_test_run();
}
