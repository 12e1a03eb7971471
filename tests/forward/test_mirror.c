/* Copies of a stream at several instances, and the statuses that they exchange.
 */
#include <glib.h>
#include <string.h>

#include "../../forward/gossip_codec.h"
#include "common/error.h"
#include "forward/mirror.h"

struct copy {
	struct clock *clock;
	struct mirror *mirror;
	GHashTable *values; /* as delivered to its owner */
	uint32_t calls;	    /* to the store */
	uint32_t missed;
	feed_page_fn fn;
	void *fn_ctx;
};

static void on_snapshot(void *ctx, const char *stream, const char *after,
			feed_page_fn fn, void *fn_ctx)
{
	struct copy *copy = ctx;

	copy->calls++;
	copy->fn = fn;
	copy->fn_ctx = fn_ctx;
}

static void on_read(void *ctx, const char *stream, uint64_t from,
		    int64_t wait_usec, feed_page_fn fn, void *fn_ctx)
{
	on_snapshot(ctx, stream, NULL, fn, fn_ctx);
}

static void on_begin(void *ctx)
{
	g_hash_table_remove_all(((struct copy *)ctx)->values);
}

/* Rejects the value "older", as an outdated version. */
static enum mirror_effect on_value(void *ctx, uint64_t offset, const char *key,
				   const void *data, size_t size)
{
	GHashTable *values = ((struct copy *)ctx)->values;
	char *text = data ? g_strndup(data, size) : NULL;
	bool same = g_strcmp0(g_hash_table_lookup(values, key), text) == 0;

	if (text && strcmp(text, "older") == 0) {
		g_free(text);
		return MIRROR_REJECTED;
	}
	if (text)
		g_hash_table_replace(values, g_strdup(key), text);
	else
		g_hash_table_remove(values, key);
	return same ? MIRROR_UNCHANGED : MIRROR_CHANGED;
}

static void on_missed(void *ctx)
{
	((struct copy *)ctx)->missed++;
}

static void copy_create(struct copy *copy, struct clock *clock)
{
	static const struct mirror_ops ops = {
		.begin = on_begin, .value = on_value, .missed = on_missed};
	const struct feed_store store = {on_snapshot, on_read, copy};
	const struct feed_settings settings = {.stream = "s"};

	*copy = (struct copy){.clock = clock};
	copy->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	copy->mirror = mirror_create(clock, &store, &settings, &ops, copy);
}

/* Opens a copy of an instance that knows its peers, many of them with lower
 * names. */
static void copy_open(struct copy *copy, struct clock *clock)
{
	copy_create(copy, clock);
	mirror_start(copy->mirror, MIRROR_STARTUP_READERS);
}

static void pair_open(struct copy *first, struct copy *second,
		      struct clock *clock)
{
	copy_open(first, clock);
	copy_open(second, clock);
}

static void tick(struct copy *copy, uint32_t rank)
{
	const struct reader_place place = {.rank = rank};

	mirror_tick(copy->mirror, &place);
}

static void copy_close(struct copy *copy)
{
	mirror_destroy(copy->mirror);
	g_hash_table_destroy(copy->values);
}

static void pair_close(struct copy *first, struct copy *second,
		       struct clock *clock)
{
	copy_close(first);
	copy_close(second);
	clock_destroy(clock);
}

/* Answers a call to the store with one record, or none. */
static void store_answer(struct copy *copy, const char *key, const char *value,
			 uint64_t next)
{
	struct feed_record record = {next - 1, key, value,
				     value ? strlen(value) : 0};
	const struct feed_page page = {
		.records = &record,
		.count = key ? 1 : 0,
		.next = next,
		.end = next,
	};
	feed_page_fn fn = copy->fn;

	g_assert_nonnull(fn);
	copy->fn = NULL;
	fn(copy->fn_ctx, RESULT_OK, &page);
}

/* Answers that the requested records are no longer kept. */
static void store_gap(struct copy *copy)
{
	const struct feed_page page = {.gap = true};
	feed_page_fn fn = copy->fn;

	g_assert_nonnull(fn);
	copy->fn = NULL;
	fn(copy->fn_ctx, RESULT_OK, &page);
}

static void store_fail(struct copy *copy)
{
	feed_page_fn fn = copy->fn;

	copy->fn = NULL;
	fn(copy->fn_ctx, RESULT_LOG_DOWN, NULL);
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

static void wait_msec(struct clock *clock, int64_t msec)
{
	clock_advance(clock, clock_now(clock) + msec * USEC_PER_MSEC);
}

/* The first has read one value, the second nothing yet. */
static struct clock *pair_read(struct copy *first, struct copy *second,
			       const char *value, uint64_t next)
{
	struct clock *clock = clock_create(0);

	pair_open(first, second, clock);
	wait_msec(clock, 200);
	tick(first, 0);
	store_answer(first, "a", value, next);
	return clock;
}

static guint value_count; /* values delivered */

static enum mirror_effect on_value_counted(void *ctx, uint64_t offset,
					   const char *key, const void *data,
					   size_t size)
{
	value_count++;
	return on_value(ctx, offset, key, data, size);
}

/* Only the bytes after the first one count. */
static bool on_repeats(void *ctx, const void *before, size_t before_size,
		       const void *data, size_t size)
{
	return before_size == size && size > 0 &&
	       memcmp((const char *)before + 1, (const char *)data + 1,
		      size - 1) == 0;
}

/* Values that repeat the previous one are not delivered, but count as read. */
static void test_repeats(void)
{
	static const struct mirror_ops ops = {
		.begin = on_begin,
		.value = on_value_counted,
		.repeats = on_repeats,
	};
	struct clock *clock = clock_create(0);
	struct copy copy;

	copy_create(&copy, clock);
	mirror_destroy(copy.mirror);
	copy.mirror = mirror_create(
		clock, &(struct feed_store){on_snapshot, on_read, &copy},
		&(struct feed_settings){.stream = "s"}, &ops, &copy);
	value_count = 0;
	wait_msec(clock, 1500);
	tick(&copy, 0);
	store_answer(&copy, "a", "1x", 10);
	for (int i = 0; i < 5; i++) {
		wait_msec(clock, 1000);
		tick(&copy, 0);
		store_answer(&copy, "a", i % 2 ? "1x" : "2x", 11 + i);
	}
	g_assert_cmpuint(value_count, ==, 1);
	g_assert_cmpuint(mirror_position(copy.mirror), ==, 15);
	wait_msec(clock, 1000);
	tick(&copy, 0);
	store_answer(&copy, "a", "2y", 16);
	g_assert_cmpuint(value_count, ==, 2);
	copy_close(&copy);
	clock_destroy(clock);
}

/* The first byte counts the writes. */
static bool on_outdated(void *ctx, const char *key, const void *before,
			size_t before_size, const void *data, size_t size)
{
	return *(const char *)data < *(const char *)before;
}

static bool on_newer(void *ctx, const void *before, size_t before_size,
		     const void *data, size_t size)
{
	return *(const char *)data > *(const char *)before;
}

static void late_open(struct copy *copy, struct clock *clock, uint32_t lower)
{
	static const struct mirror_ops ops = {
		.begin = on_begin,
		.value = on_value,
		.repeats = on_repeats,
		.newer = on_newer,
		.outdated = on_outdated,
	};
	const struct feed_store store = {on_snapshot, on_read, copy};
	const struct feed_settings settings = {.stream = "s"};

	copy_create(copy, clock);
	mirror_destroy(copy->mirror);
	copy->mirror = mirror_create(clock, &store, &settings, &ops, copy);
	mirror_start(copy->mirror, lower);
}

static void late_read(struct copy *copy, int64_t after_msec, const char *value,
		      uint64_t next)
{
	wait_msec(copy->clock, after_msec);
	tick(copy, 0);
	store_answer(copy, "a", value, next);
}

/* Guards against a write that the store carries out late, after newer ones of
 * the same writer. */
static void test_late(void)
{
	struct clock *clock = clock_create(0);
	struct copy first;
	struct copy second;

	late_open(&first, clock, 0);
	late_open(&second, clock, MIRROR_STARTUP_READERS);
	store_answer(&first, "a", "1ready", 10);
	fetch(&second, &first);
	late_read(&first, 1000, "3ready", 11);
	late_read(&first, 1000, "5leaving", 12);
	fetch(&second, &first);
	late_read(&first, 2500, "4ready", 13);
	g_assert_cmpstr(g_hash_table_lookup(first.values, "a"), ==, "5leaving");
	g_assert_false(status_receive(&second, &first));
	/* In a whole copy of the store. */
	wait_msec(clock, 1000);
	tick(&first, 0);
	store_gap(&first);
	store_answer(&first, "a", "4ready", 14);
	g_assert_cmpstr(g_hash_table_lookup(first.values, "a"), ==, "5leaving");
	/* After a repeat, and after the key was dropped. */
	late_read(&first, 1000, "6leaving", 15);
	late_read(&first, 1000, NULL, 16);
	late_read(&first, 2000, "5leaving", 17);
	late_read(&first, 1000, "4ready", 18);
	g_assert_null(g_hash_table_lookup(first.values, "a"));
	late_read(&first, 1000, "7ready", 19);
	g_assert_cmpstr(g_hash_table_lookup(first.values, "a"), ==, "7ready");
	/* A writer that has started again counts from the beginning. */
	late_read(&first, 10000, "1ready", 20);
	late_read(&first, 1000, "2leaving", 21);
	g_assert_cmpstr(g_hash_table_lookup(first.values, "a"), ==, "2leaving");
	pair_close(&first, &second, clock);
}

/* The size of a fetch depends on the number of changes, not on the size of the
 * copy. */
static void test_few_changes(void)
{
	struct clock *clock;
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct copy first;
	struct copy second;

	clock = pair_read(&first, &second, "v", 1);
	for (int i = 1; i < 3000; i++) {
		g_autofree char *key = g_strdup_printf("k%d", i);

		wait_msec(clock, 1000);
		tick(&first, 0);
		store_answer(&first, key, "v", (uint64_t)i + 1);
	}
	fetch(&second, &first);
	g_assert_cmpuint(g_hash_table_size(second.values), ==, 3000);
	wait_msec(clock, 1000);
	tick(&first, 0);
	store_answer(&first, "k7", "w", 3001);
	wait_msec(clock, 1000);
	tick(&first, 0);
	store_answer(&first, "k8", NULL, 3002);
	g_assert_cmpuint(mirror_encoded_size(first.mirror,
					     mirror_position(second.mirror)),
			 ==, 1);
	mirror_encode(first.mirror, mirror_position(second.mirror), out);
	g_assert_cmpuint(out->len, <, 100);
	fetch(&second, &first);
	g_assert_cmpstr(g_hash_table_lookup(second.values, "k7"), ==, "w");
	g_assert_null(g_hash_table_lookup(second.values, "k8"));
	g_assert_cmpuint(g_hash_table_size(second.values), ==, 2999);
	pair_close(&first, &second, clock);
}

/* A peer further behind than the stored changes receives the whole copy. */
static void test_many_changes(void)
{
	struct clock *clock;
	struct copy first;
	struct copy second;

	clock = pair_read(&first, &second, "0", 1);
	fetch(&second, &first);
	for (int i = 1; i < 6000; i++) {
		g_autofree char *value = g_strdup_printf("%d", i);

		wait_msec(clock, 1000);
		tick(&first, 0);
		store_answer(&first, i % 2 ? "a" : "b", value, (uint64_t)i + 1);
	}
	wait_msec(clock, 1000);
	tick(&first, 0);
	store_answer(&first, "b", NULL, 6001);
	fetch(&second, &first);
	g_assert_cmpstr(g_hash_table_lookup(second.values, "a"), ==, "5999");
	g_assert_cmpuint(g_hash_table_size(second.values), ==, 1);
	pair_close(&first, &second, clock);
}

/* An instance without a copy does not read the store while a peer announces
 * one, but only for a limited time. */
static void test_fetch_pending(void)
{
	struct clock *clock;
	struct copy first;
	struct copy second;
	int waited = 0;

	clock = pair_read(&first, &second, "1", 10);
	while (second.calls == 0 && waited < 20000) {
		if (status_receive(&second, &first))
			mirror_fetch_pending(second.mirror);
		tick(&second, 1);
		wait_msec(clock, 100);
		waited += 100;
	}
	g_assert_cmpint(waited, >, 7000);
	g_assert_cmpint(waited, <, 9000);
	store_fail(&second);
	pair_close(&first, &second, clock);
}

/* One instance reads; the other follows without a call while it receives
 * statuses. */
static void test_pass_on(void)
{
	struct clock *clock = clock_create(0);
	struct copy first;
	struct copy second;

	pair_open(&first, &second, clock);
	wait_msec(clock, 200);
	tick(&first, 0);
	tick(&second, 1);
	g_assert_cmpuint(second.calls, ==, 0);
	store_answer(&first, "k", "v1", 5);
	g_assert_true(status_receive(&second, &first));
	fetch(&second, &first);
	g_assert_cmpstr(g_hash_table_lookup(second.values, "k"), ==, "v1");
	for (int i = 0; i < 50; i++) {
		wait_msec(clock, 100);
		tick(&first, 0);
		/* The same value again: nothing to fetch. */
		if (first.fn)
			store_answer(&first, "k", "v1", 6 + (uint64_t)i);
		g_assert_false(status_receive(&second, &first));
		tick(&second, 1);
	}
	g_assert_cmpuint(second.calls, ==, 0);
	g_assert_cmpuint(first.calls, <=, 9);
	pair_close(&first, &second, clock);
}

/* Statuses that two instances exchange, with 1 ms of delay each, must not make
 * their copies look younger than they are: the announced age grows as fast as
 * time, and one of the instances reads the store when it is due. */
static void test_exchanged_ages(void)
{
	struct clock *clock = clock_create(0);
	struct mirror_status status;
	struct copy first;
	struct copy second;

	pair_open(&first, &second, clock);
	mirror_start(first.mirror, 0);
	store_answer(&first, "k", "v1", 5);
	fetch(&second, &first);
	for (int i = 0; i < 500; i++) {
		mirror_status(first.mirror, &status);
		wait_msec(clock, 1);
		mirror_merge_status(second.mirror, &status);
		mirror_status(second.mirror, &status);
		wait_msec(clock, 1);
		mirror_merge_status(first.mirror, &status);
	}
	mirror_status(second.mirror, &status);
	g_assert_cmpint(status.age_usec, >=, USEC_PER_SEC);
	mirror_status(first.mirror, &status);
	g_assert_cmpint(status.age_usec, >=, USEC_PER_SEC);
	tick(&first, 0);
	g_assert_cmpuint(first.calls, ==, 2);
	store_answer(&first, "k", "v1", 6);
	pair_close(&first, &second, clock);
}

/* A later instance receives the value in force, not one that was rejected
 * since. */
static void test_rejected(void)
{
	struct clock *clock = clock_create(0);
	struct copy first;
	struct copy second;

	pair_open(&first, &second, clock);
	mirror_start(first.mirror, 0);
	store_answer(&first, "k", "newer", 5);
	wait_msec(clock, 800);
	tick(&first, 0);
	store_answer(&first, "k", "older", 6);
	fetch(&second, &first);
	g_assert_cmpstr(g_hash_table_lookup(second.values, "k"), ==, "newer");
	pair_close(&first, &second, clock);
}

/* The same when a snapshot contains an outdated value. */
static void test_rejected_snapshot(void)
{
	struct clock *clock = clock_create(0);
	struct copy first;
	struct copy second;

	pair_open(&first, &second, clock);
	mirror_start(first.mirror, 0);
	store_answer(&first, "k", "newer", 5);
	wait_msec(clock, 800);
	tick(&first, 0);
	store_gap(&first);
	store_answer(&first, "k", "older", 6);
	fetch(&second, &first);
	g_assert_cmpstr(g_hash_table_lookup(second.values, "k"), ==, "newer");
	pair_close(&first, &second, clock);
}

/* Fifty instances with stale copies, and a busy store that refuses their reads:
 * they retry one after another instead of all together, at a bounded rate. */
static void test_retry_slots(void)
{
	struct clock *clock = clock_create(0);
	struct copy copies[50];
	uint32_t failing = 0;
	uint32_t calls = 0;

	for (uint32_t i = 0; i < 50; i++) {
		copy_open(&copies[i], clock);
		mirror_start(copies[i].mirror, 0);
		store_answer(&copies[i], "k", "v1", 6);
		copies[i].calls = 0;
	}
	for (int step = 0; step < 150; step++) {
		wait_msec(clock, 100);
		for (uint32_t i = 0; i < 50; i++) {
			const struct reader_place place = {
				.rank = i, .store_unreachable = failing};

			mirror_tick(copies[i].mirror, &place);
			if (copies[i].fn)
				store_fail(&copies[i]);
		}
		failing = 0;
		for (uint32_t i = 0; i < 50; i++)
			failing += mirror_failing(copies[i].mirror);
	}
	for (uint32_t i = 0; i < 50; i++) {
		calls += copies[i].calls;
		copy_close(&copies[i]);
	}
	g_test_message("%u calls in 15 s", calls);
	g_assert_cmpuint(calls, <, 150);
	g_assert_cmpuint(calls, >, 40);
	clock_destroy(clock);
}

/* An instance without a copy does not wait for the slots of all others: it
 * retries within two seconds. */
static void test_retry_slots_without_copy(void)
{
	struct clock *clock = clock_create(0);
	const struct reader_place place = {.rank = 40, .store_unreachable = 50};
	struct copy copy;

	copy_open(&copy, clock);
	wait_msec(clock, 6000);
	mirror_tick(copy.mirror, &place);
	g_assert_cmpuint(copy.calls, ==, 1);
	store_fail(&copy);
	for (int step = 0; step < 20; step++) {
		wait_msec(clock, 100);
		mirror_tick(copy.mirror, &place);
	}
	g_assert_cmpuint(copy.calls, ==, 2);
	store_fail(&copy);
	copy_close(&copy);
	clock_destroy(clock);
}

/* Before it knows its peers, an instance waits for their list, because it may
 * be one of hundreds that start. The wait is bounded. */
static void test_unlisted(void)
{
	struct clock *clock = clock_create(0);
	struct copy copy;

	copy_create(&copy, clock);
	wait_msec(clock, 900);
	tick(&copy, 0);
	g_assert_cmpuint(copy.calls, ==, 0);
	wait_msec(clock, 100);
	tick(&copy, 0);
	g_assert_cmpuint(copy.calls, ==, 1);
	store_answer(&copy, "k", "v1", 6);
	copy_close(&copy);
	clock_destroy(clock);
}

/* The copy of an empty stream is passed on as well. */
static void test_empty(void)
{
	struct clock *clock = clock_create(0);
	struct copy first;
	struct copy second;

	pair_open(&first, &second, clock);
	mirror_start(first.mirror, 0);
	store_answer(&first, NULL, NULL, 0);
	g_assert_true(status_receive(&second, &first));
	fetch(&second, &first);
	g_assert_false(status_receive(&second, &first));
	wait_msec(clock, 600);
	tick(&second, 1);
	g_assert_cmpuint(second.calls, ==, 0);
	pair_close(&first, &second, clock);
}

/* After a start of all instances, the first ones by name read at once, and the
 * others only when no copy has arrived for a while. */
static void test_startup_readers(void)
{
	struct clock *clock = clock_create(0);
	struct copy first;
	struct copy late;

	copy_open(&first, clock);
	copy_open(&late, clock);
	mirror_start(first.mirror, MIRROR_STARTUP_READERS - 1);
	mirror_start(late.mirror, MIRROR_STARTUP_READERS);
	g_assert_cmpuint(first.calls, ==, 1);
	g_assert_cmpuint(late.calls, ==, 0);
	store_answer(&first, "k", "v1", 5);
	mirror_start(first.mirror, 0);
	g_assert_cmpuint(first.calls, ==, 1);
	g_assert_true(status_receive(&late, &first));
	/* The wait for a copy that cannot be fetched is bounded. */
	wait_msec(clock, 2300);
	tick(&late, 5);
	g_assert_cmpuint(late.calls, ==, 0);
	wait_msec(clock, 2300);
	tick(&late, 200);
	g_assert_cmpuint(late.calls, ==, 0);
	wait_msec(clock, 100);
	tick(&late, 200);
	g_assert_cmpuint(late.calls, ==, 1);
	store_answer(&late, "k", "v1", 5);
	copy_close(&first);
	copy_close(&late);
	clock_destroy(clock);
}

/* An instance that starts together with hundreds of others has received no
 * announcement yet. */
static void test_start_of_all(void)
{
	const struct reader_place place = {.peers = 196, .silent_peers = 196};
	struct clock *clock = clock_create(0);
	struct copy copy;

	copy_create(&copy, clock);
	mirror_start(copy.mirror, 500);
	for (int step = 0; step < 9; step++) {
		wait_msec(clock, 100);
		mirror_tick(copy.mirror, &place);
	}
	g_assert_cmpuint(copy.calls, ==, 0);
	wait_msec(clock, 100);
	mirror_tick(copy.mirror, &place);
	g_assert_cmpuint(copy.calls, ==, 1);
	store_answer(&copy, "k", "v1", 6);
	copy_close(&copy);
	clock_destroy(clock);
}

/* A peer that is slightly behind receives only the changes, including dropped
 * keys. */
static void test_since(void)
{
	struct clock *clock = clock_create(0);
	g_autoptr(GByteArray) all = g_byte_array_new();
	g_autoptr(GByteArray) part = g_byte_array_new();
	static const struct {
		const char *key;
		const char *value;
	} rows[] = {{"c", "c1"}, {"b", "b1"}, {"c", "c2"}, {"b", NULL}};
	struct copy first;
	struct copy second;
	struct copy third;
	struct error err;

	pair_open(&first, &second, clock);
	copy_open(&third, clock);
	wait_msec(clock, 200);
	tick(&first, 0);
	store_answer(&first, "a", "a long value that does not change", 5);
	fetch(&second, &first);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		wait_msec(clock, 800);
		tick(&first, 0);
		store_answer(&first, rows[i].key, rows[i].value, 6 + i);
	}
	mirror_encode(first.mirror, 0, all);
	mirror_encode(first.mirror, mirror_position(second.mirror), part);
	g_assert_cmpuint(part->len + 20, <, all->len);
	g_assert_true(
		mirror_decode(second.mirror, part->data, part->len, &err));
	g_assert_cmpuint(g_hash_table_size(second.values), ==, 2);
	g_assert_cmpstr(g_hash_table_lookup(second.values, "c"), ==, "c2");
	g_assert_cmpuint(mirror_position(second.mirror), ==,
			 mirror_position(first.mirror));
	/* An instance without a copy cannot apply a delta. */
	g_assert_true(mirror_decode(third.mirror, part->data, part->len, &err));
	g_assert_cmpuint(mirror_position(third.mirror), ==, 0);
	copy_close(&first);
	copy_close(&second);
	copy_close(&third);
	clock_destroy(clock);
}

/* A reader that no longer announces itself is replaced in time. */
static void test_reader_gone(void)
{
	struct clock *clock = clock_create(0);
	struct copy first;
	struct copy second;

	pair_open(&first, &second, clock);
	wait_msec(clock, 200);
	tick(&first, 0);
	store_answer(&first, "k", "v1", 5);
	status_receive(&second, &first);
	fetch(&second, &first);
	for (int i = 0; i < 17 && second.calls == 0; i++) {
		wait_msec(clock, 100);
		tick(&second, 2);
	}
	g_assert_cmpuint(second.calls, ==, 1);
	store_answer(&second, "k", "v2", 9);
	/* The copy of the first is older now and is ignored. */
	g_assert_false(status_receive(&second, &first));
	fetch(&second, &first);
	g_assert_cmpstr(g_hash_table_lookup(second.values, "k"), ==, "v2");
	pair_close(&first, &second, clock);
}

/* Malformed copies are rejected without a crash. */
static void test_malformed(void)
{
	struct clock *clock = clock_create(0);
	g_autoptr(GByteArray) out = g_byte_array_new();
	GRand *rand = g_rand_new_with_seed(5);
	struct copy first;
	struct copy second;
	struct error err;

	copy_open(&first, clock);
	wait_msec(clock, 200);
	tick(&first, 0);
	store_answer(&first, "k", "v1", 5);
	mirror_encode(first.mirror, 0, out);
	for (int i = 0; i < 4000; i++) {
		guint at = (guint)g_rand_int_range(rand, 0, (gint32)out->len);
		guint8 kept = out->data[at];

		copy_open(&second, clock);
		out->data[at] = (guint8)g_rand_int_range(rand, 0, 256);
		(void)mirror_decode(
			second.mirror, out->data,
			(gsize)g_rand_int_range(rand, 0, (gint32)out->len + 1),
			&err);
		out->data[at] = kept;
		copy_close(&second);
	}
	copy_close(&first);
	g_rand_free(rand);
	clock_destroy(clock);
}

/* ---- datagrams ---- */

static void message_fill(struct gossip_message *message)
{
	struct gossip_load load = {7, {1, -2, 3}};

	gossip_message_init(message, GOSSIP_GROUP_SUMMARY);
	g_strlcpy(message->name, "a", sizeof(message->name));
	g_strlcpy(message->group, "here", sizeof(message->group));
	g_strlcpy(message->lowest.name, "b", sizeof(message->lowest.name));
	message->boot = 5;
	message->sequence = 6;
	message->summary = (struct gossip_summary){
		.version = 9, .demand = 10, .waiting = 2};
	gossip_message_add(message, "127.0.0.1:1");
	gossip_message_add(message, "[::1]:70");
	message->summary.store_unreachable = true;
	message->summary.mirrors[0] = (struct mirror_status){4, 3, 1500};
	message->summary.mirrors[1] = (struct mirror_status){0, 0, -1};
	g_array_append_val(message->loads, load);
}

static void test_datagram(void)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message sent;
	struct gossip_message got;
	struct error err;

	message_fill(&sent);
	gossip_encode(&sent, out);
	g_assert_true(gossip_decode(&got, out->data, out->len, &err));
	g_assert_cmpstr(got.name, ==, "a");
	g_assert_cmpstr(got.group, ==, "here");
	g_assert_cmpuint(got.summary.version, ==, 9);
	g_assert_true(got.summary.store_unreachable);
	g_assert_false(got.summary.leaving);
	g_assert_cmpuint(got.summary.mirrors[0].changed, ==, 3);
	g_assert_cmpint(got.summary.mirrors[1].age_usec, ==, -1);
	g_assert_cmpuint(got.loads->len, ==, 1);
	g_assert_cmpint(got.kind, ==, GOSSIP_GROUP_SUMMARY);
	g_assert_cmpstr(got.lowest.name, ==, "b");
	g_assert_cmpint(g_array_index(got.loads, struct gossip_load, 0)
				.load.decode_tokens,
			==, -2);
	g_assert_cmpuint(got.addresses->len, ==, 2);
	g_assert_cmpstr(
		g_array_index(got.addresses, struct gossip_address, 0).text, ==,
		"127.0.0.1:1");
	g_assert_cmpstr(
		g_array_index(got.addresses, struct gossip_address, 1).text, ==,
		"[::1]:70");
	gossip_message_clear(&got);
	for (guint size = 0; size < out->len; size++) {
		g_assert_false(gossip_decode(&got, out->data, size, &err));
		gossip_message_clear(&got);
	}
	gossip_message_clear(&sent);
}

static void test_datagram_fuzz(void)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	GRand *rand = g_rand_new_with_seed(9);
	struct gossip_message sent;

	message_fill(&sent);
	gossip_encode(&sent, out);
	for (int i = 0; i < 20000; i++) {
		g_autofree guint8 *copy = g_memdup2(out->data, out->len);
		struct gossip_message got;
		struct error err;

		for (int k = g_rand_int_range(rand, 1, 4); k > 0; k--)
			copy[g_rand_int_range(rand, 0, (gint32)out->len)] =
				(guint8)g_rand_int_range(rand, 0, 256);
		(void)gossip_decode(&got, copy, out->len, &err);
		gossip_message_clear(&got);
	}
	gossip_message_clear(&sent);
	g_rand_free(rand);
}

static void record_read(struct copy *copy, const char *key, const char *value,
			uint64_t next)
{
	wait_msec(copy->clock, 1000);
	tick(copy, 0);
	store_answer(copy, key, value, next);
}

/* Keys that were written and dropped between two copies are noticed. */
static void test_missed(void)
{
	struct clock *clock;
	struct copy first;
	struct copy second;

	clock = pair_read(&first, &second, "v", 1);
	fetch(&second, &first);
	record_read(&first, "a", "v", 2);
	fetch(&second, &first);
	record_read(&first, "a", NULL, 3);
	fetch(&second, &first);
	g_assert_cmpuint(second.missed, ==, 0);
	record_read(&first, "b", "v", 4);
	record_read(&first, "b", NULL, 5);
	fetch(&second, &first);
	g_assert_cmpuint(second.missed, ==, 1);
	g_assert_cmpuint(first.missed, ==, 0);
	/* A whole copy, soon after the last one and later. */
	wait_msec(clock, 1000);
	tick(&first, 0);
	store_gap(&first);
	store_answer(&first, "c", "v", 9);
	fetch(&second, &first);
	g_assert_cmpuint(first.missed, ==, 0);
	g_assert_cmpuint(second.missed, ==, 1);
	wait_msec(clock, 5000);
	tick(&first, 0);
	store_gap(&first);
	store_answer(&first, "c", "v", 19);
	fetch(&second, &first);
	g_assert_cmpuint(first.missed, ==, 1);
	g_assert_cmpuint(second.missed, ==, 2);
	pair_close(&first, &second, clock);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/mirror/fetch-pending", test_fetch_pending);
	g_test_add_func("/forward/mirror/repeats", test_repeats);
	g_test_add_func("/forward/mirror/late", test_late);
	g_test_add_func("/forward/mirror/few-changes", test_few_changes);
	g_test_add_func("/forward/mirror/many-changes", test_many_changes);
	g_test_add_func("/forward/mirror/exchanged-ages", test_exchanged_ages);
	g_test_add_func("/forward/mirror/retry-slots", test_retry_slots);
	g_test_add_func("/forward/mirror/retry-slots-without-copy",
			test_retry_slots_without_copy);
	g_test_add_func("/forward/mirror/unlisted", test_unlisted);
	g_test_add_func("/forward/mirror/empty", test_empty);
	g_test_add_func("/forward/mirror/missed", test_missed);
	g_test_add_func("/forward/mirror/rejected", test_rejected);
	g_test_add_func("/forward/mirror/rejected-snapshot",
			test_rejected_snapshot);
	g_test_add_func("/forward/mirror/startup-readers",
			test_startup_readers);
	g_test_add_func("/forward/mirror/start-of-all", test_start_of_all);
	g_test_add_func("/forward/mirror/pass-on", test_pass_on);
	g_test_add_func("/forward/mirror/since", test_since);
	g_test_add_func("/forward/mirror/reader-gone", test_reader_gone);
	g_test_add_func("/forward/mirror/malformed", test_malformed);
	g_test_add_func("/forward/gossip/datagram", test_datagram);
	g_test_add_func("/forward/gossip/fuzz", test_datagram_fuzz);
	return g_test_run();
}
