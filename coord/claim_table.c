#include "claim_table.h"

#include "coord/claim.h"

struct entry {
	uint64_t key;
	struct claim_id first;
	int64_t last_us; /* log's time of the last claim of the key */
	bool unsure;	 /* a claim before the first may be missing */
	GList link;	 /* in order of the last claim */
};

struct claim_table {
	GHashTable *entries; /* key to struct entry */
	GQueue order;
	uint32_t max;
	int64_t now_us; /* highest log time of a folded record */
	/* Until then an unknown key may have been claimed already: its claim
	 * was dropped while the table was full. */
	int64_t incomplete_until_us;
};

struct claim_table *claim_table_create(uint32_t max)
{
	struct claim_table *table = g_new0(struct claim_table, 1);

	table->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	g_queue_init(&table->order);
	table->max = max;
	table->now_us = INT64_MIN;
	table->incomplete_until_us = INT64_MIN;
	return table;
}

void claim_table_destroy(struct claim_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->entries);
	g_free(table);
}

static void table_expire(struct claim_table *table)
{
	GList *link;

	while ((link = g_queue_peek_head_link(&table->order))) {
		struct entry *entry = link->data;

		if (entry->last_us > table->now_us - CLAIM_KEEP_USEC)
			break;
		g_queue_unlink(&table->order, link);
		g_hash_table_remove(table->entries, &entry->key);
	}
}

static bool table_is_incomplete(const struct claim_table *table)
{
	return table->now_us < table->incomplete_until_us;
}

static enum claim_verdict entry_verdict(const struct entry *entry,
					const struct claim *claim,
					struct owner *winner)
{
	*winner = entry->first.owner;
	if (!claim_id_equal(&entry->first, &claim->id))
		return CLAIM_LOST;
	return entry->unsure ? CLAIM_UNSURE : CLAIM_WON;
}

static struct entry *table_add(struct claim_table *table,
			       const struct claim *claim)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->key = claim->key;
	entry->first = claim->id;
	entry->unsure = table_is_incomplete(table);
	entry->link.data = entry;
	g_hash_table_insert(table->entries, &entry->key, entry);
	g_queue_push_tail_link(&table->order, &entry->link);
	return entry;
}

enum claim_verdict claim_table_fold(struct claim_table *table,
				    const struct claim *claim, int64_t unix_us,
				    struct owner *winner)
{
	struct entry *entry;

	/* The log's clock may be set back; keys are then kept longer. */
	table->now_us = MAX(table->now_us, MAX(unix_us, 0));
	table_expire(table);
	entry = g_hash_table_lookup(table->entries, &claim->key);
	if (!entry && claim_table_size(table) >= table->max) {
		table->incomplete_until_us = table->now_us + CLAIM_KEEP_USEC;
		return CLAIM_UNSURE;
	}
	if (entry) {
		g_queue_unlink(&table->order, &entry->link);
		g_queue_push_tail_link(&table->order, &entry->link);
	} else {
		entry = table_add(table, claim);
	}
	entry->last_us = table->now_us;
	return entry_verdict(entry, claim, winner);
}

enum claim_verdict claim_table_find(const struct claim_table *table,
				    const struct claim *claim,
				    struct owner *winner)
{
	const struct entry *entry =
		g_hash_table_lookup(table->entries, &claim->key);

	return entry ? entry_verdict(entry, claim, winner) : CLAIM_NEW;
}

uint32_t claim_table_size(const struct claim_table *table)
{
	return g_hash_table_size(table->entries);
}

bool claim_table_accepts_new(const struct claim_table *table)
{
	return !table_is_incomplete(table) &&
	       claim_table_size(table) < table->max;
}
