/* A feed against a store with scripted answers. */
#include <glib.h>
#include <string.h>

#include "forward/feed.h"

struct world {
	struct clock *clock;
	struct feed *feed;
	GString *out;
	/* The current call; earlier ones were abandoned. */
	feed_page_fn fn;
	void *fn_ctx;
	feed_page_fn abandoned;
	void *abandoned_ctx;
};

static void call_record(struct world *world, feed_page_fn fn, void *fn_ctx)
{
	if (world->fn) {
		world->abandoned = world->fn;
		world->abandoned_ctx = world->fn_ctx;
	}
	world->fn = fn;
	world->fn_ctx = fn_ctx;
}

static void on_snapshot_call(void *ctx, const char *stream, const char *after,
			     feed_page_fn fn, void *fn_ctx)
{
	struct world *world = ctx;

	g_string_append_printf(world->out, "snapshot(%s) ", after ? after : "");
	call_record(world, fn, fn_ctx);
}

static void on_read_call(void *ctx, const char *stream, uint64_t from,
			 int64_t wait_usec, feed_page_fn fn, void *fn_ctx)
{
	struct world *world = ctx;

	g_string_append_printf(world->out, "read(%d) ", (int)from);
	call_record(world, fn, fn_ctx);
}

static void on_begin(void *ctx)
{
	g_string_append(((struct world *)ctx)->out, "begin ");
}

static void on_end(void *ctx)
{
	g_string_append(((struct world *)ctx)->out, "end ");
}

static void on_record(void *ctx, const struct feed_record *record)
{
	g_string_append_printf(((struct world *)ctx)->out, "%s%s ", record->key,
			       record->value ? "" : "-");
}

static void on_recovered(void *ctx)
{
	g_string_append(((struct world *)ctx)->out, "recovered ");
}

static void world_open(struct world *world)
{
	static const struct feed_ops ops = {on_begin, on_end, on_record,
					    on_recovered};
	const struct feed_store store = {on_snapshot_call, on_read_call, world};
	const struct feed_settings settings = {
		.stream = "s",
		.wait_usec = USEC_PER_SEC,
	};

	*world = (struct world){.out = g_string_new(NULL)};
	world->clock = clock_create(0);
	world->feed = feed_create(world->clock, &store, &settings, &ops, world);
	feed_poll(world->feed);
}

static void world_close(struct world *world, const char *expected)
{
	g_assert_cmpstr(world->out->str, ==, expected);
	feed_destroy(world->feed);
	/* The store also answers calls of a destroyed feed. */
	if (world->abandoned)
		world->abandoned(world->abandoned_ctx, RESULT_LOG_DOWN, NULL);
	if (world->fn)
		world->fn(world->fn_ctx, RESULT_LOG_DOWN, NULL);
	clock_destroy(world->clock);
	g_string_free(world->out, TRUE);
}

static void answer(struct world *world, enum result_code code,
		   const struct feed_page *page)
{
	feed_page_fn fn = world->fn;

	g_assert_nonnull(fn);
	world->fn = NULL;
	fn(world->fn_ctx, code, page);
}

static void page_answer(struct world *world, const char *keys, uint64_t next,
			const char *more)
{
	struct feed_record records[8] = {0};
	g_auto(GStrv) list = g_strsplit(keys, ",", -1);
	struct feed_page page = {
		.records = records,
		.next = next,
		.end = next,
		.more = more,
	};

	for (; keys[0] && list[page.count]; page.count++) {
		char *key = list[page.count];
		bool dropped = g_str_has_suffix(key, "-");

		if (dropped)
			key[strlen(key) - 1] = '\0';
		records[page.count].key = key;
		records[page.count].value = dropped ? NULL : "v";
	}
	answer(world, RESULT_OK, &page);
}

static void wait_msec(struct world *world, int64_t msec)
{
	clock_advance(world->clock,
		      clock_now(world->clock) + msec * USEC_PER_MSEC);
}

/* A key that the store does not take back, such as one that is not UTF-8. */
static void test_repeated_page(void)
{
	struct world world;

	world_open(&world);
	page_answer(&world, "a,b", 7, "b");
	page_answer(&world, "c,\xef\xbf\xbd", 8, "\xef\xbf\xbd");
	page_answer(&world, "\xef\xbf\xbd", 8, "\xef\xbf\xbd");
	g_assert_null(world.fn);
	feed_poll(world.feed);
	world_close(&world, "snapshot() begin a b snapshot(b) c \xef\xbf\xbd "
			    "snapshot(\xef\xbf\xbd) \xef\xbf\xbd end read(7) ");
}

/* A long poll without records is as of the end of its wait. A read that was
 * answered sooner, or with a record, is as of its sending. */
static void test_synced_at(void)
{
	struct world world;

	world_open(&world);
	page_answer(&world, "k", 5, NULL);
	feed_poll(world.feed);
	wait_msec(&world, 1003);
	page_answer(&world, "", 5, NULL);
	g_assert_cmpint(feed_synced_at(world.feed), ==, USEC_PER_SEC);
	feed_poll(world.feed);
	wait_msec(&world, 400);
	page_answer(&world, "", 5, NULL);
	g_assert_cmpint(feed_synced_at(world.feed), ==, 1003 * USEC_PER_MSEC);
	feed_poll(world.feed);
	wait_msec(&world, 1200);
	page_answer(&world, "k", 6, NULL);
	g_assert_cmpint(feed_synced_at(world.feed), ==, 1403 * USEC_PER_MSEC);
	world_close(&world,
		    "snapshot() begin k end read(5) read(5) read(5) k ");
}

static void test_pages(void)
{
	struct world world;

	world_open(&world);
	page_answer(&world, "a,b", 7, "b");
	g_assert_cmpuint(feed_position(world.feed), ==, 0);
	page_answer(&world, "c", 9, NULL);
	feed_poll(world.feed);
	feed_poll(world.feed);
	page_answer(&world, "d,a-", 9, NULL);
	feed_poll(world.feed);
	/* Reading continues from the end offset of the first page, not of the
	 * second: changes between the two would be missed. */
	world_close(&world, "snapshot() begin a b snapshot(b) c end read(7) "
			    "d a- read(9) ");
}

/* After an answer that does not reach the end of the stream, the feed reads on
 * at once. */
static void test_partial_page(void)
{
	const struct feed_page part = {.next = 8, .end = 9};
	struct world world;

	world_open(&world);
	page_answer(&world, "a", 7, NULL);
	wait_msec(&world, 50);
	feed_poll(world.feed);
	answer(&world, RESULT_OK, &part);
	g_assert_cmpint(feed_synced_at(world.feed), ==, 0);
	page_answer(&world, "b", 9, NULL);
	g_assert_cmpint(feed_synced_at(world.feed), ==, 50 * USEC_PER_MSEC);
	world_close(&world, "snapshot() begin a end read(7) read(8) b ");
}

static void test_gap(void)
{
	const struct feed_page gap = {.gap = true};
	struct world world;

	world_open(&world);
	page_answer(&world, "a", 7, NULL);
	feed_poll(world.feed);
	answer(&world, RESULT_OK, &gap);
	page_answer(&world, "b", 30, NULL);
	feed_poll(world.feed);
	world_close(&world, "snapshot() begin a end read(7) snapshot() begin "
			    "b end read(30) ");
}

static void test_outage(void)
{
	struct world world;

	world_open(&world);
	page_answer(&world, "a,b", 7, "b");
	answer(&world, RESULT_LOG_DOWN, NULL);
	feed_poll(world.feed);
	wait_msec(&world, 100);
	answer(&world, RESULT_LOG_UNKNOWN, NULL);
	wait_msec(&world, 200);
	page_answer(&world, "a", 7, NULL);
	feed_poll(world.feed);
	answer(&world, RESULT_LOG_DOWN, NULL);
	wait_msec(&world, 100);
	page_answer(&world, "", 7, NULL);
	/* After a failure a snapshot continues where it stopped, then the
	 * stream is read from the offset of the first page. An incomplete
	 * snapshot removes nothing. */
	world_close(&world, "snapshot() begin a b snapshot(b) snapshot(b) "
			    "snapshot(b) recovered a end read(7) read(7) "
			    "recovered ");
}

/* feed_restart() does not wait for the answer of a pending read, and ignores it
 * when it arrives. */
static void test_restart(void)
{
	struct feed_record record = {.key = "late", .value = "v"};
	const struct feed_page late = {
		.records = &record,
		.count = 1,
		.next = 8,
		.end = 8,
	};
	struct world world;

	world_open(&world);
	page_answer(&world, "a", 7, NULL);
	feed_poll(world.feed);
	feed_restart(world.feed);
	page_answer(&world, "b", 8, NULL);
	world.abandoned(world.abandoned_ctx, RESULT_OK, &late);
	world.abandoned = NULL;
	feed_poll(world.feed);
	world_close(&world,
		    "snapshot() begin a end read(7) read(7) b read(8) ");
}

/* A newer state from a peer supersedes a pending answer. */
static void test_advance(void)
{
	struct feed_record record = {.key = "old", .value = "v"};
	const struct feed_page old = {
		.records = &record,
		.count = 1,
		.next = 8,
		.end = 8,
	};
	struct world world;

	world_open(&world);
	page_answer(&world, "a", 7, NULL);
	feed_poll(world.feed);
	g_assert_false(feed_advance(world.feed, 6, 5));
	g_assert_true(feed_advance(world.feed, 20, 5));
	answer(&world, RESULT_OK, &old);
	feed_poll(world.feed);
	g_assert_cmpint(feed_synced_at(world.feed), ==, 5);
	world_close(&world, "snapshot() begin a end read(7) read(20) ");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/feed/repeated-page", test_repeated_page);
	g_test_add_func("/forward/feed/synced-at", test_synced_at);
	g_test_add_func("/forward/feed/pages", test_pages);
	g_test_add_func("/forward/feed/partial-page", test_partial_page);
	g_test_add_func("/forward/feed/advance", test_advance);
	g_test_add_func("/forward/feed/gap", test_gap);
	g_test_add_func("/forward/feed/outage", test_outage);
	g_test_add_func("/forward/feed/restart", test_restart);
	return g_test_run();
}
