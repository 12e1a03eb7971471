/* Handles, generations and size limits of tables. */
#include <glib.h>

#include "common/table.h"

#define SLOTS 600u /* more than two chunks */

struct object {
	uint64_t number;
	char tail[5];
};

static void test_generation(void)
{
	struct table *table = table_create(sizeof(struct object), 1);
	uint64_t old, handle;
	struct object *object = table_add(table, &old);

	object->number = 7;
	g_assert_true(table_get(table, old) == object);
	g_assert_null(table_add(table, &handle));
	table_remove(table, old);
	g_assert_null(table_get(table, old));
	table_remove(table, old); /* a second removal has no effect */
	g_assert_cmpuint(table_count(table), ==, 0);
	object = table_add(table, &handle);
	g_assert_cmpuint(object->number, ==, 0);
	g_assert_cmpuint(handle, !=, old);
	g_assert_null(table_get(table, old));
	table_remove(table, old); /* a stale handle removes nothing */
	g_assert_true(table_get(table, handle) == object);
	g_assert_null(table_get(table, HANDLE_NONE));
	g_assert_null(table_get(table, UINT64_MAX));
	table_destroy(table);
}

/* Compares random additions and removals with a plain array; GLib prints the
 * seed. */
static void test_random(void)
{
	struct table *table = table_create(sizeof(struct object), SLOTS);
	uint64_t handles[SLOTS];
	struct object *objects[SLOTS];
	uint32_t count = 0;

	for (uint64_t step = 1; step < 20000; step++) {
		if (count < SLOTS && g_test_rand_int_range(0, 5) < 3) {
			objects[count] = table_add(table, &handles[count]);
			objects[count]->number = handles[count];
			count++;
		} else if (count) {
			uint32_t i = (uint32_t)g_test_rand_int_range(
				0, (gint32)count);

			table_remove(table, handles[i]);
			g_assert_null(table_get(table, handles[i]));
			handles[i] = handles[--count];
			objects[i] = objects[count];
		}
		g_assert_cmpuint(table_count(table), ==, count);
	}
	for (uint32_t i = 0; i < count; i++) {
		g_assert_true(table_get(table, handles[i]) == objects[i]);
		g_assert_cmpuint(objects[i]->number, ==, handles[i]);
	}
	table_destroy(table);
}

static void test_walk(void)
{
	struct table *table = table_create(sizeof(struct object), SLOTS);
	uint32_t cursor = 0, seen = 0;
	struct object *object;
	uint64_t handle;

	for (uint32_t i = 0; i < SLOTS; i++) {
		object = table_add(table, &handle);
		object->number = i;
	}
	g_assert_null(table_add(table, &handle));
	while ((object = table_next(table, &cursor, &handle))) {
		g_assert_true(table_get(table, handle) == object);
		g_assert_cmpuint(object->number, ==, seen++);
		table_remove(table, handle);
	}
	g_assert_cmpuint(seen, ==, SLOTS);
	g_assert_cmpuint(table_count(table), ==, 0);
	table_destroy(table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/table/generation", test_generation);
	g_test_add_func("/table/random", test_random);
	g_test_add_func("/table/walk", test_walk);
	return g_test_run();
}
