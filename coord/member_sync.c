#include "member_private.h"

/* Facts are compared by bucket. Bucket numbers and data centre ids share one
 * field: ids are hashes, far above FACT_BUCKETS. */
#define FACT_BUCKETS 8u

static uint64_t bucket_of(const struct fact *fact)
{
	return fact->key % FACT_BUCKETS;
}

static void facts_hashes(const struct membership *m, uint64_t *hashes)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->facts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fact *fact = value;

		hashes[bucket_of(fact)] ^= id_mix(fact->key, fact->version);
	}
}

void sync_start(struct membership *m, uint64_t to)
{
	const struct peer *p = peer_find(m, to);
	uint64_t hashes[FACT_BUCKETS] = {0};

	hashes_update(m);
	facts_hashes(m, hashes);
	wire_begin(m);
	for (uint64_t i = 0; i < FACT_BUCKETS; i++)
		pack_pair(m, ITEM_HASH, i, hashes[i]);
	for (guint i = 0; i < m->centres->len; i++) {
		const struct centre *c = m->centres->pdata[i];

		pack_pair(m, ITEM_HASH, c->id, c->hash);
		if (c->version && p && peer_local(m, p))
			pack_reach(m, c);
	}
	m->stats.syncs++;
	wire_send(m, to, WIRE_SYNC, 0, 0, 0);
}

void sync_check(struct membership *m, uint64_t from, const struct wire *wire)
{
	int64_t now = clock_now(m->clock);
	bool quiet = now - m->last_change > m->settings.heartbeat;

	if (wire->view_hash == view_hash_for(m, from) || now < m->sync_next)
		return;
	/* Updates in flight may explain the difference, so a recent change
	 * delays the exchange by up to four periods. */
	if (!quiet && now < m->sync_next + 4 * SYNC_INTERVAL_USEC)
		return;
	m->sync_next = now + SYNC_INTERVAL_USEC +
		       g_rand_int_range(m->rand, 0, SYNC_INTERVAL_USEC);
	sync_start(m, from);
}

static void keys_members(struct membership *m, uint64_t to,
			 const struct centre *c)
{
	wire_begin(m);
	for (guint i = 0; i < m->peers->len; i++) {
		const struct peer *p = m->peers->pdata[i];

		if (p->centre == c && p->confirmed && !p->forgotten)
			pack_row(m, p, false);
	}
	wire_send(m, to, WIRE_KEYS, 0, c->id, 0);
}

static void keys_facts(struct membership *m, uint64_t to, uint64_t bucket)
{
	GHashTableIter iter;
	gpointer value;

	wire_begin(m);
	g_hash_table_iter_init(&iter, m->facts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fact *fact = value;

		if (bucket_of(fact) == bucket)
			pack_pair(m, ITEM_KEY, fact->key, fact->version);
	}
	wire_send(m, to, WIRE_KEYS, 0, bucket, 0);
}

static void hash_compare(struct membership *m, uint64_t from,
			 const struct item *item, const uint64_t *hashes)
{
	const struct centre *c;

	if (item->id < FACT_BUCKETS) {
		if (hashes[item->id] != item->version)
			keys_facts(m, from, item->id);
		return;
	}
	c = centre_find(m, item->id);
	if (c && c->hash != item->version)
		keys_members(m, from, c);
	if (!c && item->version) {
		wire_begin(m);
		wire_send(m, from, WIRE_KEYS, 0, item->id, 0);
	}
}

void sync_hashes(struct membership *m, uint64_t from, const struct wire *wire)
{
	const struct peer *p = peer_find(m, from);
	uint64_t hashes[FACT_BUCKETS] = {0};
	struct item item;

	hashes_update(m);
	facts_hashes(m, hashes);
	for (uint32_t i = 0; i < wire->item_count; i++) {
		if (!item_decode(&wire->items[i], &item))
			m->stats.malformed++;
		else if (item.kind == ITEM_HASH)
			hash_compare(m, from, &item, hashes);
		else if (item.kind == ITEM_REACH && p && peer_local(m, p))
			reach_apply(m, &item);
	}
}

/* Sends the packed rows once they fill a message, or when end is set. */
static void rows_flush(struct membership *m, uint64_t to, bool end)
{
	if (wire_size(m) < SYNC_BYTES_MAX && !end)
		return;
	if (wire_size(m))
		wire_send(m, to, WIRE_ROWS, 0, 0, 0);
	wire_begin(m);
}

static void request_send(struct membership *m, uint64_t to, uint64_t facts)
{
	if (!m->unknown->len)
		return;
	wire_begin(m);
	for (guint i = 0; i < m->unknown->len; i++)
		pack_id(m, g_array_index(m->unknown, uint64_t, i));
	wire_send(m, to, WIRE_REQUEST, 0, facts, 0);
}

/* Merges one row of the other side, or lists it for a request. Peers that the
 * other side knows at least as new go into current; the rest is sent to it. */
static void keys_row_merge(struct membership *m, const struct item *item,
			   GHashTable *current)
{
	struct peer *p = peer_find(m, item->id);

	if (!row_apply(m, item, false))
		g_array_append_val(m->unknown, item->id);
	if (!p)
		return;
	if (item->version > p->view.incarnation ||
	    (item->version == p->view.incarnation && item->number >= p->level))
		g_hash_table_add(current, p);
}

static void keys_members_receive(struct membership *m, uint64_t from,
				 const struct wire *wire)
{
	GHashTable *current = g_hash_table_new(NULL, NULL);
	struct item item;

	for (uint32_t i = 0; i < wire->item_count; i++) {
		if (item_decode(&wire->items[i], &item) &&
		    item.kind == ITEM_ROW)
			keys_row_merge(m, &item, current);
		else
			m->stats.malformed++;
	}
	request_send(m, from, 0);
	wire_begin(m);
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (p->centre->id != wire->a || !p->confirmed || p->forgotten ||
		    g_hash_table_contains(current, p))
			continue;
		pack_row(m, p, true);
		rows_flush(m, from, false);
	}
	rows_flush(m, from, true);
	g_hash_table_destroy(current);
}

static void keys_facts_receive(struct membership *m, uint64_t from,
			       const struct wire *wire)
{
	GHashTable *current = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	struct item item;
	gpointer value;

	for (uint32_t i = 0; i < wire->item_count; i++) {
		struct fact *fact;

		if (!item_decode(&wire->items[i], &item) ||
		    item.kind != ITEM_KEY) {
			m->stats.malformed++;
			continue;
		}
		fact = g_hash_table_lookup(m->facts, &item.id);
		if (!fact || fact->version < item.version)
			g_array_append_val(m->unknown, item.id);
		if (fact && fact->version <= item.version)
			g_hash_table_add(current, fact);
	}
	request_send(m, from, 1);
	wire_begin(m);
	g_hash_table_iter_init(&iter, m->facts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (bucket_of(value) != wire->a ||
		    g_hash_table_contains(current, value))
			continue;
		pack_fact(m, value);
		rows_flush(m, from, false);
	}
	rows_flush(m, from, true);
	g_hash_table_destroy(current);
}

void sync_keys(struct membership *m, uint64_t from, const struct wire *wire)
{
	g_array_set_size(m->unknown, 0);
	if (wire->a < FACT_BUCKETS)
		keys_facts_receive(m, from, wire);
	else
		keys_members_receive(m, from, wire);
}

void sync_request(struct membership *m, uint64_t from, const struct wire *wire)
{
	struct item item;

	wire_begin(m);
	for (uint32_t i = 0; i < wire->item_count; i++) {
		const struct peer *p;
		const struct fact *fact;

		if (!item_decode(&wire->items[i], &item) ||
		    item.kind != ITEM_ID) {
			m->stats.malformed++;
			continue;
		}
		p = wire->a ? NULL : peer_find(m, item.id);
		fact = wire->a ? g_hash_table_lookup(m->facts, &item.id) : NULL;
		if (p && p->confirmed && !p->forgotten)
			pack_row(m, p, true);
		if (fact)
			pack_fact(m, fact);
		rows_flush(m, from, false);
	}
	rows_flush(m, from, true);
}
