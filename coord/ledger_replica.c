#include "ledger_parts.h"

#define BATCH_DELAY_USEC (20 * USEC_PER_MSEC)
#define RESEND_MAX_USEC (1 * USEC_PER_SEC)
#define RESEND_SHIFT_MAX 5u

static void replica_timer(struct timer *timer, void *ctx);

void replica_init(struct cell *cell)
{
	struct replication *rep = &cell->replication;

	rep->dirty = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	timer_init(&rep->timer, cell->ledger->clock, replica_timer, cell);
}

static void batch_drop(struct replication *rep)
{
	if (rep->sent != NULL)
		g_bytes_unref(rep->sent);
	rep->sent = NULL;
}

void replica_clear(struct cell *cell)
{
	struct replication *rep = &cell->replication;
	GHashTableIter iter;
	void *value;

	timer_stop(&rep->timer);
	batch_drop(rep);
	g_array_set_size(rep->dirty, 0);
	g_hash_table_iter_init(&iter, cell->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct record *)value)->dirty = false;
}

void replica_touch(struct cell *cell, uint64_t key)
{
	struct replication *rep = &cell->replication;

	if (cell->replica == 0)
		return;
	g_array_append_val(rep->dirty, key);
	if (!timer_running(&rep->timer))
		timer_start(&rep->timer, BATCH_DELAY_USEC);
}

void replica_restart(struct cell *cell)
{
	GHashTableIter iter;
	void *value;

	replica_clear(cell);
	if (!cell->is_home)
		return;
	g_hash_table_iter_init(&iter, cell->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		record_touch(value);
}

static void batch_send(struct cell *cell)
{
	struct ledger *ledger = cell->ledger;
	struct replication *rep = &cell->replication;
	gsize size;
	const void *data = g_bytes_get_data(rep->sent, &size);
	msgpack_packer *packer =
		message_begin(ledger, MESSAGE_RECORDS, ledger->incarnation, 3);

	pack_u(packer, cell->id);
	pack_u(packer, rep->sequence);
	pack_bin(packer, data, size);
	message_send(ledger, cell->replica);
	timer_start(&rep->timer, MIN(2 * BATCH_DELAY_USEC << MIN(
					     rep->sends, RESEND_SHIFT_MAX),
				     RESEND_MAX_USEC));
	rep->sends++;
}

static void batch_build(struct cell *cell)
{
	struct replication *rep = &cell->replication;
	int64_t now = clock_now(cell->ledger->clock);
	struct entries entries;
	guint count = 0;

	entries_init(&entries);
	while (count < rep->dirty->len &&
	       entries.buffer.size < LEDGER_CHUNK_MAX) {
		uint64_t key = g_array_index(rep->dirty, uint64_t, count++);
		struct record *record = record_find(cell, key);

		if (record == NULL) {
			record_entry_remove(&entries, key);
			continue;
		}
		record->dirty = false;
		record_entry_pack(&entries, record, now);
	}
	g_array_remove_range(rep->dirty, 0, count);
	rep->sent = entries_take(&entries);
	rep->sequence++;
	rep->sends = 0;
	entries_clear(&entries);
}

static void replica_timer(struct timer *timer, void *ctx)
{
	struct cell *cell = ctx;
	struct replication *rep = &cell->replication;

	if (!cell->is_home || cell->replica == 0)
		return;
	if (rep->sent == NULL && rep->dirty->len == 0)
		return;
	if (rep->sent == NULL)
		batch_build(cell);
	batch_send(cell);
}

static void entry_apply(void *ctx, struct reader *reader)
{
	struct cell *cell = ctx;
	struct record copy;

	if (read_u(reader) == ENTRY_RECORD &&
	    record_entry_read(reader, &copy, clock_now(cell->ledger->clock)))
		record_merge(cell, &copy);
}

void replica_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		     struct reader *reader)
{
	struct owner owner = {.instance = from, .incarnation = incarnation};
	struct cell *cell = cell_find(ledger, read_u(reader));
	uint32_t sequence = (uint32_t)read_u(reader);
	struct replication *rep;
	uint32_t size;
	const void *data = read_bin(reader, &size);

	if (reader->bad || cell == NULL || cell->is_home || cell->home != from)
		return;
	rep = &cell->replication;
	if (!owner_equal(&rep->from, &owner)) {
		rep->from = owner;
		rep->received = 0;
	}
	if (sequence > rep->received) {
		rep->received = sequence;
		entries_each(data, size, entry_apply, cell);
	}
	message_send_pair(ledger, &owner, MESSAGE_RECORDS_ACK, cell->id,
			  sequence);
}

void replica_receive_ack(struct ledger *ledger, uint64_t from,
			 struct reader *reader)
{
	struct cell *cell = cell_find(ledger, read_u(reader));
	uint32_t sequence = (uint32_t)read_u(reader);
	struct replication *rep;

	if (reader->bad || cell == NULL || cell->replica != from)
		return;
	rep = &cell->replication;
	if (rep->sent == NULL || rep->sequence != sequence)
		return;
	batch_drop(rep);
	timer_stop(&rep->timer);
	if (rep->dirty->len > 0)
		timer_start(&rep->timer, BATCH_DELAY_USEC);
}
