/*
 * drain.c - graceful shutdown: announce it, finish requests in flight, stop
 */
#include "common/log.h"
#include "entry/entry.h"
#include "entry/own_platform.h"
#include "entry/peers.h"
#include "entry/requests.h"

/* Interval of the checks for unfinished requests and unsent peer messages. */
#define CHECK_INTERVAL_USEC (10 * USEC_PER_MSEC)
/* Longest wait for messages to peers that are not yet written. */
#define FLUSH_TIMEOUT_USEC (1 * USEC_PER_SEC)

struct drain {
	struct entry *entry;
	struct timer close; /* stops accepting connections */
	struct timer check;
	struct timer deadline;
	int64_t started_at;
	int64_t answered_at; /* -1 until all requests are answered */
	bool closed;
};

static void drain_finish(struct drain *drain, const char *result)
{
	struct entry *entry = drain->entry;
	uint32_t left = entry->requests ? requests_count(entry->requests) : 0;

	timer_stop(&drain->close);
	timer_stop(&drain->check);
	timer_stop(&drain->deadline);
	log_event(
		left ? LOG_WARNING : LOG_NOTICE, "drained",
		LOG_S("result", result), LOG_D("requests_left", left),
		LOG_D("took_us", clock_now(entry->clock) - drain->started_at));
	loop_stop(entry->loop);
}

static bool drain_answered(const struct entry *entry)
{
	if (entry->requests && requests_count(entry->requests) > 0)
		return false;
	return !entry->server || web_server_pending(entry->server) == 0;
}

/* Answered requests cause messages to peers, which must still be written. */
static bool drain_flushed(struct drain *drain)
{
	const struct entry *entry = drain->entry;
	int64_t now = clock_now(entry->clock);

	if (drain->answered_at < 0) {
		drain->answered_at = now;
		return false;
	}
	if (now - drain->answered_at >= FLUSH_TIMEOUT_USEC)
		return true;
	return !entry->peers || peers_flushed(entry->peers);
}

static void check_fire(struct timer *timer, void *ctx)
{
	struct drain *drain = ctx;

	if (drain->closed && drain_answered(drain->entry) &&
	    drain_flushed(drain)) {
		drain_finish(drain, "complete");
		return;
	}
	timer_start(timer, CHECK_INTERVAL_USEC);
}

static void close_fire(struct timer *timer, void *ctx)
{
	struct drain *drain = ctx;

	drain->closed = true;
	if (drain->entry->server)
		web_server_drain(drain->entry->server);
	timer_start(&drain->check, 0);
}

static void deadline_fire(struct timer *timer, void *ctx)
{
	drain_finish(ctx, "timed out");
}

static void drain_announce(struct entry *entry)
{
	if (entry->platform)
		platform_leave(entry->platform);
	if (entry->membership)
		membership_leave(entry->membership);
	if (entry->ledger)
		ledger_drain(entry->ledger);
	if (entry->server)
		web_server_announce_shutdown(entry->server);
}

void entry_drain(struct entry *entry)
{
	struct drain *drain = entry->drain;

	if (entry->draining)
		return;
	entry->draining = true;
	drain->started_at = clock_now(entry->clock);
	log_event(LOG_NOTICE, "draining",
		  LOG_D("requests",
			entry->requests ? requests_count(entry->requests) : 0));
	drain_announce(entry);
	timer_start(&drain->close, entry->settings.drain_delay_usec);
	if (entry->settings.drain_usec > 0)
		timer_start(&drain->deadline, entry->settings.drain_usec);
}

void entry_drained(struct entry *entry)
{
	if (entry->draining && entry->drain->closed)
		timer_start(&entry->drain->check, 0);
}

struct drain *drain_create(struct entry *entry)
{
	struct drain *drain = g_new0(struct drain, 1);

	drain->entry = entry;
	drain->answered_at = -1;
	timer_init(&drain->close, entry->clock, close_fire, drain);
	timer_init(&drain->check, entry->clock, check_fire, drain);
	timer_init(&drain->deadline, entry->clock, deadline_fire, drain);
	return drain;
}

void drain_destroy(struct drain *drain)
{
	timer_stop(&drain->close);
	timer_stop(&drain->check);
	timer_stop(&drain->deadline);
	g_free(drain);
}
