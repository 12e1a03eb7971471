/*
 * Copies of a stream whose store comes back from an older copy. A value is a
 * number that its writer counts up, and a text.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "common/position.h"
#include "forward/mirror.h"

#define RECORDS_MAX 8u
/* What was not written again by then is dropped. */
#define MERGE_MSEC 3000

struct copy {
	struct clock *clock;
	struct mirror *mirror;
	GHashTable *values; /* as delivered to its owner */
	GHashTable *listed; /* in the snapshot in progress, or NULL */
	feed_page_fn fn;
	void *fn_ctx;
	uint64_t from;
};

static void on_snapshot(void *ctx, const char *stream, const char *after,
			feed_page_fn fn, void *fn_ctx)
{
	struct copy *copy = ctx;

	copy->fn = fn;
	copy->fn_ctx = fn_ctx;
	copy->from = 0;
}

static void on_read(void *ctx, const char *stream, uint64_t from,
		    int64_t wait_usec, feed_page_fn fn, void *fn_ctx)
{
	on_snapshot(ctx, stream, NULL, fn, fn_ctx);
	((struct copy *)ctx)->from = from;
}

static void on_begin(void *ctx)
{
	struct copy *copy = ctx;

	copy->listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static gboolean is_unlisted(gpointer key, gpointer value, gpointer data)
{
	return !g_hash_table_contains(((struct copy *)data)->listed, key);
}

static void on_end(void *ctx)
{
	struct copy *copy = ctx;

	g_hash_table_foreach_remove(copy->values, is_unlisted, copy);
	g_hash_table_unref(copy->listed);
	copy->listed = NULL;
}

static enum mirror_effect on_value(void *ctx, uint64_t offset, const char *key,
				   const void *data, size_t size)
{
	struct copy *copy = ctx;
	char *text = data ? g_strndup(data, size) : NULL;
	bool same =
		g_strcmp0(g_hash_table_lookup(copy->values, key), text) == 0;

	if (copy->listed)
		g_hash_table_add(copy->listed, g_strdup(key));
	if (text)
		g_hash_table_replace(copy->values, g_strdup(key), text);
	else
		g_hash_table_remove(copy->values, key);
	return same ? MIRROR_UNCHANGED : MIRROR_CHANGED;
}

static bool on_newer(void *ctx, const void *before, size_t before_size,
		     const void *data, size_t size)
{
	g_autofree char *old = g_strndup(before, before_size);
	g_autofree char *new = g_strndup(data, size);

	return atoi(new) > atoi(old);
}

static void copy_open(struct copy *copy, struct clock *clock)
{
	static const struct mirror_ops ops = {
		.begin = on_begin,
		.end = on_end,
		.value = on_value,
		.newer = on_newer,
	};
	const struct feed_store store = {on_snapshot, on_read, copy};
	const struct feed_settings settings = {.stream = "s"};

	*copy = (struct copy){.clock = clock};
	copy->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	copy->mirror = mirror_create(clock, &store, &settings, &ops, copy);
	mirror_start(copy->mirror, MIRROR_STARTUP_READERS);
}

static void copy_close(struct copy *copy)
{
	mirror_destroy(copy->mirror);
	if (copy->fn)
		copy->fn(copy->fn_ctx, RESULT_LOG_DOWN, NULL);
	g_hash_table_destroy(copy->values);
}

/* Lets the copy read the store, which answers with "KEY=VALUE, ..."; a key
 * without a value was dropped. */
static void answer(struct copy *copy, const char *text, uint64_t next, bool gap)
{
	struct feed_record records[RECORDS_MAX] = {0};
	g_auto(GStrv) list = g_strsplit(text, ", ", -1);
	struct feed_page page = {
		.records = records, .next = next, .end = next, .gap = gap};
	feed_page_fn fn = copy->fn;

	for (; text[0] && list[page.count]; page.count++) {
		char *value = strchr(list[page.count], '=');
		struct feed_record *record = &records[page.count];

		*value++ = '\0';
		record->key = list[page.count];
		record->value = value[0] ? value : NULL;
		record->size = strlen(value);
	}
	for (size_t i = 0; i < page.count; i++)
		records[i].offset = next - page.count + i;
	g_assert_nonnull(fn);
	copy->fn = NULL;
	fn(copy->fn_ctx, RESULT_OK, &page);
}

static void read_store(struct copy *copy, const char *text, uint64_t next)
{
	const struct reader_place place = {.rank = 0};

	clock_advance(copy->clock, clock_now(copy->clock) + USEC_PER_SEC);
	mirror_tick(copy->mirror, &place);
	answer(copy, text, next, false);
}

/* The store answers that the position is not in its log, then with a snapshot.
 */
static void read_restored(struct copy *copy, const char *text, uint64_t next)
{
	const struct reader_place place = {.rank = 0};

	clock_advance(copy->clock, clock_now(copy->clock) + USEC_PER_SEC);
	mirror_tick(copy->mirror, &place);
	g_assert_cmpuint(copy->from, >, 0);
	answer(copy, "", 0, true);
	g_assert_cmpuint(copy->from, ==, 0);
	answer(copy, text, next, false);
}

static gint compare(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void values_check(const struct copy *copy, const char *expected)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
	g_autofree char *text = NULL;
	GHashTableIter iter;
	const char *key;
	const char *value;

	g_hash_table_iter_init(&iter, copy->values);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key,
				      (gpointer *)&value))
		g_ptr_array_add(list, g_strdup_printf("%s=%s", key, value));
	g_ptr_array_sort(list, compare);
	g_ptr_array_add(list, NULL);
	text = g_strjoinv(", ", (char **)list->pdata);
	g_assert_cmpstr(text, ==, expected);
}

static bool status_receive(struct copy *to, const struct copy *from)
{
	struct mirror_status status;

	mirror_status(from->mirror, &status);
	return mirror_merge_status(to->mirror, &status);
}

static void fetch(struct copy *to, const struct copy *from)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct error err;

	mirror_encode(from->mirror, mirror_position(to->mirror), out);
	g_assert_true(mirror_decode(to->mirror, out->data, out->len, &err));
}

/* What was known stays where the store's copy has older values. */
static void test_merged(void)
{
	struct clock *clock = clock_create(0);
	struct copy copy;

	copy_open(&copy, clock);
	read_store(&copy, "a=4 ready, b=6 ready, c=7 ready, d=9 ready",
		   position_make(1, 10));
	read_store(&copy, "a=5 leaving, d=", position_make(1, 12));
	values_check(&copy, "a=5 leaving, b=6 ready, c=7 ready");
	read_restored(&copy, "a=4 ready, b=8 leaving, d=9 ready, e=1 ready",
		      position_make(2, 8));
	values_check(&copy, "a=5 leaving, b=8 leaving, c=7 ready, e=1 ready");
	/* A server that was away for a moment writes again. */
	read_store(&copy, "d=10 ready, a=6 leaving", position_make(2, 10));
	values_check(&copy, "a=6 leaving, b=8 leaving, c=7 ready, d=10 ready, "
			    "e=1 ready");
	copy_close(&copy);
	clock_destroy(clock);
}

/* What is missing in the copy is gone unless it is written again. */
static void test_missing(void)
{
	struct clock *clock = clock_create(0);
	struct copy copy;

	copy_open(&copy, clock);
	read_store(&copy, "a=1 x, b=1 x", position_make(1, 5));
	read_restored(&copy, "", position_make(2, 3));
	values_check(&copy, "a=1 x, b=1 x");
	read_store(&copy, "a=2 x", position_make(2, 4));
	values_check(&copy, "a=2 x, b=1 x");
	for (int msec = 0; msec <= MERGE_MSEC; msec += 1000)
		read_store(&copy, "", position_make(2, 4));
	read_store(&copy, "a=3 x", position_make(2, 5));
	values_check(&copy, "a=3 x");
	/* Later snapshots are not merged. */
	read_restored(&copy, "a=2 x", position_make(2, 9));
	values_check(&copy, "a=2 x");
	copy_close(&copy);
	clock_destroy(clock);
}

/* The copy of the new era wins, whatever its offsets; one of the old era is
 * not taken for newer. */
static void test_peers(void)
{
	struct clock *clock = clock_create(0);
	struct copy first;
	struct copy second;

	copy_open(&first, clock);
	copy_open(&second, clock);
	read_store(&first, "a=1 x, b=1 x", position_make(1, 100));
	g_assert_true(status_receive(&second, &first));
	fetch(&second, &first);
	values_check(&second, "a=1 x, b=1 x");
	read_restored(&first, "a=1 x", position_make(2, 7));
	g_assert_false(status_receive(&first, &second));
	g_assert_cmpuint(mirror_position(first.mirror), ==,
			 position_make(2, 7));
	g_assert_true(status_receive(&second, &first));
	fetch(&second, &first);
	g_assert_cmpuint(mirror_position(second.mirror), ==,
			 position_make(2, 7));
	/* A value that is confirmed is passed on, though it is the same. */
	read_store(&first, "b=1 x", position_make(2, 8));
	g_assert_true(status_receive(&second, &first));
	fetch(&second, &first);
	for (int msec = 0; msec <= MERGE_MSEC; msec += 1000) {
		read_store(&first, "", position_make(2, 8));
		g_assert_false(status_receive(&second, &first));
	}
	mirror_tick(second.mirror, &(struct reader_place){.rank = 1});
	values_check(&second, "a=1 x, b=1 x");
	copy_close(&first);
	copy_close(&second);
	clock_destroy(clock);
}

/* A snapshot of the old store that arrives late is not taken, and neither are
 * two pages of different eras. */
static void test_late(void)
{
	const struct reader_place place = {.rank = 0};
	struct clock *clock = clock_create(0);
	struct copy copy;

	copy_open(&copy, clock);
	read_store(&copy, "a=3 x", position_make(2, 5));
	clock_advance(clock, clock_now(clock) + USEC_PER_SEC);
	mirror_tick(copy.mirror, &place);
	answer(&copy, "", 0, true);
	answer(&copy, "a=9 old", position_make(1, 50), false);
	values_check(&copy, "a=3 x");
	g_assert_true(mirror_failing(copy.mirror));
	copy_close(&copy);
	clock_destroy(clock);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/eras/merged", test_merged);
	g_test_add_func("/forward/eras/missing", test_missing);
	g_test_add_func("/forward/eras/peers", test_peers);
	g_test_add_func("/forward/eras/late", test_late);
	return g_test_run();
}
