/* Requests that crash servers: held, cleared, evicted, and merged. */
#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "coord/quarantine.h"

#define NOW (100 * USEC_PER_SEC)
#define INSTANCES 6

static const struct quarantine_settings small = {
	.crash_threshold = 3,
	.held_max = 4,
	.suspects_max = 8,
};

static struct request_fingerprint fingerprint_make(uint64_t n)
{
	return (struct request_fingerprint){n, n << 1};
}

/* Records crashes of count different servers that ran request n. */
static void crash_servers(struct quarantine *quarantine, uint64_t n, int count)
{
	struct request_fingerprint id = fingerprint_make(n);

	for (int i = 0; i < count; i++)
		quarantine_record_crash(quarantine, &id, n, 1000 + (uint64_t)i,
					NOW);
}

static bool holds(const struct quarantine *quarantine, uint64_t n)
{
	struct request_fingerprint id = fingerprint_make(n);

	return quarantine_holds(quarantine, &id);
}

/* A request is held from the third server on; each server counts once. */
static void test_crash_threshold(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct request_fingerprint id = fingerprint_make(1);

	g_assert_true(quarantine_empty(quarantine));
	g_assert_true(quarantine_record_crash(quarantine, &id, 1, 5, NOW));
	g_assert_false(quarantine_record_crash(quarantine, &id, 1, 5, NOW));
	g_assert_true(quarantine_record_crash(quarantine, &id, 1, 4, NOW));
	g_assert_false(holds(quarantine, 1));
	g_assert_cmpuint(quarantine_suspects(quarantine), ==, 1);
	g_assert_true(quarantine_record_crash(quarantine, &id, 1, 6, NOW));
	g_assert_true(holds(quarantine, 1));
	g_assert_cmpuint(quarantine_held(quarantine), ==, 1);
	g_assert_cmpuint(quarantine_suspects(quarantine), ==, 0);
	/* Time does not release it. */
	g_assert_false(
		quarantine_record_crash(quarantine, &id, 1, 6, NOW * 1000000));
	g_assert_true(holds(quarantine, 1));
	g_assert_false(holds(quarantine, 2));
	quarantine_destroy(quarantine);
}

/* Crashes are not recorded for a request that succeeded within the last minute:
 * a popular request may run on several servers that crash at the same time. */
static void test_succeeded(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct request_fingerprint id = fingerprint_make(1);

	quarantine_record_success(quarantine, 1, NOW);
	crash_servers(quarantine, 1, 3);
	g_assert_true(quarantine_empty(quarantine));
	g_assert_true(quarantine_has_succeeded(quarantine, 1, NOW));
	g_assert_false(quarantine_has_succeeded(quarantine, 1,
						NOW + 61 * USEC_PER_SEC));
	g_assert_true(quarantine_record_crash(quarantine, &id, 1, 5,
					      NOW + 61 * USEC_PER_SEC));
	/* A crash of another request in the same slot is recorded. */
	quarantine_record_success(quarantine, 2, NOW);
	crash_servers(quarantine, 2 + 8192, 3);
	g_assert_true(holds(quarantine, 2 + 8192));
	quarantine_destroy(quarantine);
}

/* A request that succeeded is neither suspect nor held, and entries from before
 * it was cleared are ignored when they are merged again. */
static void test_cleared(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct request_fingerprint id = fingerprint_make(1);
	struct quarantine_entry early;

	g_assert_false(quarantine_clear(quarantine, &id));
	crash_servers(quarantine, 1, 2);
	early = *quarantine_find(quarantine, &id);
	g_assert_true(quarantine_clear(quarantine, &id));
	g_assert_false(quarantine_clear(quarantine, &id));
	g_assert_false(quarantine_merge(quarantine, &early, NOW));
	crash_servers(quarantine, 1, 2);
	g_assert_false(holds(quarantine, 1));
	crash_servers(quarantine, 1, 3);
	g_assert_true(holds(quarantine, 1));
	g_assert_true(quarantine_clear(quarantine, &id));
	g_assert_false(holds(quarantine, 1));
	quarantine_destroy(quarantine);
}

/* A flood of suspects evicts no held request; the oldest of each are evicted
 * first. */
static void test_bounds(void)
{
	struct quarantine *quarantine = quarantine_create(&small);

	crash_servers(quarantine, 1, 3);
	for (uint64_t n = 100; n < 1100; n++)
		crash_servers(quarantine, n, 2);
	g_assert_true(holds(quarantine, 1));
	g_assert_cmpuint(quarantine_suspects(quarantine), ==, 8);
	for (uint64_t n = 2; n < 6; n++)
		crash_servers(quarantine, n, 3);
	g_assert_cmpuint(quarantine_held(quarantine), ==, 4);
	g_assert_false(holds(quarantine, 1));
	g_assert_true(holds(quarantine, 5));
	quarantine_destroy(quarantine);
}

/* A flood of requests that lost one server each evicts none that lost two. */
static void test_flood(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct request_fingerprint id = fingerprint_make(1);

	crash_servers(quarantine, 1, 2);
	for (uint64_t n = 100; n < 1100; n++)
		crash_servers(quarantine, n, 1);
	g_assert_cmpuint(quarantine_suspects(quarantine), ==,
			 small.suspects_max);
	g_assert_true(quarantine_record_crash(quarantine, &id, 1, 2000, NOW));
	g_assert_true(holds(quarantine, 1));
	quarantine_destroy(quarantine);
}

/* Invalid entries are dropped. */
static void test_malformed(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct quarantine_entry entry = {.fingerprint = fingerprint_make(1)};

	g_assert_false(quarantine_merge(quarantine, &entry, NOW));
	entry.count = QUARANTINE_CRASHES_MAX + 1;
	g_assert_false(quarantine_merge(quarantine, &entry, NOW));
	g_assert_true(quarantine_empty(quarantine));
	quarantine_destroy(quarantine);
}

/* A held request is written to the store once, and deleted once cleared. */
/* The store has lost its last writes: what is held, or was cleared, is written
 * again, whatever peers say of it. */
static void test_store_lost(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct request_fingerprint first = fingerprint_make(1);
	struct request_fingerprint second = fingerprint_make(2);
	struct quarantine_entry entry;

	crash_servers(quarantine, 1, 3);
	crash_servers(quarantine, 2, 3);
	quarantine_stored(quarantine, &first, true);
	quarantine_stored(quarantine, &second, true);
	g_assert_true(quarantine_clear(quarantine, &second));
	quarantine_stored(quarantine, &second, false);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	quarantine_store_lost(quarantine);
	entry = *quarantine_find(quarantine, &first);
	entry.stored = true;
	quarantine_merge(quarantine, &entry, NOW);
	g_assert_true(quarantine_unstored(quarantine, &entry));
	g_assert_true(fingerprint_same(&entry.fingerprint, &first));
	quarantine_stored(quarantine, &first, true);
	g_assert_true(quarantine_unstored(quarantine, &entry));
	g_assert_true(fingerprint_same(&entry.fingerprint, &second));
	quarantine_stored(quarantine, &second, false);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	quarantine_destroy(quarantine);
}

static void test_stored(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct quarantine_entry entry;
	struct request_fingerprint id = fingerprint_make(1);

	crash_servers(quarantine, 1, 2);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	crash_servers(quarantine, 1, 3);
	g_assert_true(quarantine_unstored(quarantine, &entry));
	g_assert_true(fingerprint_same(&entry.fingerprint, &id));
	quarantine_stored(quarantine, &id, true);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	/* Further crashes need no further write. */
	crash_servers(quarantine, 1, 5);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	entry = *quarantine_find(quarantine, &id);
	g_assert_true(quarantine_clear(quarantine, &id));
	g_assert_true(quarantine_unstored(quarantine, &entry));
	quarantine_stored(quarantine, &id, false);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	/* An outdated entry from an instance that does not know of the clear.
	 */
	entry.stored = true;
	quarantine_merge(quarantine, &entry, NOW);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	quarantine_destroy(quarantine);
}

/* Successive calls return all entries, a few at a time. */
static void test_next(void)
{
	const struct quarantine_settings large = {3, 64, 64};
	struct quarantine *quarantine = quarantine_create(&large);
	struct quarantine_entry entries[4];
	bool seen[21] = {false};

	g_assert_cmpuint(quarantine_next(quarantine, entries, 4), ==, 0);
	for (uint64_t n = 1; n <= 20; n++)
		crash_servers(quarantine, n, 1);
	for (int i = 0; i < 5; i++) {
		g_assert_cmpuint(quarantine_next(quarantine, entries, 4), ==,
				 4);
		for (int k = 0; k < 4; k++)
			seen[entries[k].fingerprint.high] = true;
	}
	for (int n = 1; n <= 20; n++)
		g_assert_true(seen[n]);
	quarantine_destroy(quarantine);
}

/* Instances converge to the same held requests whatever each one records, and
 * in whatever order and however often they exchange entries. */
static void test_converges(void)
{
	const struct quarantine_settings large = {3, 64, 64};
	struct quarantine *all[INSTANCES];

	for (int i = 0; i < INSTANCES; i++)
		all[i] = quarantine_create(&large);
	for (int i = 0; i < 3000; i++) {
		struct quarantine *one =
			all[g_test_rand_int_range(0, INSTANCES)];
		struct quarantine *other =
			all[g_test_rand_int_range(0, INSTANCES)];
		struct request_fingerprint id = fingerprint_make(
			(uint64_t)g_test_rand_int_range(1, 20));
		const struct quarantine_entry *entry =
			quarantine_find(one, &id);
		int what = g_test_rand_int_range(0, 20);

		if (what == 0)
			quarantine_clear(one, &id);
		else if (what < 4)
			quarantine_record_crash(
				one, &id, id.low,
				(uint64_t)g_test_rand_int_range(1, 9), NOW);
		else if (entry && one != other)
			quarantine_merge(other, entry, NOW);
	}
	for (int round = 0; round < INSTANCES; round++)
		for (int i = 0; i < INSTANCES; i++) {
			struct quarantine_entry entries[64];
			uint32_t count = quarantine_next(all[i], entries, 64);

			for (uint32_t k = 0; k < count; k++)
				quarantine_merge(all[(i + 1) % INSTANCES],
						 &entries[k], NOW);
		}
	for (uint64_t n = 1; n < 20; n++)
		for (int i = 1; i < INSTANCES; i++)
			g_assert_cmpint(holds(all[i], n), ==, holds(all[0], n));
	for (int i = 0; i < INSTANCES; i++)
		quarantine_destroy(all[i]);
}

/* The same bytes split into other parts give another fingerprint. */
static void test_identity(void)
{
	const struct fingerprint_part one[] = {
		{"POST", 4}, {"/a", 2}, {"b", 1}};
	const struct fingerprint_part moved[] = {
		{"POST", 4}, {"/", 1}, {"ab", 2}};
	const struct fingerprint_part empty[] = {
		{"POST", 4}, {"/a", 2}, {NULL, 0}};
	struct request_fingerprint a = fingerprint_of(one, 3);
	struct request_fingerprint same = fingerprint_of(one, 3);
	struct request_fingerprint b = fingerprint_of(moved, 3);
	struct request_fingerprint c = fingerprint_of(empty, 3);

	g_assert_true(fingerprint_same(&a, &same));
	g_assert_false(fingerprint_same(&a, &b));
	g_assert_false(fingerprint_same(&a, &c));
	g_assert_cmpuint(keyed_hash_of(one, 3, 7), ==,
			 keyed_hash_of(one, 3, 7));
	g_assert_cmpuint(keyed_hash_of(one, 3, 7), !=,
			 keyed_hash_of(one, 3, 8));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quarantine/third", test_crash_threshold);
	g_test_add_func("/quarantine/proved", test_succeeded);
	g_test_add_func("/quarantine/cleared", test_cleared);
	g_test_add_func("/quarantine/bounds", test_bounds);
	g_test_add_func("/quarantine/flood", test_flood);
	g_test_add_func("/quarantine/malformed", test_malformed);
	g_test_add_func("/quarantine/stored", test_stored);
	g_test_add_func("/quarantine/store-lost", test_store_lost);
	g_test_add_func("/quarantine/next", test_next);
	g_test_add_func("/quarantine/converges", test_converges);
	g_test_add_func("/quarantine/identity", test_identity);
	return g_test_run();
}
