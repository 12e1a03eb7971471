#include "coord/backpressure.h"

#include <glib.h>

struct item {
	uint64_t server;
	double limit;
	int64_t named_at; /* when the answer that says so came */
};

struct backpressure {
	GHashTable *items; /* server to struct item */
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
	g_hash_table_insert(table->items, &item->server, item);
	return item;
}

static bool item_set(struct item *item, double limit, int64_t at)
{
	bool changed = item->limit < limit || item->limit > limit;

	item->limit = limit;
	item->named_at = at;
	return changed;
}

bool backpressure_answer(struct backpressure *table, int64_t now,
			 uint64_t server,
			 const struct backpressure_signals *signals)
{
	struct item *item;

	if (signals->limited) {
		item = item_get(table, server);
		return item && item_set(item, signals->limit, now);
	}
	item = item_find(table, server);
	if (!item || !signals->of_request ||
	    now - item->named_at < BACKPRESSURE_SETTLE_USEC)
		return false;
	return item_set(item, BACKPRESSURE_UNLIMITED, now);
}

double backpressure_limit(const struct backpressure *table, uint64_t server)
{
	const struct item *item = item_find(table, server);

	return item ? item->limit : BACKPRESSURE_UNLIMITED;
}

uint32_t backpressure_limited(const struct backpressure *table)
{
	GHashTableIter iter;
	struct item *item;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, table->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		count += item->limit >= 0.0;
	return count;
}
