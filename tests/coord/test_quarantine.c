/* Works under which servers ended: who is held, cleared, let go, and told. */
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

static struct request_fingerprint work(uint64_t n)
{
	return (struct request_fingerprint){n, n};
}

/* Servers of a work that ended one after the other, seen by one instance. */
static void end_servers(struct quarantine *quarantine, uint64_t n, int count)
{
	struct request_fingerprint id = work(n);

	for (int i = 0; i < count; i++)
		quarantine_record_crash(quarantine, &id, n, 1000 + (uint64_t)i,
					NOW);
}

static bool holds(const struct quarantine *quarantine, uint64_t n)
{
	struct request_fingerprint id = work(n);

	return quarantine_holds(quarantine, &id);
}

/* Held from the third server on, each counted once however many say so. */
static void test_third(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct request_fingerprint id = work(1);

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
	/* Nor does time release it. */
	g_assert_false(
		quarantine_record_crash(quarantine, &id, 1, 6, NOW * 1000000));
	g_assert_true(holds(quarantine, 1));
	g_assert_false(holds(quarantine, 2));
	quarantine_destroy(quarantine);
}

/* What ran to its end lately is not blamed: many ask for it, so several servers
 * that end in one moment are running it. A minute later it may be. */
static void test_proved(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct request_fingerprint id = work(1);

	quarantine_record_success(quarantine, 1, NOW);
	end_servers(quarantine, 1, 3);
	g_assert_true(quarantine_empty(quarantine));
	g_assert_true(quarantine_has_succeeded(quarantine, 1, NOW));
	g_assert_false(quarantine_has_succeeded(quarantine, 1,
						NOW + 61 * USEC_PER_SEC));
	g_assert_true(quarantine_record_crash(quarantine, &id, 1, 5,
					      NOW + 61 * USEC_PER_SEC));
	/* Another one is blamed although its mark falls on the same slot. */
	quarantine_record_success(quarantine, 2, NOW);
	end_servers(quarantine, 2 + 4096, 3);
	g_assert_true(holds(quarantine, 2 + 4096));
	quarantine_destroy(quarantine);
}

/* A work that ran to its end is no more suspected, nor held if it was; what was
 * said of it before counts no more, whoever says it again. */
static void test_cleared(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct request_fingerprint id = work(1);
	struct quarantine_entry early;

	g_assert_false(quarantine_clear(quarantine, &id));
	end_servers(quarantine, 1, 2);
	early = *quarantine_find(quarantine, &id);
	g_assert_true(quarantine_clear(quarantine, &id));
	g_assert_false(quarantine_clear(quarantine, &id));
	g_assert_false(quarantine_merge(quarantine, &early));
	end_servers(quarantine, 1, 2);
	g_assert_false(holds(quarantine, 1));
	end_servers(quarantine, 1, 3);
	g_assert_true(holds(quarantine, 1));
	g_assert_true(quarantine_clear(quarantine, &id));
	g_assert_false(holds(quarantine, 1));
	quarantine_destroy(quarantine);
}

/* A flood of suspects drops nothing that is held; of each the oldest go. */
static void test_bounds(void)
{
	struct quarantine *quarantine = quarantine_create(&small);

	end_servers(quarantine, 1, 3);
	for (uint64_t n = 100; n < 1100; n++)
		end_servers(quarantine, n, 2);
	g_assert_true(holds(quarantine, 1));
	g_assert_cmpuint(quarantine_suspects(quarantine), ==, 8);
	for (uint64_t n = 2; n < 6; n++)
		end_servers(quarantine, n, 3);
	g_assert_cmpuint(quarantine_held(quarantine), ==, 4);
	g_assert_false(holds(quarantine, 1));
	g_assert_true(holds(quarantine, 5));
	quarantine_destroy(quarantine);
}

/* Entries that no instance writes. */
static void test_malformed(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct quarantine_entry entry = {.fingerprint = work(1)};

	g_assert_false(quarantine_merge(quarantine, &entry));
	entry.count = QUARANTINE_CRASHES_MAX + 1;
	g_assert_false(quarantine_merge(quarantine, &entry));
	g_assert_true(quarantine_empty(quarantine));
	quarantine_destroy(quarantine);
}

/* What is held is to be written once, and dropped once it is cleared. */
static void test_stored(void)
{
	struct quarantine *quarantine = quarantine_create(&small);
	struct quarantine_entry entry;
	struct request_fingerprint id = work(1);

	end_servers(quarantine, 1, 2);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	end_servers(quarantine, 1, 3);
	g_assert_true(quarantine_unstored(quarantine, &entry));
	g_assert_true(fingerprint_same(&entry.fingerprint, &id));
	quarantine_stored(quarantine, &id, true);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	/* More servers say nothing that matters. */
	end_servers(quarantine, 1, 5);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	entry = *quarantine_find(quarantine, &id);
	g_assert_true(quarantine_clear(quarantine, &id));
	g_assert_true(quarantine_unstored(quarantine, &entry));
	quarantine_stored(quarantine, &id, false);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	/* Somebody who does not know that yet. */
	entry.stored = true;
	quarantine_merge(quarantine, &entry);
	g_assert_false(quarantine_unstored(quarantine, &entry));
	quarantine_destroy(quarantine);
}

/* All entries are handed out in turn, a few at a time. */
static void test_next(void)
{
	const struct quarantine_settings large = {3, 64, 64};
	struct quarantine *quarantine = quarantine_create(&large);
	struct quarantine_entry entries[4];
	bool seen[21] = {false};

	g_assert_cmpuint(quarantine_next(quarantine, entries, 4), ==, 0);
	for (uint64_t n = 1; n <= 20; n++)
		end_servers(quarantine, n, 1);
	for (int i = 0; i < 5; i++) {
		g_assert_cmpuint(quarantine_next(quarantine, entries, 4), ==,
				 4);
		for (int k = 0; k < 4; k++)
			seen[entries[k].fingerprint.low] = true;
	}
	for (int n = 1; n <= 20; n++)
		g_assert_true(seen[n]);
	quarantine_destroy(quarantine);
}

/* Whatever instances find, and in whatever order they tell each other and how
 * often, they come to hold the same works. */
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
		struct request_fingerprint id =
			work((uint64_t)g_test_rand_int_range(1, 20));
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
			quarantine_merge(other, entry);
	}
	for (int round = 0; round < INSTANCES; round++)
		for (int i = 0; i < INSTANCES; i++) {
			struct quarantine_entry entries[64];
			uint32_t count = quarantine_next(all[i], entries, 64);

			for (uint32_t k = 0; k < count; k++)
				quarantine_merge(all[(i + 1) % INSTANCES],
						 &entries[k]);
		}
	for (uint64_t n = 1; n < 20; n++)
		for (int i = 1; i < INSTANCES; i++)
			g_assert_cmpint(holds(all[i], n), ==, holds(all[0], n));
	for (int i = 0; i < INSTANCES; i++)
		quarantine_destroy(all[i]);
}

/* The same bytes parted otherwise, or of another caller, are other work. */
static void test_identity(void)
{
	const struct fingerprint_part one[] = {
		{"POST", 4}, {"/a", 2}, {"b", 1}};
	const struct fingerprint_part moved[] = {
		{"POST", 4}, {"/", 1}, {"ab", 2}};
	const struct fingerprint_part empty[] = {
		{"POST", 4}, {"/a", 2}, {NULL, 0}};
	struct request_fingerprint a = fingerprint_of(one, 3);
	struct request_fingerprint again = fingerprint_of(one, 3);
	struct request_fingerprint b = fingerprint_of(moved, 3);
	struct request_fingerprint c = fingerprint_of(empty, 3);

	g_assert_true(fingerprint_same(&a, &again));
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
	g_test_add_func("/quarantine/third", test_third);
	g_test_add_func("/quarantine/proved", test_proved);
	g_test_add_func("/quarantine/cleared", test_cleared);
	g_test_add_func("/quarantine/bounds", test_bounds);
	g_test_add_func("/quarantine/malformed", test_malformed);
	g_test_add_func("/quarantine/stored", test_stored);
	g_test_add_func("/quarantine/next", test_next);
	g_test_add_func("/quarantine/converges", test_converges);
	g_test_add_func("/quarantine/identity", test_identity);
	return g_test_run();
}
