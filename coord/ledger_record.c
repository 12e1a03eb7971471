#include "ledger_parts.h"

#include <string.h>

#define EXPIRY_INTERVAL_USEC (1 * USEC_PER_SEC)
/* The check for abandoned records goes on for this long after the last of them
 * can have become due. */
#define ABANDONED_CHECK_USEC (10 * USEC_PER_SEC)
#define RETENTION_DEFAULT_USEC (60 * USEC_PER_SEC)

static void expire(struct timer *timer, void *ctx);

static void record_free(void *data)
{
	struct record *record = data;

	record->cell->ledger->record_count--;
	if (record->ended != NULL)
		g_queue_delete_link(&record->cell->ended, record->ended);
	g_queue_clear(&record->parked);
	g_free(record);
}

void records_init(struct cell *cell)
{
	cell->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      record_free);
	g_queue_init(&cell->ended);
	timer_init(&cell->expiry, cell->ledger->clock, expire, cell);
}

void records_clear(struct cell *cell)
{
	timer_stop(&cell->expiry);
	g_hash_table_remove_all(cell->records);
}

struct record *record_find(const struct cell *cell, uint64_t key)
{
	return g_hash_table_lookup(cell->records, &key);
}

static bool record_evict_oldest(struct cell *cell)
{
	struct record *oldest = g_queue_peek_head(&cell->ended);

	if (oldest == NULL)
		return false;
	record_remove(oldest);
	return true;
}

struct record *record_add(struct cell *cell, uint64_t key)
{
	struct ledger *ledger = cell->ledger;
	struct record *record;

	if (ledger->record_count >= ledger->settings.records_max &&
	    !record_evict_oldest(cell))
		return NULL;
	record = g_new0(struct record, 1);
	record->cell = cell;
	record->key = key;
	record->expires = CLOCK_NEVER;
	record->confirm_by = clock_now(ledger->clock) +
			     ledger->settings.settle +
			     ledger->settings.orphan_grace;
	g_queue_init(&record->parked);
	ledger->record_count++;
	g_hash_table_insert(cell->records, &record->key, record);
	if (!timer_running(&cell->expiry))
		timer_start(&cell->expiry, EXPIRY_INTERVAL_USEC);
	return record;
}

void record_touch(struct record *record)
{
	if (!record->cell->is_home || record->dirty)
		return;
	record->dirty = true;
	replica_touch(record->cell, record->key);
}

void record_set_owner(struct record *record, const struct owner *owner,
		      uint64_t request)
{
	record->state = RECORD_RUNNING;
	record->owner = *owner;
	record->owner_request = request;
	record_touch(record);
}

void record_unpark(struct record *record)
{
	GQueue parked = record->parked;
	struct pending *pending;

	g_queue_init(&record->parked);
	while ((pending = g_queue_pop_head(&parked)) != NULL) {
		pending->parked = NULL;
		pending_resolve(pending);
	}
}

void record_remove(struct record *record)
{
	struct cell *cell = record->cell;
	uint64_t key = record->key;
	GQueue parked = record->parked;
	struct pending *pending;

	g_queue_init(&record->parked);
	if (record->grant != NULL)
		record->grant->record = NULL;
	if (record->pending != NULL)
		record->pending->record = NULL;
	record_touch(record);
	g_hash_table_remove(cell->records, &key);
	while ((pending = g_queue_pop_head(&parked)) != NULL) {
		pending->parked = NULL;
		pending_resolve(pending);
	}
}

static int64_t retention_of(const struct record *record)
{
	const struct service *service =
		service_find(record->cell->ledger, record->service);

	if (service == NULL || service->config->record_ms == 0)
		return RETENTION_DEFAULT_USEC;
	return (int64_t)service->config->record_ms * USEC_PER_MSEC;
}

static void record_queue_expiry(struct record *record)
{
	if (record->ended != NULL)
		return;
	g_queue_push_tail(&record->cell->ended, record);
	record->ended = g_queue_peek_tail_link(&record->cell->ended);
}

void record_end(struct record *record, uint32_t state)
{
	if (state == RECORD_REMOVED) {
		record_remove(record);
		return;
	}
	record->state = (enum record_state)state;
	record->expires =
		clock_now(record->cell->ledger->clock) + retention_of(record);
	record_queue_expiry(record);
	record_touch(record);
	record_unpark(record);
}

/* A running record without a grant or a waiting request is a copy from the
 * former home whose owner has not announced it; it ends after confirm_by. */
static bool is_abandoned(const struct record *record, int64_t now)
{
	return record->state == RECORD_RUNNING && record->grant == NULL &&
	       record->pending == NULL && record->cell->is_home &&
	       record->cell->settled && now >= record->confirm_by;
}

void records_check_abandoned(struct cell *cell)
{
	const struct ledger *ledger = cell->ledger;

	cell->abandoned_check_until =
		clock_now(ledger->clock) + ABANDONED_CHECK_USEC +
		ledger->settings.settle + ledger->settings.orphan_grace;
	if (!timer_running(&cell->expiry))
		timer_start(&cell->expiry, EXPIRY_INTERVAL_USEC);
}

static void end_abandoned(struct cell *cell, int64_t now)
{
	GHashTableIter iter;
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	void *value;

	g_hash_table_iter_init(&iter, cell->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct record *record = value;

		if (is_abandoned(record, now))
			g_array_append_val(keys, record->key);
	}
	for (guint i = 0; i < keys->len; i++) {
		struct record *record =
			record_find(cell, g_array_index(keys, uint64_t, i));

		if (record != NULL)
			record_end(record, record->idempotent ? RECORD_REMOVED
							      : RECORD_FAILED);
	}
	g_array_free(keys, TRUE);
}

static void expire(struct timer *timer, void *ctx)
{
	struct cell *cell = ctx;
	int64_t now = clock_now(cell->ledger->clock);
	struct record *record;

	while ((record = g_queue_peek_head(&cell->ended)) != NULL &&
	       record->expires <= now)
		record_remove(record);
	if (now < cell->abandoned_check_until)
		end_abandoned(cell, now);
	if (g_hash_table_size(cell->records) > 0)
		timer_start(timer, EXPIRY_INTERVAL_USEC);
}

static void record_copy_fields(struct record *record, const struct record *copy)
{
	record->fingerprint = copy->fingerprint;
	record->state = copy->state;
	record->owner = copy->owner;
	record->owner_request = copy->owner_request;
	record->attempt = copy->attempt;
	record->tag = copy->tag;
	record->decode = copy->decode;
	record->pieces = copy->pieces;
	record->service = copy->service;
	record->idempotent = copy->idempotent;
	memcpy(record->stream, copy->stream, sizeof(record->stream));
}

void record_merge(struct cell *cell, const struct record *copy)
{
	struct record *record = record_find(cell, copy->key);

	if ((uint32_t)copy->state == RECORD_REMOVED) {
		if (record != NULL && !cell->is_home)
			record_remove(record);
		return;
	}
	if (cell->is_home && record != NULL &&
	    (record->state != RECORD_RUNNING || record->grant != NULL ||
	     record->pending != NULL))
		return;
	if (record == NULL)
		record = record_add(cell, copy->key);
	if (record == NULL)
		return;
	record_copy_fields(record, copy);
	record_touch(record);
	if (record->state == RECORD_RUNNING) {
		records_check_abandoned(cell);
		return;
	}
	record->expires = copy->expires;
	record_queue_expiry(record);
	record_unpark(record);
}
