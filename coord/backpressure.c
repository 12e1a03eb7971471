#include "coord/backpressure.h"

#include <glib.h>

#include "common/clock.h"

/* Lowest rate, also for a limit of 0: only the answer to a request can show
 * that the limit has been lifted. */
#define MIN_PER_SEC 0.25
/* Capacity of the bucket in seconds of the limit; at least one request. */
#define BURST_SEC 0.5
/* Longest delay until an instance that was denied retries. */
#define RETRY_MAX_USEC (1 * USEC_PER_SEC)
/* Facts are exported for this long after the answer that they come from. */
#define EXPORT_USEC (30 * USEC_PER_SEC)
#define UNKNOWN_SERVER_USEC (60 * USEC_PER_SEC)
/* Value of signalled_at while no limit has been signalled. */
#define NEVER (INT64_MIN / 4)

struct item {
	uint64_t server;
	double limit;
	int64_t signalled_at; /* when its answer arrived; or NEVER */
	bool leaving;
	int64_t leaving_at; /* when it last signalled leaving */
	int64_t backoff_until;
	int64_t cold_until;
	double cold_limit; /* the limit while cold */
	bool level_valid;
	double level; /* tokens at level_at */
	int64_t level_at;
	int64_t last_retry_at; /* latest retry time given to an instance */
};

struct backpressure {
	GHashTable *items; /* server to struct item */
	uint32_t limited;
	uint32_t next_export; /* index of the next fact to export */
};

struct backpressure *backpressure_create(void)
{
	struct backpressure *table = g_new0(struct backpressure, 1);

	table->items = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	return table;
}

void backpressure_destroy(struct backpressure *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->items);
	g_free(table);
}

static struct item *item_find(const struct backpressure *table, uint64_t server)
{
	return g_hash_table_lookup(table->items, &server);
}

/* NULL when the table is full. */
static struct item *item_get(struct backpressure *table, uint64_t server)
{
	struct item *item = item_find(table, server);

	if (item || g_hash_table_size(table->items) >= BACKPRESSURE_SERVERS_MAX)
		return item;
	item = g_new0(struct item, 1);
	item->server = server;
	item->limit = BACKPRESSURE_UNLIMITED;
	item->signalled_at = NEVER;
	g_hash_table_insert(table->items, &item->server, item);
	return item;
}

static bool is_limited(const struct item *item)
{
	return item->limit >= 0.0;
}

static bool is_cold(const struct item *item, int64_t now)
{
	return now < item->cold_until;
}

/* The limit that is enforced now. */
static double limit_at(const struct item *item, int64_t now)
{
	if (!is_cold(item, now))
		return item->limit;
	return is_limited(item) ? MIN(item->limit, item->cold_limit)
				: item->cold_limit;
}

static bool item_set(struct backpressure *table, struct item *item,
		     double limit, int64_t at)
{
	bool changed = item->limit < limit || item->limit > limit;

	table->limited -= is_limited(item);
	item->limit = limit;
	item->signalled_at = at;
	table->limited += is_limited(item);
	return changed;
}

static unsigned int limit_answer(struct backpressure *table, struct item *item,
				 int64_t now,
				 const struct backpressure_signals *signals)
{
	bool changed = false;

	if (signals->limited)
		changed = item_set(table, item, signals->limit, now);
	else if (signals->of_request && is_limited(item) &&
		 now - item->signalled_at >= BACKPRESSURE_SETTLE_USEC)
		changed = item_set(table, item, BACKPRESSURE_UNLIMITED, now);
	return changed ? BACKPRESSURE_LIMIT : 0;
}

static unsigned int leaving_set(struct item *item, int64_t now)
{
	bool changed = !item->leaving;

	item->leaving = true;
	item->leaving_at = now;
	return changed ? BACKPRESSURE_LEAVING : 0;
}

static unsigned int backoff_set(struct item *item, int64_t until)
{
	if (until <= item->backoff_until)
		return 0;
	item->backoff_until = until;
	return BACKPRESSURE_BACKOFF;
}

unsigned int backpressure_answer(struct backpressure *table, int64_t now,
				 uint64_t server,
				 const struct backpressure_signals *signals)
{
	bool has_signals = signals->limited || signals->leaving ||
			   signals->backoff_usec > 0;
	struct item *item = has_signals ? item_get(table, server)
					: item_find(table, server);
	unsigned int changed;

	if (!item)
		return 0;
	changed = limit_answer(table, item, now, signals);
	if (signals->leaving)
		changed |= leaving_set(item, now);
	if (signals->backoff_usec > 0)
		changed |= backoff_set(item, now + signals->backoff_usec);
	return changed;
}

unsigned int backpressure_merge(struct backpressure *table, int64_t now,
				const struct backpressure_fact *fact)
{
	bool has_signals =
		fact->leaving || fact->limit >= 0.0 || fact->cold_usec > 0;
	struct item *item = has_signals ? item_get(table, fact->server)
					: item_find(table, fact->server);
	int64_t at = now - fact->age_usec;
	unsigned int changed = 0;

	if (!item)
		return 0;
	if (fact->cold_usec > 0 && !is_cold(item, now)) {
		item->cold_until = now + fact->cold_usec;
		item->cold_limit = fact->cold_limit;
	}
	if (fact->leaving && !item->leaving)
		changed |= leaving_set(item, now);
	if (at > item->signalled_at && item_set(table, item, fact->limit, at))
		changed |= BACKPRESSURE_LIMIT;
	return changed;
}

void backpressure_cold(struct backpressure *table, int64_t until,
		       uint64_t server, double limit)
{
	struct item *item = item_get(table, server);

	if (!item || until <= item->cold_until)
		return;
	item->cold_until = until;
	item->cold_limit = limit;
}

/* Whether other instances may not know the facts yet. */
static bool is_exported(const struct item *item, int64_t now)
{
	return now - item->signalled_at < EXPORT_USEC ||
	       (item->leaving && now - item->leaving_at < EXPORT_USEC);
}

static void fact_fill(const struct item *item, int64_t now,
		      struct backpressure_fact *fact)
{
	*fact = (struct backpressure_fact){
		.server = item->server,
		.limit = item->limit,
		.age_usec = MAX(now - item->signalled_at, 0),
		.leaving = item->leaving,
	};
}

uint32_t backpressure_export(struct backpressure *table, int64_t now,
			     struct backpressure_fact *facts, uint32_t max)
{
	uint32_t all = g_hash_table_size(table->items);
	uint32_t start = all > max ? table->next_export % all : 0;
	uint32_t count = 0;
	uint32_t at = 0;
	GHashTableIter iter;
	struct item *item;

	g_hash_table_iter_init(&iter, table->items);
	while (count < max &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		if (at++ >= start && is_exported(item, now))
			fact_fill(item, now, &facts[count++]);
	table->next_export = at < all ? at : 0;
	return count;
}

bool backpressure_find(const struct backpressure *table, int64_t now,
		       uint64_t server, struct backpressure_fact *fact)
{
	const struct item *item = item_find(table, server);

	if (!item)
		return false;
	fact_fill(item, now, fact);
	if (is_cold(item, now)) {
		fact->cold_usec = item->cold_until - now;
		fact->cold_limit = item->cold_limit;
	}
	return true;
}

double backpressure_limit(const struct backpressure *table, uint64_t server)
{
	const struct item *item =
		table->limited > 0 ? item_find(table, server) : NULL;

	return item ? item->limit : BACKPRESSURE_UNLIMITED;
}

bool backpressure_leaving(const struct backpressure *table, uint64_t server)
{
	const struct item *item = item_find(table, server);

	return item && item->leaving;
}

int64_t backpressure_backoff(const struct backpressure *table, uint64_t server)
{
	const struct item *item = item_find(table, server);

	return item ? item->backoff_until : 0;
}

uint32_t backpressure_limited(const struct backpressure *table)
{
	return table->limited;
}

static double rate_of(const struct item *item, int64_t now)
{
	return MAX(limit_at(item, now), MIN_PER_SEC);
}

static void level_advance(struct item *item, int64_t now)
{
	double sec = (double)(now - item->level_at) / (double)USEC_PER_SEC;
	double rate = rate_of(item, now);
	double max = MAX(rate * BURST_SEC, 1.0);

	if (item->level_valid)
		item->level = MIN(item->level + rate * sec, max);
	item->level_valid = true;
	item->level_at = now;
}

/* Spreads the retries of denied instances at the fill rate of the bucket. */
static int64_t retry_reserve(struct item *item, int64_t now)
{
	double step = (double)USEC_PER_SEC / rate_of(item, now);
	int64_t fits = now + (int64_t)((1.0 - item->level) * step) + 1;

	if (item->last_retry_at < fits)
		item->last_retry_at = fits;
	else
		item->last_retry_at += (int64_t)step;
	item->last_retry_at = MIN(item->last_retry_at, now + RETRY_MAX_USEC);
	return item->last_retry_at - now;
}

bool backpressure_grant(struct backpressure *table, int64_t now,
			uint64_t server, int64_t *retry_usec)
{
	struct item *item = item_find(table, server);

	if (!item || limit_at(item, now) < 0.0)
		return true;
	level_advance(item, now);
	if (item->level >= 1.0) {
		item->level -= 1.0;
		return true;
	}
	*retry_usec = retry_reserve(item, now);
	return false;
}

/* Whether all facts about the server have expired. */
static bool is_expired(const struct item *item, int64_t now)
{
	return !is_limited(item) && !is_cold(item, now) && !item->leaving &&
	       !is_exported(item, now) && now >= item->backoff_until;
}

static bool is_stale(const struct item *item, int64_t now)
{
	return now - item->signalled_at >= UNKNOWN_SERVER_USEC &&
	       now - item->leaving_at >= UNKNOWN_SERVER_USEC &&
	       now >= item->backoff_until;
}

void backpressure_prune(struct backpressure *table, int64_t now,
			backpressure_exists_fn exists, void *ctx)
{
	GHashTableIter iter;
	struct item *item;

	g_hash_table_iter_init(&iter, table->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		if (!is_expired(item, now) &&
		    !(is_stale(item, now) && !exists(ctx, item->server)))
			continue;
		table->limited -= is_limited(item);
		g_hash_table_iter_remove(&iter);
	}
}
