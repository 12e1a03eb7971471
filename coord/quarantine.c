#include "quarantine_private.h"

#include "common/clock.h"

/* Older successes are ignored: the servers may run other software by now. */
#define SUCCESS_VALID_USEC (60 * USEC_PER_SEC)

struct quarantine *quarantine_create(const struct quarantine_settings *settings)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->settings = *settings;
	quarantine->items = g_hash_table_new_full(
		fingerprint_hash, fingerprint_equal, NULL, g_free);
	quarantine->subjects = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, quarantine_subject_free);
	return quarantine;
}

void quarantine_destroy(struct quarantine *quarantine)
{
	if (!quarantine)
		return;
	g_hash_table_destroy(quarantine->items);
	g_hash_table_destroy(quarantine->subjects);
	g_free(quarantine);
}

void quarantine_configure(struct quarantine *quarantine,
			  uint32_t crash_threshold)
{
	quarantine->settings.crash_threshold = crash_threshold;
}

bool quarantine_empty(const struct quarantine *quarantine)
{
	return g_hash_table_size(quarantine->items) == 0;
}

struct item *quarantine_item_find(const struct quarantine *quarantine,
				  const struct request_fingerprint *fingerprint)
{
	return g_hash_table_lookup(quarantine->items, fingerprint);
}

bool quarantine_holds(const struct quarantine *quarantine,
		      const struct request_fingerprint *fingerprint)
{
	const struct item *item = quarantine_item_find(quarantine, fingerprint);

	return item && item->held;
}

const struct quarantine_entry *
quarantine_find(const struct quarantine *quarantine,
		const struct request_fingerprint *fingerprint)
{
	const struct item *item = quarantine_item_find(quarantine, fingerprint);

	return item ? &item->entry : NULL;
}

uint32_t quarantine_held(const struct quarantine *quarantine)
{
	return quarantine->held.length;
}

uint32_t quarantine_suspects(const struct quarantine *quarantine)
{
	return g_hash_table_size(quarantine->items) - quarantine->held.length;
}

static void item_queue(struct quarantine *quarantine, struct item *item)
{
	uint32_t count = MIN(item->entry.count, QUARANTINE_CRASHES_MAX - 1);

	item->queue =
		item->held ? &quarantine->held : &quarantine->suspects[count];
	g_queue_push_tail_link(item->queue, &item->link);
}

static void item_drop(struct quarantine *quarantine, struct item *item)
{
	quarantine_subject_remove(quarantine, item);
	g_queue_unlink(item->queue, &item->link);
	g_hash_table_remove(quarantine->items, &item->entry.fingerprint);
}

/* Those with the number of crashes that most suspects have. */
static GQueue *suspects_longest(struct quarantine *quarantine)
{
	GQueue *longest = &quarantine->suspects[0];

	for (uint32_t i = 1; i < G_N_ELEMENTS(quarantine->suspects); i++)
		if (quarantine->suspects[i].length > longest->length)
			longest = &quarantine->suspects[i];
	return longest;
}

static void queues_trim(struct quarantine *quarantine)
{
	const struct quarantine_settings *settings = &quarantine->settings;

	while (quarantine_suspects(quarantine) > settings->suspects_max)
		item_drop(quarantine, suspects_longest(quarantine)->head->data);
	while (quarantine->held.length > settings->held_max)
		item_drop(quarantine, quarantine->held.head->data);
}

static struct item *item_get(struct quarantine *quarantine,
			     const struct request_fingerprint *fingerprint)
{
	struct item *item = quarantine_item_find(quarantine, fingerprint);

	if (item)
		return item;
	item = g_new0(struct item, 1);
	item->entry.fingerprint = *fingerprint;
	item->link.data = item;
	item_queue(quarantine, item);
	quarantine_subject_add(quarantine, item);
	g_hash_table_insert(quarantine->items, &item->entry.fingerprint, item);
	return item;
}

/* Moves it to the tail of the queue that matches its crash count. */
static void item_requeue(struct quarantine *quarantine, struct item *item)
{
	quarantine_subject_changed(item->subject);
	g_queue_unlink(item->queue, &item->link);
	item->held = item->entry.count >=
		     quarantine_threshold(quarantine, &item->entry);
	item_queue(quarantine, item);
	queues_trim(quarantine);
}

/* Keeps the servers ascending, so that equal entries have equal bytes. */
static bool server_add(struct quarantine_entry *entry, uint64_t server)
{
	uint32_t at = 0;

	while (at < entry->count && entry->servers[at] < server)
		at++;
	if (entry->count >= QUARANTINE_CRASHES_MAX ||
	    (at < entry->count && entry->servers[at] == server))
		return false;
	for (uint32_t i = entry->count; i > at; i--)
		entry->servers[i] = entry->servers[i - 1];
	entry->servers[at] = server;
	entry->count++;
	return true;
}

void quarantine_record_success(struct quarantine *quarantine, uint64_t hash,
			       int64_t now)
{
	quarantine->successes[hash % SUCCESS_SLOTS] =
		(struct recent_success){hash, now, true};
}

bool quarantine_has_succeeded(const struct quarantine *quarantine,
			      uint64_t hash, int64_t now)
{
	const struct recent_success *success =
		&quarantine->successes[hash % SUCCESS_SLOTS];

	return success->used && success->hash == hash &&
	       now - success->at < SUCCESS_VALID_USEC;
}

bool quarantine_record_crash(struct quarantine *quarantine,
			     const struct request_fingerprint *fingerprint,
			     uint64_t hash, uint64_t server, int64_t now)
{
	struct item *item;

	if (quarantine_has_succeeded(quarantine, hash, now))
		return false;
	item = item_get(quarantine, fingerprint);
	if (!server_add(&item->entry, server))
		return false;
	item->changed_at = now;
	item_requeue(quarantine, item);
	return true;
}

bool quarantine_clear(struct quarantine *quarantine,
		      const struct request_fingerprint *fingerprint)
{
	struct item *item = quarantine_item_find(quarantine, fingerprint);

	if (!item || item->entry.count == 0)
		return false;
	item->entry.epoch++;
	item->entry.count = 0;
	item_requeue(quarantine, item);
	return true;
}

static bool is_valid(const struct quarantine_entry *entry)
{
	return entry->count <= QUARANTINE_CRASHES_MAX &&
	       (entry->count > 0 || entry->epoch > 0);
}

/* A later epoch discards the crashes of earlier ones. */
static bool epoch_advance(struct quarantine_entry *known, uint32_t epoch)
{
	if (epoch <= known->epoch)
		return false;
	known->epoch = epoch;
	known->count = 0;
	return true;
}

bool quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_entry *entry, int64_t now)
{
	struct item *item;
	bool changed;

	if (!is_valid(entry))
		return false;
	item = item_get(quarantine, &entry->fingerprint);
	changed = epoch_advance(&item->entry, entry->epoch);
	if (entry->epoch == item->entry.epoch)
		for (uint32_t i = 0; i < entry->count; i++)
			changed |= server_add(&item->entry, entry->servers[i]);
	/* An entry of a cleared request must not cause a second delete from the
	 * store. */
	item->entry.stored |=
		entry->stored &&
		entry->count >= quarantine_threshold(quarantine, entry);
	if (!changed)
		return false;
	item->changed_at = now;
	item_requeue(quarantine, item);
	return true;
}

uint32_t quarantine_next(struct quarantine *quarantine,
			 struct quarantine_entry *entries, uint32_t max)
{
	uint32_t size = g_hash_table_size(quarantine->items);
	uint32_t count = MIN(size, max);
	GHashTableIter iter;
	struct item *item;
	uint64_t at = 0;
	uint64_t from;

	if (count == 0)
		return 0;
	from = quarantine->exported % size;
	quarantine->exported += count;
	g_hash_table_iter_init(&iter, quarantine->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		uint64_t position = (at++ + size - from) % size;

		if (position < count)
			entries[position] = item->entry;
	}
	return count;
}

/* The oldest item of the queue whose stored flag is not the given one. */
static const struct item *unstored_find(const GQueue *queue, bool stored)
{
	for (const GList *link = queue->head; link; link = link->next) {
		const struct item *item = link->data;

		if (item->entry.stored != stored || item->store_lost)
			return item;
	}
	return NULL;
}

bool quarantine_unstored(const struct quarantine *quarantine,
			 struct quarantine_entry *entry)
{
	const struct item *item = unstored_find(&quarantine->held, true);

	for (uint32_t i = 0; !item && i < G_N_ELEMENTS(quarantine->suspects);
	     i++)
		item = unstored_find(&quarantine->suspects[i], false);
	if (!item)
		return false;
	*entry = item->entry;
	return true;
}

void quarantine_stored(struct quarantine *quarantine,
		       const struct request_fingerprint *fingerprint,
		       bool stored)
{
	struct item *item = quarantine_item_find(quarantine, fingerprint);

	if (!item)
		return;
	item->entry.stored = stored;
	item->store_lost = false;
}

/* Not in the entry's own flag, which peers would set again. */
void quarantine_store_lost(struct quarantine *quarantine)
{
	for (GList *link = quarantine->held.head; link; link = link->next)
		((struct item *)link->data)->store_lost = true;
	for (uint32_t i = 0; i < G_N_ELEMENTS(quarantine->suspects); i++)
		for (GList *link = quarantine->suspects[i].head; link;
		     link = link->next) {
			struct item *item = link->data;

			item->store_lost = item->entry.epoch > 0;
		}
}
