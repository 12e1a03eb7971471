/*
 * Idempotency keys between data centres. Each home announces new keys to the
 * homes of the same pools in the other data centres, at most four times a
 * second. These remember a key for one to two minutes and redirect a retry to
 * the data centre that has its record.
 *
 * Only the upper half of a key is sent. A collision costs one detour: the data
 * centre that was named finds no record and runs the request.
 */
#include "ledger_parts.h"

#include <string.h>

#include "coord/cell_load.h"

#define BATCH_DELAY_USEC (250 * USEC_PER_MSEC)
#define BATCH_MAX 4096u
#define SHORT_KEY_SIZE 4u
#define GENERATION_USEC (60 * USEC_PER_SEC)
#define GENERATION_MAX 32768u

static void batch_timer(struct timer *timer, void *ctx);

static void *short_key(uint64_t key)
{
	return GUINT_TO_POINTER((uint32_t)(key >> 32));
}

void remote_init(struct cell *cell)
{
	struct remote *remote = &cell->remote;

	remote->unannounced = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	remote->recent = g_hash_table_new(NULL, NULL);
	remote->previous = g_hash_table_new(NULL, NULL);
	timer_init(&remote->timer, cell->ledger->clock, batch_timer, cell);
}

void remote_reset(struct cell *cell)
{
	struct remote *remote = &cell->remote;

	timer_stop(&remote->timer);
	g_array_set_size(remote->unannounced, 0);
	g_hash_table_remove_all(remote->recent);
	g_hash_table_remove_all(remote->previous);
	remote->rotated_at = clock_now(cell->ledger->clock);
}

void remote_clear(struct cell *cell)
{
	struct remote *remote = &cell->remote;

	timer_stop(&remote->timer);
	g_array_free(remote->unannounced, TRUE);
	g_hash_table_destroy(remote->recent);
	g_hash_table_destroy(remote->previous);
}

void remote_announce(struct cell *cell, uint64_t key)
{
	struct remote *remote = &cell->remote;

	if (cell->ledger->config->data_centre_count < 2)
		return;
	g_array_append_val(remote->unannounced, key);
	if (!timer_running(&remote->timer))
		timer_start(&remote->timer, BATCH_DELAY_USEC);
}

/* Leaves out keys whose request was refused or withdrawn in the meantime. */
static GByteArray *batch_take(struct cell *cell)
{
	struct remote *remote = &cell->remote;
	guint count = MIN(remote->unannounced->len, BATCH_MAX);
	GByteArray *batch = g_byte_array_new();

	for (guint i = 0; i < count; i++) {
		uint64_t key = g_array_index(remote->unannounced, uint64_t, i);
		uint32_t half = GUINT32_TO_BE((uint32_t)(key >> 32));

		if (record_find(cell, key) != NULL)
			g_byte_array_append(batch, (const guint8 *)&half,
					    SHORT_KEY_SIZE);
	}
	g_array_remove_range(remote->unannounced, 0, count);
	return batch;
}

static void batch_send(struct cell *cell, const char *data_centre,
		       const GByteArray *batch)
{
	struct ledger *ledger = cell->ledger;
	uint64_t remote_cell = cell_id_of_pools(cell->prefill_pool,
						cell->decode_pool, data_centre);
	uint64_t home = membership_home(ledger->membership, data_centre,
					remote_cell, 0);
	msgpack_packer *packer;

	if (home == 0)
		return;
	packer = message_begin(ledger, MESSAGE_KEYS, 0, 2);
	pack_u(packer, remote_cell);
	pack_bin(packer, batch->data, batch->len);
	message_send(ledger, home);
}

static void batch_timer(struct timer *timer, void *ctx)
{
	struct cell *cell = ctx;
	const struct ledger *ledger = cell->ledger;
	const struct config *config = ledger->config;
	const char *local = membership_self(ledger->membership)->data_centre;
	GByteArray *batch = batch_take(cell);

	for (size_t i = 0; batch->len > 0 && i < config->data_centre_count;
	     i++) {
		const char *name = config->data_centres[i].name;

		if (strcmp(name, local) != 0)
			batch_send(cell, name, batch);
	}
	g_byte_array_free(batch, TRUE);
	if (cell->remote.unannounced->len > 0)
		timer_start(timer, BATCH_DELAY_USEC);
}

static void generations_rotate(struct cell *cell)
{
	struct remote *remote = &cell->remote;
	int64_t now = clock_now(cell->ledger->clock);
	int64_t age = now - remote->rotated_at;
	GHashTable *recent = remote->previous;

	if (age < GENERATION_USEC &&
	    g_hash_table_size(remote->recent) < GENERATION_MAX)
		return;
	if (age >= 2 * GENERATION_USEC)
		g_hash_table_remove_all(remote->recent);
	g_hash_table_remove_all(recent);
	remote->previous = remote->recent;
	remote->recent = recent;
	remote->rotated_at = now;
}

void remote_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		    struct reader *reader)
{
	struct cell *cell = cell_find(ledger, read_u(reader));
	const struct member *member = membership_find(ledger->membership, from);
	uint32_t size;
	const uint8_t *data = read_bin(reader, &size);
	uint64_t data_centre;

	if (reader->bad || cell == NULL || !cell->is_home || member == NULL)
		return;
	data_centre = id_of(member->data_centre);
	for (uint32_t at = 0; at + SHORT_KEY_SIZE <= size;
	     at += SHORT_KEY_SIZE) {
		uint32_t half;

		memcpy(&half, data + at, SHORT_KEY_SIZE);
		half = GUINT32_FROM_BE(half);
		generations_rotate(cell);
		g_hash_table_insert(cell->remote.recent, GUINT_TO_POINTER(half),
				    GSIZE_TO_POINTER(data_centre));
	}
}

static uint64_t remote_find(struct cell *cell, uint64_t key)
{
	struct remote *remote = &cell->remote;
	void *found;

	generations_rotate(cell);
	found = g_hash_table_lookup(remote->recent, short_key(key));
	if (found == NULL)
		found = g_hash_table_lookup(remote->previous, short_key(key));
	return GPOINTER_TO_SIZE(found);
}

/* NULL if the data centre is the local one, is no longer configured, or has no
 * live member. */
static const char *reachable_name(const struct ledger *ledger, uint64_t id)
{
	const struct config *config = ledger->config;
	const char *local = membership_self(ledger->membership)->data_centre;

	for (size_t i = 0; i < config->data_centre_count; i++) {
		const char *name = config->data_centres[i].name;

		if (id_of(name) != id || strcmp(name, local) == 0)
			continue;
		return membership_home(ledger->membership, name, 0, 0) != 0
			       ? name
			       : NULL;
	}
	return NULL;
}

bool remote_redirect(struct pending *pending)
{
	struct ledger *ledger = pending->cell->ledger;
	const struct tag *holder = &pending->holder;
	msgpack_packer *packer;
	const char *name;
	uint64_t id;

	if (pending->no_redirect || pending->adopt || holder->attempt > 0)
		return false;
	id = remote_find(pending->cell, pending->key);
	name = id != 0 ? reachable_name(ledger, id) : NULL;
	if (name == NULL)
		return false;
	packer = message_begin(ledger, MESSAGE_ELSEWHERE,
			       holder->owner.incarnation, 3);
	pack_u(packer, holder->request);
	pack_u(packer, holder->attempt);
	pack_text(packer, name);
	message_send(ledger, holder->owner.instance);
	pending_remove(pending);
	return true;
}
