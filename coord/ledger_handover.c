#include "ledger_parts.h"

#include <string.h>

#define RESEND_USEC (60 * USEC_PER_MSEC)
#define RESEND_MAX_USEC (1 * USEC_PER_SEC)
#define RESEND_SHIFT_MAX 4u
/* Maximum number of unacknowledged chunks. */
#define CHUNK_WINDOW 8u

/* Builds the chunks of an announcement. */
struct builder {
	struct entries entries;
	GPtrArray *chunks;
};

static void chunk_unref(void *data)
{
	if (data != NULL)
		g_bytes_unref(data);
}

static void builder_check(struct builder *builder)
{
	if (builder->entries.buffer.size >= LEDGER_CHUNK_MAX)
		g_ptr_array_add(builder->chunks,
				entries_take(&builder->entries));
}

static void add_item(struct builder *builder, const struct ledger *ledger,
		     const struct item *item)
{
	struct grant_entry entry = {
		.owner = {ledger->self, item->incarnation},
		.request = item->request,
		.attempt = item->attempt,
		.tag = item->tag,
		.key = item->key,
		.fingerprint = item->fingerprint,
		.service = item->service,
		.idempotent = item->idempotent,
		.class = item->need.class,
		.prefill = item->grant.prefill,
		.decode = item->grant.decode,
		.pieces = item->grant.pieces,
	};

	g_strlcpy(entry.stream, item->stream, sizeof(entry.stream));
	grant_entry_pack(&builder->entries, ENTRY_GRANT, &entry);
	builder_check(builder);
}

static void add_items(struct builder *builder, const struct cell *cell)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cell->ledger->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct item *item = value;

		if (item->cell == cell && item->state == ITEM_GRANTED)
			add_item(builder, cell->ledger, item);
	}
}

static void add_orphans(struct builder *builder, const struct cell *cell)
{
	for (guint i = 0; i < cell->orphans->len; i++) {
		gsize size;
		const void *data = g_bytes_get_data(
			g_ptr_array_index(cell->orphans, i), &size);

		entries_add(&builder->entries, data, size);
		builder_check(builder);
	}
}

static void add_records(struct builder *builder, const struct cell *cell)
{
	int64_t now = clock_now(cell->ledger->clock);
	GHashTableIter iter;
	void *value;

	if (cell->home == cell->ledger->self)
		return;
	g_hash_table_iter_init(&iter, cell->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_entry_pack(&builder->entries, value, now);
		builder_check(builder);
	}
}

static void chunks_build(struct cell *cell, GPtrArray *chunks)
{
	struct builder builder = {.chunks = chunks};

	entries_init(&builder.entries);
	add_items(&builder, cell);
	add_orphans(&builder, cell);
	add_records(&builder, cell);
	if (builder.entries.count > 0 || chunks->len == 0)
		g_ptr_array_add(chunks, entries_take(&builder.entries));
	entries_clear(&builder.entries);
}

static void chunk_send(const struct cell *cell, guint index)
{
	struct ledger *ledger = cell->ledger;
	const struct announce *announce = &cell->announce;
	GBytes *chunk = g_ptr_array_index(announce->chunks, index);
	msgpack_packer *packer;
	gsize size;
	const void *data = g_bytes_get_data(chunk, &size);

	packer =
		message_begin(ledger, MESSAGE_ANNOUNCE, ledger->incarnation, 5);
	pack_u(packer, cell->id);
	pack_u(packer, announce->epoch);
	pack_u(packer, index);
	pack_u(packer, announce->chunks->len);
	pack_bin(packer, data, size);
	message_send(ledger, cell->home);
}

/* Resends the unacknowledged chunks of the window. */
static void announce_send(struct cell *cell)
{
	struct announce *announce = &cell->announce;
	uint32_t shift = MIN(announce->sends, RESEND_SHIFT_MAX);

	for (guint i = 0; i < announce->sent; i++) {
		if (g_ptr_array_index(announce->chunks, i) != NULL)
			chunk_send(cell, i);
	}
	announce->sends++;
	timer_start(&announce->timer,
		    MIN(RESEND_USEC << shift, RESEND_MAX_USEC));
}

static void announce_next(struct cell *cell)
{
	struct announce *announce = &cell->announce;

	if (announce->sent < announce->chunks->len)
		chunk_send(cell, announce->sent++);
	announce->sends = 0;
}

static void announce_timer(struct timer *timer, void *ctx)
{
	announce_send(ctx);
}

void announce_init(struct cell *cell)
{
	cell->announce.chunks = g_ptr_array_new_with_free_func(chunk_unref);
	timer_init(&cell->announce.timer, cell->ledger->clock, announce_timer,
		   cell);
}

void announce_stop(struct cell *cell)
{
	timer_stop(&cell->announce.timer);
	g_ptr_array_set_size(cell->announce.chunks, 0);
	cell->announce.missing = 0;
}

void announce_start(struct cell *cell)
{
	struct announce *announce = &cell->announce;

	announce_stop(cell);
	if (cell->home == 0)
		return;
	announce->epoch++;
	announce->sends = 0;
	chunks_build(cell, announce->chunks);
	announce->missing = announce->chunks->len;
	announce->sent = MIN(announce->missing, CHUNK_WINDOW);
	announce_send(cell);
}

void announce_receive_ack(struct ledger *ledger, uint64_t from,
			  struct reader *reader)
{
	struct cell *cell = cell_find(ledger, read_u(reader));
	uint32_t epoch = (uint32_t)read_u(reader);
	uint32_t index = (uint32_t)read_u(reader);
	struct announce *announce;

	if (reader->bad || cell == NULL || cell->home != from)
		return;
	announce = &cell->announce;
	if (announce->epoch != epoch || index >= announce->chunks->len ||
	    g_ptr_array_index(announce->chunks, index) == NULL)
		return;
	g_bytes_unref(g_ptr_array_index(announce->chunks, index));
	announce->chunks->pdata[index] = NULL;
	if (--announce->missing > 0) {
		announce_next(cell);
		return;
	}
	announce_stop(cell);
	g_ptr_array_set_size(cell->orphans, 0);
	if (cell->home != ledger->self && cell->replica != ledger->self)
		records_clear(cell);
	holder_announced(cell);
}

void announce_unknown_send(struct cell *cell, uint64_t to, uint64_t incarnation,
			   uint32_t epoch)
{
	const struct owner owner = {to, incarnation};

	message_send_pair(cell->ledger, &owner, MESSAGE_UNKNOWN_EPOCH, cell->id,
			  epoch);
}

/* Epoch 0 requests an announcement from an instance that takes the sender for
 * its home. */
void announce_receive_unknown(struct ledger *ledger, uint64_t from,
			      struct reader *reader)
{
	struct cell *cell = cell_find(ledger, read_u(reader));
	uint32_t epoch = (uint32_t)read_u(reader);

	if (reader->bad || cell == NULL || cell->home != from ||
	    cell->announce.missing > 0)
		return;
	if (epoch == 0 || epoch == cell->announce.epoch)
		announce_start(cell);
}

void announcer_destroy(void *data)
{
	struct announcer *announcer = data;

	for (uint32_t i = 0; i < announcer->total; i++) {
		if (announcer->chunks[i] != NULL)
			g_bytes_unref(announcer->chunks[i]);
	}
	g_free(announcer->chunks);
	g_free(announcer);
}

static struct announcer *announcer_create(uint64_t incarnation, uint32_t epoch,
					  uint32_t total)
{
	struct announcer *announcer = g_new0(struct announcer, 1);

	announcer->incarnation = incarnation;
	announcer->epoch = epoch;
	announcer->total = total;
	announcer->missing = total;
	announcer->chunks = g_new0(GBytes *, total);
	return announcer;
}

/* Ends the announced grant if another request has the record of its key. */
static void import_grant(struct cell *cell, const struct grant_entry *entry)
{
	struct grant *grant = grant_find(cell, &entry->owner, entry->request);
	struct record *record = record_find(cell, entry->key);

	if (grant != NULL && grant->holder.attempt == entry->attempt) {
		grant->acknowledged = true;
		timer_stop(&grant->timer);
		grant_set_stream(grant, entry->stream);
		return;
	}
	if (grant != NULL)
		grant_free(grant);
	grant = grant_from_entry(cell, entry);
	grant->adopted = !owner_equal(&grant->tag.owner, &grant->holder.owner);
	if (entry->key == 0 || record == NULL || grant->record != NULL)
		return;
	grant->revoked = true;
	grant_close(grant, RECORD_REMOVED);
}

static void import_orphan(struct cell *cell, const struct grant_entry *entry)
{
	uint32_t decode = runner_index(cell, entry->decode);
	struct grant *grant;

	if (decode == RUNNER_NONE ||
	    grant_find_by_tag(cell, decode, &entry->tag) != NULL)
		return;
	if (!entry->closing &&
	    grant_find(cell, &entry->owner, entry->request) != NULL)
		return;
	grant = grant_from_entry(cell, entry);
	g_strlcpy(grant->stream, entry->stream, sizeof(grant->stream));
	if (entry->closing)
		grant_close(grant, RECORD_REMOVED);
	else
		grant_orphan(grant);
}

/* State while the entries of one announcement are imported. */
struct import {
	struct cell *cell;
	const struct owner *owner;
	GHashTable *listed; /* grant_entry by request */
};

static void list_add(GHashTable *listed, const struct grant_entry *entry)
{
	struct grant_entry *copy = g_new(struct grant_entry, 1);

	*copy = *entry;
	g_hash_table_replace(listed, &copy->request, copy);
}

static void import_grant_entry(struct import *import, uint64_t kind,
			       struct reader *reader)
{
	struct grant_entry entry;

	if (!grant_entry_read(reader, &entry))
		return;
	if (kind == ENTRY_ORPHAN)
		import_orphan(import->cell, &entry);
	else if (owner_equal(&entry.owner, import->owner))
		list_add(import->listed, &entry);
}

static void import_entry(void *ctx, struct reader *reader)
{
	struct import *import = ctx;
	int64_t now = clock_now(import->cell->ledger->clock);
	uint64_t kind = read_u(reader);
	struct record copy;

	if (kind != ENTRY_RECORD)
		import_grant_entry(import, kind, reader);
	else if (record_entry_read(reader, &copy, now))
		record_merge(import->cell, &copy);
}

/* The member does not hold grants that it did not list; it resubmits its
 * pending requests. */
static void drop_unlisted(struct cell *cell, const struct owner *owner,
			  GHashTable *listed)
{
	GArray *tags = g_array_new(FALSE, FALSE, sizeof(struct tag));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cell->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct grant *grant = value;

		if (grant->state == GRANT_HELD &&
		    owner_equal(&grant->holder.owner, owner) &&
		    !g_hash_table_contains(listed, &grant->holder.request))
			g_array_append_val(tags, grant->holder);
	}
	for (guint i = 0; i < tags->len; i++) {
		const struct tag *tag = &g_array_index(tags, struct tag, i);
		struct grant *grant =
			grant_find(cell, &tag->owner, tag->request);
		struct record *record = grant->record;

		if (grant->stream[0] != '\0') {
			grant_end(grant);
			continue;
		}
		grant_free(grant);
		if (record != NULL)
			record_end(record, RECORD_REMOVED);
	}
	g_array_free(tags, TRUE);
}

static void drop_pending(struct cell *cell, const struct owner *owner)
{
	GArray *tags = g_array_new(FALSE, FALSE, sizeof(struct tag));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cell->pending_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pending *pending = value;

		if (owner_equal(&pending->holder.owner, owner))
			g_array_append_val(tags, pending->holder);
	}
	for (guint i = 0; i < tags->len; i++) {
		const struct tag *tag = &g_array_index(tags, struct tag, i);
		struct pending *pending =
			pending_find(cell, &tag->owner, tag->request);

		if (pending != NULL)
			pending_remove(pending);
	}
	g_array_free(tags, TRUE);
}

static void announcer_complete(struct cell *cell, struct announcer *announcer,
			       const struct owner *owner)
{
	GHashTable *listed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	struct import import = {.cell = cell, .owner = owner, .listed = listed};
	GHashTableIter iter;
	void *value;

	for (uint32_t i = 0; i < announcer->total; i++) {
		gsize size;
		const void *data =
			g_bytes_get_data(announcer->chunks[i], &size);

		entries_each(data, size, import_entry, &import);
		g_bytes_unref(announcer->chunks[i]);
		announcer->chunks[i] = NULL;
	}
	announcer->complete = true;
	drop_pending(cell, owner);
	drop_unlisted(cell, owner, listed);
	g_hash_table_iter_init(&iter, listed);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		import_grant(cell, value);
	g_hash_table_destroy(listed);
	cell_settle_check(cell);
}

/* NULL if the chunk belongs to an outdated announcement. */
static struct announcer *announcer_get(struct cell *cell,
				       const struct owner *owner,
				       uint32_t epoch, uint32_t total)
{
	struct announcer *announcer =
		g_hash_table_lookup(cell->announcers, &owner->instance);
	uint64_t *id;

	if (announcer != NULL &&
	    (announcer->incarnation > owner->incarnation ||
	     (announcer->incarnation == owner->incarnation &&
	      announcer->epoch > epoch)))
		return NULL;
	if (announcer != NULL && announcer->epoch == epoch &&
	    announcer->incarnation == owner->incarnation)
		return announcer->total == total ? announcer : NULL;
	announcer = announcer_create(owner->incarnation, epoch, total);
	id = g_new(uint64_t, 1);
	*id = owner->instance;
	g_hash_table_replace(cell->announcers, id, announcer);
	return announcer;
}

static void ack_chunk(struct cell *cell, const struct owner *owner,
		      uint32_t epoch, uint32_t index)
{
	struct ledger *ledger = cell->ledger;
	msgpack_packer *packer = message_begin(ledger, MESSAGE_ANNOUNCE_ACK,
					       owner->incarnation, 3);

	pack_u(packer, cell->id);
	pack_u(packer, epoch);
	pack_u(packer, index);
	message_send(ledger, owner->instance);
}

void announce_receive(struct ledger *ledger, uint64_t from,
		      uint64_t incarnation, struct reader *reader)
{
	struct owner owner = {.instance = from, .incarnation = incarnation};
	struct cell *cell = cell_find(ledger, read_u(reader));
	uint32_t epoch = (uint32_t)read_u(reader);
	uint32_t index = (uint32_t)read_u(reader);
	uint32_t total = (uint32_t)read_u(reader);
	struct announcer *announcer;
	uint32_t size;
	const void *data = read_bin(reader, &size);

	if (reader->bad || cell == NULL || !cell->is_home || total == 0 ||
	    total > LEDGER_CHUNKS_MAX || index >= total ||
	    !owner_alive(ledger, &owner))
		return;
	announcer = announcer_get(cell, &owner, epoch, total);
	if (announcer == NULL)
		return;
	if (!announcer->complete && announcer->chunks[index] == NULL) {
		announcer->chunks[index] = g_bytes_new(data, size);
		if (--announcer->missing == 0)
			announcer_complete(cell, announcer, &owner);
	}
	ack_chunk(cell, &owner, epoch, index);
}
