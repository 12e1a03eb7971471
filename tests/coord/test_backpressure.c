/* What servers ask for: whose word holds, and what a home grants. */
#include <glib.h>

#include "common/clock.h"
#include "coord/backpressure.h"

#define SERVER 7
#define OTHER 8

static const struct backpressure_signals none = {.of_request = true};

static void named(struct backpressure *table, int64_t now, double limit)
{
	const struct backpressure_signals signals = {
		.limited = true, .limit = limit, .of_request = true};

	backpressure_answer(table, now, SERVER, &signals);
}

static void test_ends_with_an_answer_without_it(void)
{
	struct backpressure *table = backpressure_create();
	const struct backpressure_signals call = {.of_request = false};

	named(table, 0, 5.0);
	g_assert_cmpfloat(backpressure_limit(table, SERVER), ==, 5.0);
	g_assert_cmpuint(backpressure_limited(table), ==, 1);
	/* One that overtook another ends nothing, nor does a reservation. */
	g_assert_cmpuint(0, ==,
			 backpressure_answer(table,
					     BACKPRESSURE_SETTLE_USEC - 1,
					     SERVER, &none));
	g_assert_cmpuint(
		0, ==, backpressure_answer(table, USEC_PER_SEC, SERVER, &call));
	g_assert_cmpuint(
		0, ==, backpressure_answer(table, USEC_PER_SEC, OTHER, &none));
	g_assert_cmpuint(
		BACKPRESSURE_LIMIT, ==,
		backpressure_answer(table, USEC_PER_SEC, SERVER, &none));
	g_assert_cmpfloat(backpressure_limit(table, SERVER), <, 0.0);
	g_assert_cmpuint(backpressure_limited(table), ==, 0);
	backpressure_destroy(table);
}

static void test_younger_goes_first(void)
{
	struct backpressure *table = backpressure_create();
	struct backpressure_fact fact = {
		.server = SERVER, .limit = 3.0, .age_usec = USEC_PER_SEC};
	struct backpressure_fact known;

	named(table, 10 * USEC_PER_SEC, 5.0);
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
	/* That it ended is told too, or an older message would bring it back.
	 */
	g_assert_cmpuint(
		backpressure_export(table, 12 * USEC_PER_SEC, &known, 1), ==,
		1);
	g_assert_cmpfloat(known.limit, <, 0.0);
	fact.server = OTHER;
	g_assert_cmpuint(0, ==,
			 backpressure_merge(table, 12 * USEC_PER_SEC, &fact));
	backpressure_destroy(table);
}

static guint granted(struct backpressure *table, int64_t *now, int64_t usec)
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
	named(table, now, 4.7);
	/* Who begins to count grants nothing at once. */
	g_assert_false(backpressure_grant(table, now, SERVER, &retry));
	g_assert_cmpint(retry, ==, (int64_t)(USEC_PER_SEC / 4.7) + 1);
	g_assert_false(backpressure_grant(table, now, SERVER, &retry));
	g_assert_cmpint(retry, >, (int64_t)(USEC_PER_SEC / 4.7) + 1);
	g_assert_cmpuint(granted(table, &now, 10 * USEC_PER_SEC), ==, 46);
	/* A pause is made up for by half a second's at the most. */
	now += 60 * USEC_PER_SEC;
	g_assert_cmpuint(granted(table, &now, USEC_PER_SEC), <=, 7);
	/* Each that is denied is told a later time, up to a second. */
	for (int i = 0; i < 100; i++)
		backpressure_grant(table, now, SERVER, &retry);
	g_assert_cmpint(retry, ==, USEC_PER_SEC);
	backpressure_destroy(table);
}

static void test_takes_nothing(void)
{
	struct backpressure *table = backpressure_create();
	int64_t now = 0;

	named(table, now, 0.0);
	g_assert_cmpuint(granted(table, &now, 20 * USEC_PER_SEC), ==, 4);
	backpressure_destroy(table);
}

static bool exists(void *ctx, uint64_t server)
{
	return server == *(uint64_t *)ctx;
}

static void test_forgets(void)
{
	struct backpressure *table = backpressure_create();
	const struct backpressure_fact other = {.server = OTHER, .limit = 2.0};
	struct backpressure_fact facts[4];
	uint64_t listed = SERVER;
	int64_t now = 61 * USEC_PER_SEC;

	named(table, 0, 5.0);
	backpressure_merge(table, 0, &other);
	/* Nobody need be told of what all have heard. */
	g_assert_cmpuint(backpressure_export(table, now, facts, 4), ==, 0);
	backpressure_prune(table, USEC_PER_SEC, exists, &listed);
	g_assert_cmpuint(backpressure_limited(table), ==, 2);
	backpressure_prune(table, now, exists, &listed);
	g_assert_cmpfloat(backpressure_limit(table, OTHER), <, 0.0);
	g_assert_cmpfloat(backpressure_limit(table, SERVER), ==, 5.0);
	backpressure_answer(table, now, SERVER, &none);
	backpressure_prune(table, now + 30 * USEC_PER_SEC, exists, &listed);
	g_assert_false(backpressure_find(table, now, SERVER, facts));
	backpressure_destroy(table);
}

static void test_leaving_is_for_good(void)
{
	struct backpressure *here = backpressure_create();
	struct backpressure *there = backpressure_create();
	const struct backpressure_signals leaves = {.leaving = true};
	struct backpressure_fact fact;

	g_assert_cmpuint(backpressure_answer(here, 1, SERVER, &leaves), ==,
			 BACKPRESSURE_LEAVING);
	g_assert_cmpuint(backpressure_answer(here, 2, SERVER, &leaves), ==, 0);
	g_assert_cmpuint(backpressure_answer(here, USEC_PER_SEC, SERVER, &none),
			 ==, 0);
	g_assert_true(backpressure_leaving(here, SERVER));
	g_assert_false(backpressure_leaving(here, OTHER));
	/* Others hear of it, which says nothing of its limit. */
	g_assert_cmpuint(backpressure_export(here, 3, &fact, 1), ==, 1);
	named(there, 1, 5.0);
	g_assert_cmpuint(backpressure_merge(there, 4, &fact), ==,
			 BACKPRESSURE_LEAVING);
	g_assert_true(backpressure_leaving(there, SERVER));
	g_assert_cmpfloat(backpressure_limit(there, SERVER), ==, 5.0);
	backpressure_destroy(here);
	backpressure_destroy(there);
}

static void test_longest_rest_holds(void)
{
	struct backpressure *table = backpressure_create();
	struct backpressure_signals rest = {.backoff_usec = 3 * USEC_PER_SEC};
	struct backpressure_fact fact;

	g_assert_cmpint(backpressure_backoff(table, SERVER), ==, 0);
	g_assert_cmpuint(backpressure_answer(table, 10, SERVER, &rest), ==,
			 BACKPRESSURE_BACKOFF);
	rest.backoff_usec = USEC_PER_SEC;
	g_assert_cmpuint(backpressure_answer(table, 20, SERVER, &rest), ==, 0);
	g_assert_cmpint(backpressure_backoff(table, SERVER), ==,
			10 + 3 * USEC_PER_SEC);
	/* It is between the two alone. */
	g_assert_cmpuint(backpressure_export(table, 20, &fact, 1), ==, 0);
	backpressure_destroy(table);
}

static void test_tells_in_turn(void)
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
	g_assert_cmpuint(granted(table, &now, USEC_PER_SEC), <=, 10);
	g_assert_cmpuint(granted(table, &now, USEC_PER_SEC), ==, 10);
	/* What was said before ends no sooner by a shorter time. */
	backpressure_cold(table, now + 1, SERVER, 1.0);
	g_assert_cmpuint(granted(table, &now, USEC_PER_SEC), ==, 10);
	g_assert_cmpuint(granted(table, &now, USEC_PER_SEC), ==, 200);
	/* The lower limit counts, and what it has named is still known. */
	named(table, now, 4.0);
	backpressure_cold(table, now + 30 * USEC_PER_SEC, SERVER, 10.0);
	g_assert_cmpfloat(backpressure_limit(table, SERVER), ==, 4.0);
	g_assert_cmpuint(granted(table, &now, 10 * USEC_PER_SEC), <=, 42);
	backpressure_destroy(table);
}

/* The home of a server hears that it is cold from who asks for a permit. */
static void test_cold_is_asked_with(void)
{
	struct backpressure *here = backpressure_create();
	struct backpressure *home = backpressure_create();
	struct backpressure_fact fact;
	int64_t now = 0;

	backpressure_cold(here, 3 * USEC_PER_SEC, SERVER, 10.0);
	g_assert_cmpuint(backpressure_export(here, 0, &fact, 1), ==, 0);
	g_assert_true(backpressure_find(here, USEC_PER_SEC, SERVER, &fact));
	g_assert_cmpint(fact.cold_usec, ==, 2 * USEC_PER_SEC);
	backpressure_merge(home, 0, &fact);
	g_assert_cmpuint(granted(home, &now, USEC_PER_SEC), <=, 10);
	/* Heard again it lasts no longer, or it would never end. */
	backpressure_merge(home, now, &fact);
	now = 2 * USEC_PER_SEC;
	g_assert_cmpuint(granted(home, &now, USEC_PER_SEC), ==, 200);
	backpressure_prune(home, now, exists, &(uint64_t){SERVER});
	g_assert_false(backpressure_find(home, now, SERVER, &fact));
	backpressure_destroy(here);
	backpressure_destroy(home);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/coord/backpressure/ends-with-an-answer-without-it",
			test_ends_with_an_answer_without_it);
	g_test_add_func("/coord/backpressure/younger-goes-first",
			test_younger_goes_first);
	g_test_add_func("/coord/backpressure/grants-at-the-limit",
			test_grants_at_the_limit);
	g_test_add_func("/coord/backpressure/takes-nothing",
			test_takes_nothing);
	g_test_add_func("/coord/backpressure/forgets", test_forgets);
	g_test_add_func("/coord/backpressure/leaving-is-for-good",
			test_leaving_is_for_good);
	g_test_add_func("/coord/backpressure/longest-rest-holds",
			test_longest_rest_holds);
	g_test_add_func("/coord/backpressure/cold-is-a-limit",
			test_cold_is_a_limit);
	g_test_add_func("/coord/backpressure/cold-is-asked-with",
			test_cold_is_asked_with);
	g_test_add_func("/coord/backpressure/tells-in-turn",
			test_tells_in_turn);
	return g_test_run();
}
