#include <string.h>

#include "common/log.h"
#include "member_private.h"

void fact_free(void *data)
{
	g_free(data);
}

static void fact_drop(struct membership *m, struct fact *fact)
{
	update_remove(m, &fact->update);
	m->facts_hash ^= id_mix(fact->key, fact->version);
	m->hashes_stale = true;
	g_hash_table_remove(m->facts, &fact->key);
}

static struct fact *fact_store(struct membership *m, uint64_t key,
			       uint64_t version, const void *value, size_t size)
{
	struct fact *old = g_hash_table_lookup(m->facts, &key);
	struct fact *fact;

	if (!old && g_hash_table_size(m->facts) >= FACTS_MAX) {
		log_event(LOG_WARNING, "facts_full", LOG_X("key", key));
		return NULL;
	}
	if (old)
		fact_drop(m, old);
	fact = g_malloc0(sizeof(*fact) + size);
	fact->update.kind = UPDATE_FACT;
	fact->key = key;
	fact->version = version;
	fact->set_at = clock_now(m->clock);
	fact->size = size;
	if (size)
		memcpy(fact->value, value, size);
	g_hash_table_insert(m->facts, &fact->key, fact);
	m->facts_hash ^= id_mix(key, version);
	m->hashes_stale = true;
	m->last_change = fact->set_at;
	return fact;
}

bool fact_apply(struct membership *m, const struct item *item, bool disseminate)
{
	const struct fact *old = g_hash_table_lookup(m->facts, &item->id);
	int64_t age = (int64_t)item->number * USEC_PER_SEC;
	struct fact *fact;

	if (old && old->version >= item->version)
		return false;
	if (age >= FACT_TTL_USEC)
		return false;
	fact = fact_store(m, item->id, item->version, item->value.data,
			  item->value.size);
	if (!fact)
		return false;
	fact->set_at -= age;
	if (disseminate)
		update_add(m, &fact->update);
	if (m->ops.fact)
		m->ops.fact(m->ctx, fact->key, fact->version, fact->value,
			    fact->size);
	return true;
}

void membership_fact_set(struct membership *m, uint64_t key, uint64_t version,
			 const void *value, size_t size)
{
	const struct fact *old;
	struct fact *fact;

	if (size > FACT_BYTES_MAX || (size && !value)) {
		log_event(LOG_ERR, "fact_refused", LOG_X("key", key),
			  LOG_D("size", size));
		return;
	}
	old = g_hash_table_lookup(m->facts, &key);
	if (old && old->version >= version)
		return;
	fact = fact_store(m, key, version, value, size);
	if (fact)
		update_add(m, &fact->update);
}

const void *membership_fact_find(const struct membership *m, uint64_t key,
				 size_t *size)
{
	const struct fact *fact = g_hash_table_lookup(m->facts, &key);

	if (!fact)
		return NULL;
	*size = fact->size;
	return fact->value;
}

void facts_sweep(struct membership *m)
{
	int64_t now = clock_now(m->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->facts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fact *fact = value;

		if (now - fact->set_at <= FACT_TTL_USEC)
			continue;
		update_remove(m, &fact->update);
		m->facts_hash ^= id_mix(fact->key, fact->version);
		m->hashes_stale = true;
		g_hash_table_iter_remove(&iter);
	}
}
