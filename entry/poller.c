/*
 * poller.c - selects the backend servers to poll and schedules the polls
 */
#include "entry/poller.h"

#include <glib.h>

#include "coord/ledger.h"
#include "coord/member.h"
#include "entry/directory.h"
#include "entry/entry.h"
#include "poller_private.h"

static int64_t poll_delay(const struct entry *entry)
{
	double factor = g_rand_double_range(entry->rand, 0.75, 1.25);

	return (int64_t)((double)entry->settings.poll_usec * factor);
}

static void target_fire(struct timer *timer, void *ctx)
{
	struct target *target = ctx;

	timer_start(timer, poll_delay(target->poller->entry));
	target_poll(target);
}

static struct target *target_create(struct poller *poller, uint64_t id)
{
	struct target *target = g_new0(struct target, 1);

	target->poller = poller;
	target->id = id;
	timer_init(&target->timer, poller->entry->clock, target_fire, target);
	timer_start(&target->timer, 0);
	return target;
}

static void target_free(void *data)
{
	struct target *target = data;

	timer_stop(&target->timer);
	for (int i = 0; i < REPORT_COUNT; i++) {
		if (target->calls[i].call)
			web_call_cancel(target->calls[i].call);
	}
	g_free(target);
}

static const struct config_pool *backend_pool(const struct entry *entry,
					      const struct backend *backend)
{
	if (!entry->config)
		return NULL;
	return config_pool(entry->config, backend->pool);
}

static bool backend_is_home(const struct entry *entry,
			    const struct backend *backend,
			    const struct config_pool *pool)
{
	const struct member *self = membership_self(entry->membership);

	if (ledger_is_home(entry->ledger, backend->id))
		return true;
	return pool->role == POOL_PLAIN &&
	       membership_home(entry->membership, backend->data_centre,
			       id_of(backend->pool), 0) == self->id;
}

static bool backend_is_polled(const struct entry *entry,
			      const struct backend *backend)
{
	const struct config_pool *pool = backend_pool(entry, backend);

	return pool && backend->listed && backend_is_home(entry, backend, pool);
}

static void target_ensure(struct poller *poller, const struct backend *backend)
{
	struct target *target =
		g_hash_table_lookup(poller->targets, &backend->id);

	if (!target) {
		target = target_create(poller, backend->id);
		g_hash_table_insert(poller->targets, &target->id, target);
	}
	target->wanted = true;
	target->role = backend_pool(poller->entry, backend)->role;
}

static gboolean target_unwanted(void *key, void *value, void *ctx)
{
	struct target *target = value;
	bool wanted = target->wanted;

	target->wanted = false;
	return !wanted;
}

static void refresh_fire(struct timer *timer, void *ctx)
{
	struct poller *poller = ctx;
	const struct backend *backend;
	uint32_t cursor = 0;

	while ((backend = directory_next(poller->entry->directory, &cursor))) {
		if (backend_is_polled(poller->entry, backend))
			target_ensure(poller, backend);
	}
	g_hash_table_foreach_remove(poller->targets, target_unwanted, NULL);
	poller->polled->value = g_hash_table_size(poller->targets);
	timer_start(timer, REFRESH_INTERVAL_USEC);
}

void poller_refresh(struct poller *poller)
{
	timer_start(&poller->refresh, 0);
}

struct poller *poller_create(struct entry *entry)
{
	struct poller *poller = g_new0(struct poller, 1);

	poller->entry = entry;
	poller->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, target_free);
	timer_init(&poller->refresh, entry->clock, refresh_fire, poller);
	poller->polled = gauge_get(entry->counters, "jt_polled_backends",
				   "Backend servers polled from here", NULL);
	poller->reads = counter_get(entry->counters, "jt_poll_reads_total",
				    "Reports asked for", NULL);
	poller->failures =
		counter_get(entry->counters, "jt_poll_failures_total",
			    "Reports that did not arrive", NULL);
	poller->gaps = counter_get(entry->counters, "jt_cache_gaps_total",
				   "Gaps in cache events", NULL);
	timer_start(&poller->refresh, 0);
	return poller;
}

void poller_destroy(struct poller *poller)
{
	if (!poller)
		return;
	timer_stop(&poller->refresh);
	g_hash_table_destroy(poller->targets);
	g_free(poller);
}
