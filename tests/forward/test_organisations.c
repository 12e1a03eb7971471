/*
 * Look-up of organisations by API key. "many" prints the memory and the time
 * per look-up at the size of a large site.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "common/clock.h"
#include "forward/organisation.h"

#define MANY 10000
#define KEYS 10

static void test_keys(void)
{
	struct organisations *all = organisations_create();
	struct organisation *a = organisation_add(all, "a");
	struct organisation *b = organisation_add(all, "b");

	g_assert_null(organisation_add(all, "a"));
	g_assert_true(organisation_add_key(all, a, "one", 3));
	g_assert_true(organisation_add_key(all, b, "two", 3));
	g_assert_false(organisation_add_key(all, b, "one", 3));
	g_assert_true(organisation_of_key(all, "one", 3) == a);
	g_assert_true(organisation_of_key(all, "two", 3) == b);
	g_assert_null(organisation_of_key(all, "One", 3));
	g_assert_null(organisation_of_key(all, "one ", 4));
	g_assert_null(organisation_of_key(all, NULL, 0));
	g_assert_true(organisation_find(all, a->id) == a);
	organisations_destroy(all);
}

static void test_units(void)
{
	struct organisation organisation = {.plain_tokens = 200};

	g_assert_cmpfloat(organisation_units(&organisation, 7000), ==, 1);
	organisation.by_tokens = true;
	g_assert_cmpfloat(organisation_units(&organisation, 7000), ==, 7000);
	g_assert_cmpfloat(organisation_units(&organisation, 0), ==, 200);
}

static size_t memory_used(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void test_many(void)
{
	size_t before = memory_used();
	gint64 began = g_get_monotonic_time();
	struct organisations *all = organisations_create();
	gint64 took;
	char text[32];

	for (int i = 0; i < MANY; i++) {
		struct organisation *organisation;

		(void)snprintf(text, sizeof(text), "organisation-%d", i);
		organisation = organisation_add(all, text);
		for (int k = 0; k < KEYS; k++) {
			int size =
				snprintf(text, sizeof(text), "key-%d-%d", i, k);

			g_assert_true(organisation_add_key(all, organisation,
							   text, (size_t)size));
		}
	}
	took = g_get_monotonic_time() - began;
	g_test_message("%d organisations, %d keys: %d ms, %d KiB", MANY,
		       MANY * KEYS, (int)(took / 1000),
		       (int)((memory_used() - before) / 1024));
	g_assert_cmpuint(organisations_count(all), ==, MANY);
	g_assert_nonnull(organisation_of_key(all, "key-9999-9", 10));
	began = g_get_monotonic_time();
	for (int i = 0; i < 100000; i++)
		g_assert_null(organisation_of_key(all, "no such key", 11));
	g_test_message("a look-up: %.2f us",
		       (double)(g_get_monotonic_time() - began) / 100000.0);
	organisations_destroy(all);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/organisations/keys", test_keys);
	g_test_add_func("/forward/organisations/units", test_units);
	g_test_add_func("/forward/organisations/many", test_many);
	return g_test_run();
}
