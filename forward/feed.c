#include "forward/feed.h"

#include <glib.h>

#include "common/log.h"
#include "common/position.h"

/* First and longest pause after a failed read; it doubles with each failure. An
 * instance follows the end of an outage within RETRY_MAX_USEC, well inside the
 * two seconds within which a change must be in force. */
#define RETRY_BASE_USEC (100 * USEC_PER_MSEC)
#define RETRY_MAX_USEC (800 * USEC_PER_MSEC)

/* A call to the store. It outlives a destroyed feed until its answer arrives.
 */
struct feed_call {
	struct feed *feed; /* NULL: the answer is dropped */
	bool snapshot;
};

struct feed {
	struct clock *clock;
	struct feed_store store;
	struct feed_settings settings;
	struct feed_ops ops;
	void *ctx;
	struct timer timer;
	struct feed_call *call;
	uint64_t next;
	char *after; /* last key read of the snapshot */
	bool has_snapshot;
	bool snapshot_started;
	uint32_t failures;
	int64_t failed_at; /* when the last read failed */
	int64_t latency;   /* feed_latency() */
	int64_t synced_at;
	int64_t sent_at; /* when the read or the snapshot began */
};

static void feed_next(struct feed *feed);

static void on_timer(struct timer *timer, void *ctx)
{
	feed_next(ctx);
}

struct feed *feed_create(struct clock *clock, const struct feed_store *store,
			 const struct feed_settings *settings,
			 const struct feed_ops *ops, void *ctx)
{
	struct feed *feed = g_new0(struct feed, 1);

	feed->clock = clock;
	feed->store = *store;
	feed->settings = *settings;
	feed->ops = *ops;
	feed->ctx = ctx;
	feed->synced_at = FEED_NEVER;
	timer_init(&feed->timer, clock, on_timer, feed);
	return feed;
}

void feed_destroy(struct feed *feed)
{
	if (!feed)
		return;
	timer_stop(&feed->timer);
	if (feed->call)
		feed->call->feed = NULL;
	g_free(feed->after);
	g_free(feed);
}

int64_t feed_backoff(const struct feed *feed)
{
	uint32_t doubled = MIN(MAX(feed->failures, 1u) - 1, 3u);

	return MIN(RETRY_BASE_USEC << doubled, RETRY_MAX_USEC);
}

static void feed_failed(struct feed *feed)
{
	feed->failed_at = clock_now(feed->clock);
	if (feed->failures++ == 0)
		log_event(LOG_WARNING, "stream_lost",
			  LOG_S("stream", feed->settings.stream),
			  LOG_D("era", position_era(feed->next)),
			  LOG_D("position", position_offset(feed->next)));
	if (!feed->settings.on_demand)
		timer_start(&feed->timer, feed_backoff(feed));
}

static void feed_succeeded(struct feed *feed)
{
	uint32_t failures = feed->failures;
	int64_t elapsed = clock_now(feed->clock) - feed->sent_at;

	feed->latency = MAX(elapsed - feed->settings.wait_usec, 0);
	feed->failures = 0;
	if (failures == 0)
		return;
	log_event(LOG_NOTICE, "stream_regained",
		  LOG_S("stream", feed->settings.stream),
		  LOG_D("failures", failures));
	if (feed->ops.recovered)
		feed->ops.recovered(feed->ctx);
}

static void records_deliver(struct feed *feed, const struct feed_page *page)
{
	for (size_t i = 0; i < page->count; i++)
		feed->ops.record(feed->ctx, &page->records[i]);
}

static void snapshot_restart(struct feed *feed)
{
	feed->has_snapshot = false;
	feed->snapshot_started = false;
	g_free(feed->after);
	feed->after = NULL;
}

/* The pages of a snapshot are read at different times, so changes since the
 * first page are read afterwards, from its offset on. */
static void snapshot_apply(struct feed *feed, const struct feed_page *page)
{
	bool is_repeated =
		page->more && g_strcmp0(page->more, feed->after) == 0;

	if (position_era(page->next) < position_era(feed->next)) {
		feed_failed(feed);
		return;
	}
	/* The store has come back from a copy between two pages. */
	if (feed->snapshot_started &&
	    position_era(page->next) > position_era(feed->next)) {
		snapshot_restart(feed);
		feed_next(feed);
		return;
	}
	if (!feed->snapshot_started) {
		feed->snapshot_started = true;
		feed->next = page->next;
		if (feed->ops.snapshot_begin)
			feed->ops.snapshot_begin(feed->ctx);
	}
	records_deliver(feed, page);
	g_free(feed->after);
	feed->after = g_strdup(page->more);
	if (page->more && !is_repeated) {
		feed_next(feed);
		return;
	}
	/* The store does not find the key, so the next page would be the same.
	 * What is on later pages comes with its next change. */
	if (is_repeated)
		log_event(LOG_WARNING, "snapshot_page_repeated",
			  LOG_S("stream", feed->settings.stream),
			  LOG_S("key", page->more));
	feed->has_snapshot = true;
	feed->synced_at = feed->sent_at;
	if (feed->ops.snapshot_end)
		feed->ops.snapshot_end(feed->ctx);
}

/* The time at which the answer of the store shows the known records to be
 * complete: when the read was sent, or wait_usec later for a long poll that
 * returned no records. If such a poll counted from its sending, copies would
 * look older than they are, and every instance that has one would read the
 * store as well. */
static int64_t end_seen_at(const struct feed *feed,
			   const struct feed_page *page)
{
	int64_t waited = feed->sent_at + feed->settings.wait_usec;

	if (page->count > 0 || clock_now(feed->clock) < waited)
		return feed->sent_at;
	return waited;
}

static void records_apply(struct feed *feed, const struct feed_page *page)
{
	if (page->gap) {
		log_event(LOG_NOTICE, "stream_gap",
			  LOG_S("stream", feed->settings.stream),
			  LOG_D("era", position_era(feed->next)),
			  LOG_D("position", position_offset(feed->next)));
		snapshot_restart(feed);
		feed_next(feed);
		return;
	}
	records_deliver(feed, page);
	feed->next = page->next;
	if (page->next < page->end)
		feed_next(feed);
	else
		feed->synced_at = end_seen_at(feed, page);
}

static void on_page(void *ctx, enum result_code code,
		    const struct feed_page *page)
{
	struct feed_call *call = ctx;
	struct feed *feed = call->feed;
	bool snapshot = call->snapshot;

	g_free(call);
	if (!feed)
		return;
	feed->call = NULL;
	/* A snapshot continues with the page that failed. Changes in the
	 * meantime are read afterwards, from the offset of the first page on.
	 */
	if (code != RESULT_OK) {
		feed_failed(feed);
		return;
	}
	feed_succeeded(feed);
	if (snapshot)
		snapshot_apply(feed, page);
	else
		records_apply(feed, page);
}

static void feed_next(struct feed *feed)
{
	struct feed_call *call;

	if (feed->call)
		return;
	timer_stop(&feed->timer);
	call = g_new0(struct feed_call, 1);
	call->feed = feed;
	call->snapshot = !feed->has_snapshot;
	feed->call = call;
	if (!call->snapshot || !feed->snapshot_started)
		feed->sent_at = clock_now(feed->clock);
	if (call->snapshot)
		feed->store.snapshot(feed->store.ctx, feed->settings.stream,
				     feed->after, on_page, call);
	else
		feed->store.read(feed->store.ctx, feed->settings.stream,
				 feed->next, feed->settings.wait_usec, on_page,
				 call);
}

bool feed_poll(struct feed *feed)
{
	if (feed->call || timer_running(&feed->timer))
		return false;
	feed_next(feed);
	return true;
}

static void call_abandon(struct feed *feed)
{
	if (feed->call)
		feed->call->feed = NULL;
	feed->call = NULL;
}

void feed_restart(struct feed *feed)
{
	call_abandon(feed);
	feed_next(feed);
}

int64_t feed_latency(const struct feed *feed)
{
	return feed->latency;
}

int64_t feed_failed_at(const struct feed *feed)
{
	return feed->failed_at;
}

bool feed_failing(const struct feed *feed)
{
	return feed->failures > 0;
}

bool feed_advance(struct feed *feed, uint64_t next, int64_t synced_at)
{
	if (feed->has_snapshot && next < feed->next)
		return false;
	if (!feed->has_snapshot || next > feed->next)
		call_abandon(feed);
	feed->has_snapshot = true;
	feed->snapshot_started = true;
	feed->next = next;
	feed->synced_at = MAX(feed->synced_at, synced_at);
	feed->latency =
		MIN(feed->latency, clock_now(feed->clock) - feed->synced_at);
	return true;
}

uint64_t feed_position(const struct feed *feed)
{
	return feed->has_snapshot ? feed->next : 0;
}

uint64_t feed_era(const struct feed *feed)
{
	return position_era(feed->next);
}

int64_t feed_synced_at(const struct feed *feed)
{
	return feed->synced_at;
}
