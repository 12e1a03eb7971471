#include "coord/ledger.h"

#include <string.h>

#include "codec.h"
#include "ledger_parts.h"

#define SETTLE_USEC (2 * USEC_PER_SEC)
#define ORPHAN_GRACE_USEC (2 * USEC_PER_SEC)
#define CANCEL_REPEAT_USEC (250 * USEC_PER_MSEC)
#define RECORDS_MAX 65536u

static void settings_default(struct ledger_settings *settings)
{
	if (settings->settle <= 0)
		settings->settle = SETTLE_USEC;
	if (settings->orphan_grace <= 0)
		settings->orphan_grace = ORPHAN_GRACE_USEC;
	if (settings->cancel_repeat <= 0)
		settings->cancel_repeat = CANCEL_REPEAT_USEC;
	if (settings->records_max == 0)
		settings->records_max = RECORDS_MAX;
}

static void cell_free(void *cell)
{
	cell_destroy(cell);
}

struct ledger *ledger_create(struct clock *clock, struct membership *membership,
			     const struct ledger_settings *settings,
			     const struct transport *transport,
			     const struct ledger_ops *ops, void *ctx)
{
	struct ledger *ledger = g_new0(struct ledger, 1);
	const struct member *self = membership_self(membership);

	ledger->clock = clock;
	ledger->membership = membership;
	if (settings != NULL)
		ledger->settings = *settings;
	settings_default(&ledger->settings);
	ledger->transport = *transport;
	ledger->ops = *ops;
	ledger->ctx = ctx;
	ledger->self = self->id;
	ledger->incarnation = self->incarnation;
	ledger->cells = g_ptr_array_new_with_free_func(cell_free);
	ledger->services = g_ptr_array_new_with_free_func(g_free);
	ledger->runner_list =
		g_array_new(FALSE, FALSE, sizeof(struct ledger_runner));
	ledger->items = g_hash_table_new(g_int64_hash, g_int64_equal);
	msgpack_sbuffer_init(&ledger->buffer);
	msgpack_packer_init(&ledger->packer, &ledger->buffer,
			    msgpack_sbuffer_write);
	msgpack_zone_init(&ledger->zone, MSGPACK_ZONE_CHUNK_SIZE);
	peers_init(ledger);
	return ledger;
}

static void items_clear(struct ledger *ledger)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		timer_stop(&item->timer);
		g_free(item);
	}
	g_hash_table_destroy(ledger->items);
}

void ledger_destroy(struct ledger *ledger)
{
	if (ledger == NULL)
		return;
	items_clear(ledger);
	g_ptr_array_free(ledger->cells, TRUE);
	g_ptr_array_free(ledger->services, TRUE);
	peers_clear(ledger);
	runner_list_clear(ledger);
	g_array_free(ledger->runner_list, TRUE);
	if (ledger->policy != NULL)
		ledger->policy->destroy(ledger->policy_state);
	g_free(ledger->policy_key);
	msgpack_sbuffer_destroy(&ledger->buffer);
	msgpack_zone_destroy(&ledger->zone);
	g_free(ledger);
}

typedef void (*receive_fn)(struct ledger *ledger, uint64_t from,
			   uint64_t incarnation, struct reader *reader);

static void receive_announce_ack(struct ledger *ledger, uint64_t from,
				 uint64_t incarnation, struct reader *reader)
{
	if (incarnation == ledger->incarnation)
		announce_receive_ack(ledger, from, reader);
}

static void receive_records_ack(struct ledger *ledger, uint64_t from,
				uint64_t incarnation, struct reader *reader)
{
	if (incarnation == ledger->incarnation)
		replica_receive_ack(ledger, from, reader);
}

static void receive_unknown(struct ledger *ledger, uint64_t from,
			    uint64_t incarnation, struct reader *reader)
{
	announce_receive_unknown(ledger, from, reader);
}

static const receive_fn receivers[] = {
	[MESSAGE_SUBMIT] = home_receive_submit,
	[MESSAGE_GRANT] = holder_receive_grant,
	[MESSAGE_REFUSE] = holder_receive_refuse,
	[MESSAGE_DUPLICATE] = holder_receive_duplicate,
	[MESSAGE_ACKS] = acks_receive,
	[MESSAGE_RELEASE] = home_receive_release,
	[MESSAGE_PROGRESS] = home_receive_progress,
	[MESSAGE_REVOKE] = holder_receive_revoke,
	[MESSAGE_ANNOUNCE] = announce_receive,
	[MESSAGE_ANNOUNCE_ACK] = receive_announce_ack,
	[MESSAGE_RECORDS] = replica_receive,
	[MESSAGE_RECORDS_ACK] = receive_records_ack,
	[MESSAGE_UNKNOWN_EPOCH] = receive_unknown,
	[MESSAGE_KEYS] = remote_receive,
	[MESSAGE_ELSEWHERE] = holder_receive_elsewhere,
};

void ledger_receive(struct ledger *ledger, uint64_t from, const void *data,
		    size_t size)
{
	msgpack_object object;
	struct reader reader;
	uint64_t type, incarnation;

	msgpack_zone_clear(&ledger->zone);
	if (!codec_unpack(&ledger->zone, data, size, &object) ||
	    !reader_open(&reader, &object))
		return;
	type = read_u(&reader);
	incarnation = read_u(&reader);
	if (!reader.bad && type < G_N_ELEMENTS(receivers) &&
	    receivers[type] != NULL)
		receivers[type](ledger, from, incarnation, &reader);
}

void ledger_member(struct ledger *ledger, const struct member *member)
{
	const struct member *self = membership_self(ledger->membership);
	bool has_new_incarnation = self->incarnation != ledger->incarnation;

	if (has_new_incarnation) {
		ledger->incarnation = self->incarnation;
		holder_reset(ledger);
	}
	for (guint i = 0; i < ledger->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(ledger->cells, i);
		uint64_t home = cell->home;
		bool was_home = cell->is_home;

		cell_update_home(cell);
		if (has_new_incarnation && cell->home == home && !cell->is_home)
			announce_start(cell);
		if (member->state == MEMBER_DEAD && was_home)
			cell_member_died(cell, member);
		if (cell->is_home && cell->settled)
			home_drop_dead(cell);
		cell_settle_check(cell);
	}
}

void ledger_drain(struct ledger *ledger)
{
	for (guint i = 0; i < ledger->cells->len; i++)
		cell_update_home(g_ptr_array_index(ledger->cells, i));
}

bool runner_lookup(const struct ledger *ledger, uint64_t runner,
		   struct cell **cell, uint32_t *index)
{
	for (guint i = 0; i < ledger->cells->len; i++) {
		*cell = g_ptr_array_index(ledger->cells, i);
		if (!(*cell)->is_home)
			continue;
		*index = runner_index(*cell, runner);
		if (*index != RUNNER_NONE)
			return true;
	}
	return false;
}

bool ledger_is_home(const struct ledger *ledger, uint64_t runner)
{
	struct cell *cell;
	uint32_t index;

	return runner_lookup(ledger, runner, &cell, &index);
}

void ledger_report(struct ledger *ledger, const struct ledger_report *report)
{
	struct cell *cell;
	uint32_t index;

	if (!runner_lookup(ledger, report->runner, &cell, &index))
		return;
	runner_report(cell, index, report);
	cell_schedule_scan(cell);
}

void ledger_streams(struct ledger *ledger, uint64_t runner,
		    const struct ledger_stream *streams, size_t count)
{
	struct cell *cell;
	uint32_t index;

	if (runner_lookup(ledger, runner, &cell, &index))
		streams_listed(cell, index, streams, count);
}

void ledger_cancelled(struct ledger *ledger, uint64_t runner,
		      const char *stream, bool done)
{
	struct cell *cell;
	uint32_t index;

	if (done && runner_lookup(ledger, runner, &cell, &index))
		stream_cancelled(cell, index, stream);
}

void ledger_cache_event(struct ledger *ledger, uint64_t runner,
			const uint64_t *blocks, size_t count, bool stored)
{
	struct cell *cell;
	uint32_t index;

	if (!runner_lookup(ledger, runner, &cell, &index))
		return;
	if (count == 0 && !stored)
		prefix_clear(cell->prefix, index);
	for (size_t i = 0; i < count; i++) {
		if (stored)
			prefix_store(cell->prefix, index, blocks[i]);
		else
			prefix_drop(cell->prefix, index, blocks[i]);
	}
	cell->prefix_depths_for = NULL;
}

void ledger_runners(struct ledger *ledger, const struct ledger_runner *runners,
		    size_t count)
{
	bool changed = false;

	runner_list_set(ledger, runners, count);
	for (guint i = 0; i < ledger->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(ledger->cells, i);

		changed |= runners_set(cell, runners, count) && cell->is_home;
		cell_schedule_scan(cell);
	}
	if (changed)
		ledger->ops.homes_changed(ledger->ctx);
}

void ledger_stats(const struct ledger *ledger, struct ledger_stats *stats)
{
	GHashTableIter iter;
	void *value;

	memset(stats, 0, sizeof(*stats));
	for (guint i = 0; i < ledger->cells->len; i++) {
		const struct cell *cell = g_ptr_array_index(ledger->cells, i);

		stats->waiting += g_hash_table_size(cell->pending_requests);
		stats->grants += g_hash_table_size(cell->grants);
		stats->cells += cell->is_home;
		stats->handovers += cell->announce.missing > 0;
	}
	g_hash_table_iter_init(&iter, ledger->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct item *item = value;

		stats->held += item->state == ITEM_GRANTED ||
			       item->state == ITEM_LOCAL;
	}
	stats->records = ledger->record_count;
	stats->cancels = ledger->cancels;
	stats->sent_bytes = ledger->sent_bytes;
	stats->sent_messages = ledger->sent_messages;
}
