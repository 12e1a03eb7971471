#include "standin/engine_link.h"

#include <glib.h>
#include <math.h>

#include "common/clock.h"

struct engine_link {
	struct clock *clock;
	double bytes_per_usec;
	GPtrArray *transfers; /* in progress, without the stalled ones */
	int64_t updated_at;
	struct timer timer;
};

/* Subtracts the bytes sent since the last update from each transfer. */
static void link_update(struct engine_link *link)
{
	int64_t now = clock_now(link->clock);
	double sent_bytes =
		link->bytes_per_usec * (double)(now - link->updated_at);

	link->updated_at = now;
	for (guint i = 0; i < link->transfers->len; i++) {
		struct transfer *t = link->transfers->pdata[i];

		t->left -= sent_bytes / link->transfers->len;
	}
}

static void link_arm(struct engine_link *link)
{
	double min_left = INFINITY;
	double usec;

	timer_stop(&link->timer);
	for (guint i = 0; i < link->transfers->len; i++) {
		struct transfer *t = link->transfers->pdata[i];

		min_left = fmin(min_left, t->left);
	}
	if (link->transfers->len == 0)
		return;
	usec = min_left * link->transfers->len / link->bytes_per_usec;
	timer_start(&link->timer, (int64_t)ceil(fmax(usec, 0)));
}

/* Times are rounded to microseconds, so that up to half a byte may remain. */
static struct transfer *link_finished(struct engine_link *link)
{
	for (guint i = 0; i < link->transfers->len; i++) {
		struct transfer *t = link->transfers->pdata[i];

		if (t->left < 0.5)
			return t;
	}
	return NULL;
}

static void link_expired(struct timer *timer, void *ctx)
{
	struct engine_link *link = ctx;
	struct transfer *t;

	link_update(link);
	while ((t = link_finished(link))) {
		g_ptr_array_remove(link->transfers, t);
		t->running = false;
		t->fn(t->ctx);
	}
	link_arm(link);
}

struct engine_link *engine_link_create(struct clock *clock, double bytes_per_s)
{
	struct engine_link *link = g_new0(struct engine_link, 1);

	link->clock = clock;
	link->bytes_per_usec = bytes_per_s / USEC_PER_SEC;
	link->transfers = g_ptr_array_new();
	link->updated_at = clock_now(clock);
	timer_init(&link->timer, clock, link_expired, link);
	return link;
}

void engine_link_destroy(struct engine_link *link)
{
	if (!link)
		return;
	timer_stop(&link->timer);
	g_ptr_array_free(link->transfers, TRUE);
	g_free(link);
}

void engine_link_start(struct engine_link *link, struct transfer *transfer,
		       double bytes, bool stalled, transfer_fn fn, void *ctx)
{
	*transfer = (struct transfer){bytes, stalled, true, fn, ctx};
	if (stalled)
		return;
	link_update(link);
	g_ptr_array_add(link->transfers, transfer);
	link_arm(link);
}

void engine_link_stop(struct engine_link *link, struct transfer *transfer)
{
	if (!transfer->running)
		return;
	transfer->running = false;
	if (transfer->stalled)
		return;
	link_update(link);
	g_ptr_array_remove(link->transfers, transfer);
	link_arm(link);
}
