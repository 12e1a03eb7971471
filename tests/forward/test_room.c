/*
 * How claims of decode memory change where a stream is placed. A stream that
 * took claimed memory would let a deferrable one pass an urgent one; a stream
 * that is placed otherwise without claims would change deployments that do not
 * rank streams.
 */
#include <glib.h>

#include "forward/overload.h"
#include "place_site.h"

#define TOKENS 3000u
#define SEED 5

static const struct engine_traits engine = {.slots = 12,
					    .memory_tokens = 10000};

static struct backend *decode(const struct site *site,
			      const struct precedence *precedence,
			      uint32_t rank)
{
	struct place place = site->place;

	place.precedence = precedence;
	place.rank = rank;
	place.request = 1;
	return place_decode(&place, &engine, TOKENS);
}

static void claim(struct precedence *precedence, const struct site *site,
		  const struct backend *backend, uint32_t tokens)
{
	const struct room_claim one = {9, 1, backend->key, tokens,
				       PRECEDENCE_CLAIM_USEC};

	precedence_claim(precedence, site->place.now, &one, 4);
}

/* Lower ranks leave the claimed room free, and use it once the claim ends. */
static void test_claimed(void)
{
	struct precedence *precedence = precedence_create();
	struct site site;
	struct backend *a;

	site_open(&site);
	a = site_add(&site, "a", STAGE_DECODE, "here");
	g_assert_true(decode(&site, precedence, 2) == a);
	claim(precedence, &site, a, 7000);
	g_assert_true(decode(&site, precedence, 2) == a);
	claim(precedence, &site, a, 7001);
	g_assert_null(decode(&site, precedence, 2));
	g_assert_true(decode(&site, precedence, 1) == a);
	g_assert_true(decode(&site, precedence, 0) == a);
	g_assert_true(decode(&site, NULL, 2) == a);
	site_wait(&site, PRECEDENCE_CLAIM_USEC);
	g_assert_true(decode(&site, precedence, 2) == a);
	site_close(&site);
	precedence_destroy(precedence);
}

/* Requests of the same rank prefer servers that nobody has claimed. */
static void test_contended(void)
{
	struct precedence *precedence = precedence_create();
	struct site site;
	struct backend *a;
	struct backend *b;

	site_open(&site);
	a = site_add(&site, "a", STAGE_DECODE, "here");
	b = site_add(&site, "b", STAGE_DECODE, "here");
	claim(precedence, &site, a, 5000);
	for (int i = 0; i < 20; i++)
		g_assert_true(decode(&site, precedence, 1) == b);
	claim(precedence, &site, a, 0);
	claim(precedence, &site, b, 5000);
	for (int i = 0; i < 20; i++)
		g_assert_true(decode(&site, precedence, 2) == a);
	site_close(&site);
	precedence_destroy(precedence);
}

/* A table without claims makes the same choices, by the same random draws, as
 * none. */
static void test_none(void)
{
	struct precedence *precedence = precedence_create();
	GRand *one = g_rand_new_with_seed(SEED);
	GRand *other = g_rand_new_with_seed(SEED);
	struct site site;

	site_open(&site);
	site_add(&site, "a", STAGE_DECODE, "here");
	site_add(&site, "b", STAGE_DECODE, "here");
	site_add(&site, "c", STAGE_DECODE, "here");
	for (int i = 0; i < 100; i++) {
		GRand *rand = site.place.rand;
		struct backend *first;

		site.place.rand = one;
		first = decode(&site, NULL, 0);
		site.place.rand = other;
		g_assert_true(first == decode(&site, precedence, 3));
		site.place.rand = rand;
	}
	g_assert_cmpuint(g_rand_int(one), ==, g_rand_int(other));
	site_close(&site);
	g_rand_free(one);
	g_rand_free(other);
	precedence_destroy(precedence);
}

/* Route priority decides among equally urgent ones, before the cost. */
static void test_order(void)
{
	struct overload_caller one = {.urgency = 1, .priority = 0, .weight = 2};
	struct overload_caller other = {
		.urgency = 1, .priority = 1, .weight = 0.5};

	g_assert_cmpint(overload_compare(&one, &other), <, 0);
	other.urgency = 0;
	g_assert_cmpint(overload_compare(&one, &other), >, 0);
	other = one;
	other.weight = 1;
	g_assert_cmpint(overload_compare(&one, &other), >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/room/claimed", test_claimed);
	g_test_add_func("/forward/room/contended", test_contended);
	g_test_add_func("/forward/room/none", test_none);
	g_test_add_func("/forward/room/order", test_order);
	return g_test_run();
}
