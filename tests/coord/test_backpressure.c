/* Signals of servers: which of them apply, and what a home grants. */
#include <glib.h>

#include "common/clock.h"
#include "coord/backpressure.h"

#define SERVER 7
#define OTHER 8

static const struct backpressure_signals no_signals = {.of_request = true};

static void limit_signalled(struct backpressure *table, int64_t now,
			    double limit)
{
	const struct backpressure_signals signals = {
		.limited = true, .limit = limit, .of_request = true};

	backpressure_answer(table, now, SERVER, &signals);
}

static void test_ends_with_an_answer_without_it(void)
{
	struct backpressure *table = backpressure_create();
	const struct backpressure_signals call = {.of_request = false};

	limit_signalled(table, 0, 5.0);
	g_assert_cmpfloat(backpressure_limit(table, SERVER), ==, 5.0);
	g_assert_cmpuint(backpressure_limited(table), ==, 1);
	/* An answer that overtook another one does not remove the limit, nor
	 * does an answer that is not to a request. */
	g_assert_cmpuint(0, ==,
			 backpressure_answer(table,
					     BACKPRESSURE_SETTLE_USEC - 1,
					     SERVER, &no_signals));
	g_assert_cmpuint(
		0, ==, backpressure_answer(table, USEC_PER_SEC, SERVER, &call));
	g_assert_cmpuint(
		0, ==,
		backpressure_answer(table, USEC_PER_SEC, OTHER, &no_signals));
	g_assert_cmpuint(
		BACKPRESSURE_LIMIT, ==,
		backpressure_answer(table, USEC_PER_SEC, SERVER, &no_signals));
	g_assert_cmpfloat(backpressure_limit(table, SERVER), <, 0.0);
	g_assert_cmpuint(backpressure_limited(table), ==, 0);
	backpressure_destroy(table);
}

static void test_newer_wins(void)
{
	struct backpressure *table = backpressure_create();
	struct backpressure_fact fact = {
		.server = SERVER, .limit = 3.0, .age_usec = USEC_PER_SEC};
	struct backpressure_fact known;

	limit_signalled(table, 10 * USEC_PER_SEC, 5.0);
	g_assert_cmpuint(0, ==,
			 backpressure_merge(table, 10 * USEC_PER_SEC, &fact));
	fact.age_usec = 1000;
	g_assert_cmpuint(BACKPRESSURE_LIMIT, ==,
			 backpressure_merge(table, 11 * USEC_PER_SEC, &fact));
	g_assert_cmpfloat(backpressure_limit(table, SERVER), ==, 3.0);
	fact.limit = BACKPRESSURE_UNLIMITED;
	fact.age_usec = 0;
	g_assert_cmpuint(BACKPRESSURE_LIMIT, ==,
			 backpressure_merge(table, 12 * USEC_PER_SEC, &fact));
	/* The removal is exported too, or an older message would restore the
	 * limit. */
	g_assert_cmpuint(
		backpressure_export(table, 12 * USEC_PER_SEC, &known, 1), ==,
		1);
	g_assert_cmpfloat(known.limit, <, 0.0);
	fact.server = OTHER;
	g_assert_cmpuint(0, ==,
			 backpressure_merge(table, 12 * USEC_PER_SEC, &fact));
	backpressure_destroy(table);
}

static guint count_granted(struct backpressure *table, int64_t *now,
			   int64_t usec)
{
	int64_t end = *now + usec;
	guint count = 0;
	int64_t retry;

	for (; *now < end; *now += 5 * USEC_PER_MSEC)
		count += backpressure_grant(table, *now, SERVER, &retry);
	return count;
}

static void test_grants_at_the_limit(void)
{
	struct backpressure *table = backpressure_create();
	int64_t now = 0;
	int64_t retry;

	g_assert_true(backpressure_grant(table, now, SERVER, &retry));
	limit_signalled(table, now, 4.7);
	/* The bucket starts empty. */
	g_assert_false(backpressure_grant(table, now, SERVER, &retry));
	g_assert_cmpint(retry, ==, (int64_t)(USEC_PER_SEC / 4.7) + 1);
	g_assert_false(backpressure_grant(table, now, SERVER, &retry));
	g_assert_cmpint(retry, >, (int64_t)(USEC_PER_SEC / 4.7) + 1);
	g_assert_cmpuint(count_granted(table, &now, 10 * USEC_PER_SEC), ==, 46);
	/* After a pause the burst is half a second of the limit. */
	now += 60 * USEC_PER_SEC;
	g_assert_cmpuint(count_granted(table, &now, USEC_PER_SEC), <=, 7);
	/* The retry delay grows with each denial, up to a second. */
	for (int i = 0; i < 100; i++)
		backpressure_grant(table, now, SERVER, &retry);
	g_assert_cmpint(retry, ==, USEC_PER_SEC);
	backpressure_destroy(table);
}

static void test_limit_of_zero(void)
{
	struct backpressure *table = backpressure_create();
	int64_t now = 0;

	limit_signalled(table, now, 0.0);
	g_assert_cmpuint(count_granted(table, &now, 20 * USEC_PER_SEC), ==, 4);
	backpressure_destroy(table);
}

static bool exists(void *ctx, uint64_t server)
{
	return server == *(uint64_t *)ctx;
}

static void test_prunes(void)
{
	struct backpressure *table = backpressure_create();
	const struct backpressure_fact other = {.server = OTHER, .limit = 2.0};
	struct backpressure_fact facts[4];
	uint64_t listed = SERVER;
	int64_t now = 61 * USEC_PER_SEC;

	limit_signalled(table, 0, 5.0);
	backpressure_merge(table, 0, &other);
	/* Old facts are not exported. */
	g_assert_cmpuint(backpressure_export(table, now, facts, 4), ==, 0);
	backpressure_prune(table, USEC_PER_SEC, exists, &listed);
	g_assert_cmpuint(backpressure_limited(table), ==, 2);
	backpressure_prune(table, now, exists, &listed);
	g_assert_cmpfloat(backpressure_limit(table, OTHER), <, 0.0);
	g_assert_cmpfloat(backpressure_limit(table, SERVER), ==, 5.0);
	backpressure_answer(table, now, SERVER, &no_signals);
	backpressure_prune(table, now + 30 * USEC_PER_SEC, exists, &listed);
	g_assert_false(backpressure_find(table, now, SERVER, facts));
	backpressure_destroy(table);
}

static void test_leaving_is_final(void)
{
	struct backpressure *local = backpressure_create();
	struct backpressure *remote = backpressure_create();
	const struct backpressure_signals leaves = {.leaving = true};
	struct backpressure_fact fact;

	g_assert_cmpuint(backpressure_answer(local, 1, SERVER, &leaves), ==,
			 BACKPRESSURE_LEAVING);
	g_assert_cmpuint(backpressure_answer(local, 2, SERVER, &leaves), ==, 0);
	g_assert_cmpuint(
		backpressure_answer(local, USEC_PER_SEC, SERVER, &no_signals),
		==, 0);
	g_assert_true(backpressure_leaving(local, SERVER));
	g_assert_false(backpressure_leaving(local, OTHER));
	/* Leaving is exported, and does not change the limit elsewhere. */
	g_assert_cmpuint(backpressure_export(local, 3, &fact, 1), ==, 1);
	limit_signalled(remote, 1, 5.0);
	g_assert_cmpuint(backpressure_merge(remote, 4, &fact), ==,
			 BACKPRESSURE_LEAVING);
	g_assert_true(backpressure_leaving(remote, SERVER));
	g_assert_cmpfloat(backpressure_limit(remote, SERVER), ==, 5.0);
	backpressure_destroy(local);
	backpressure_destroy(remote);
}

static void test_longest_backoff_applies(void)
{
	struct backpressure *table = backpressure_create();
	struct backpressure_signals backoff = {.backoff_usec =
						       3 * USEC_PER_SEC};
	struct backpressure_fact fact;

	g_assert_cmpint(backpressure_backoff(table, SERVER), ==, 0);
	g_assert_cmpuint(backpressure_answer(table, 10, SERVER, &backoff), ==,
			 BACKPRESSURE_BACKOFF);
	backoff.backoff_usec = USEC_PER_SEC;
	g_assert_cmpuint(backpressure_answer(table, 20, SERVER, &backoff), ==,
			 0);
	g_assert_cmpint(backpressure_backoff(table, SERVER), ==,
			10 + 3 * USEC_PER_SEC);
	/* A backoff is not exported. */
	g_assert_cmpuint(backpressure_export(table, 20, &fact, 1), ==, 0);
	backpressure_destroy(table);
}

static void test_exports_all(void)
{
	struct backpressure *table = backpressure_create();
	struct backpressure_fact facts[16];
	guint seen[100] = {0};

	for (uint64_t i = 0; i < 100; i++) {
		const struct backpressure_fact fact = {.server = i,
						       .limit = 1.0};

		backpressure_merge(table, 1, &fact);
	}
	for (int round = 0; round < 7; round++) {
		uint32_t count = backpressure_export(table, 1, facts, 16);

		for (uint32_t i = 0; i < count; i++)
			seen[facts[i].server]++;
	}
	for (int i = 0; i < 100; i++)
		g_assert_cmpuint(seen[i], ==, 1);
	backpressure_destroy(table);
}

static void test_cold_is_a_limit(void)
{
	struct backpressure *table = backpressure_create();
	int64_t now = 0;

	backpressure_cold(table, 3 * USEC_PER_SEC, SERVER, 10.0);
	g_assert_cmpuint(count_granted(table, &now, USEC_PER_SEC), <=, 10);
	g_assert_cmpuint(count_granted(table, &now, USEC_PER_SEC), ==, 10);
	/* A shorter time does not replace a longer one. */
	backpressure_cold(table, now + 1, SERVER, 1.0);
	g_assert_cmpuint(count_granted(table, &now, USEC_PER_SEC), ==, 10);
	g_assert_cmpuint(count_granted(table, &now, USEC_PER_SEC), ==, 200);
	/* The lower limit is enforced, and the signalled one is still known. */
	limit_signalled(table, now, 4.0);
	backpressure_cold(table, now + 30 * USEC_PER_SEC, SERVER, 10.0);
	g_assert_cmpfloat(backpressure_limit(table, SERVER), ==, 4.0);
	g_assert_cmpuint(count_granted(table, &now, 10 * USEC_PER_SEC), <=, 42);
	backpressure_destroy(table);
}

/* A request for a permit tells the home that the server is cold. */
static void test_cold_with_permit_request(void)
{
	struct backpressure *local = backpressure_create();
	struct backpressure *home = backpressure_create();
	struct backpressure_fact fact;
	int64_t now = 0;

	backpressure_cold(local, 3 * USEC_PER_SEC, SERVER, 10.0);
	g_assert_cmpuint(backpressure_export(local, 0, &fact, 1), ==, 0);
	g_assert_true(backpressure_find(local, USEC_PER_SEC, SERVER, &fact));
	g_assert_cmpint(fact.cold_usec, ==, 2 * USEC_PER_SEC);
	backpressure_merge(home, 0, &fact);
	g_assert_cmpuint(count_granted(home, &now, USEC_PER_SEC), <=, 10);
	/* Merging the fact again does not extend it, or it would never end. */
	backpressure_merge(home, now, &fact);
	now = 2 * USEC_PER_SEC;
	g_assert_cmpuint(count_granted(home, &now, USEC_PER_SEC), ==, 200);
	backpressure_prune(home, now, exists, &(uint64_t){SERVER});
	g_assert_false(backpressure_find(home, now, SERVER, &fact));
	backpressure_destroy(local);
	backpressure_destroy(home);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/coord/backpressure/ends-with-an-answer-without-it",
			test_ends_with_an_answer_without_it);
	g_test_add_func("/coord/backpressure/younger-goes-first",
			test_newer_wins);
	g_test_add_func("/coord/backpressure/grants-at-the-limit",
			test_grants_at_the_limit);
	g_test_add_func("/coord/backpressure/takes-nothing",
			test_limit_of_zero);
	g_test_add_func("/coord/backpressure/forgets", test_prunes);
	g_test_add_func("/coord/backpressure/leaving-is-for-good",
			test_leaving_is_final);
	g_test_add_func("/coord/backpressure/longest-rest-holds",
			test_longest_backoff_applies);
	g_test_add_func("/coord/backpressure/cold-is-a-limit",
			test_cold_is_a_limit);
	g_test_add_func("/coord/backpressure/cold-is-asked-with",
			test_cold_with_permit_request);
	g_test_add_func("/coord/backpressure/tells-in-turn", test_exports_all);
	return g_test_run();
}
