#include "ledger_parts.h"

#include <string.h>

#define RESEND_USEC (100 * USEC_PER_MSEC)
#define RESEND_MAX_USEC (2 * USEC_PER_SEC)
#define RESEND_SHIFT_MAX 5u

static void grant_timer(struct timer *timer, void *ctx);

struct grant *grant_find(const struct cell *cell, const struct owner *owner,
			 uint64_t request)
{
	struct tag tag = {.owner = *owner, .request = request};

	return g_hash_table_lookup(cell->grants, &tag);
}

void grant_hash(struct grant *grant)
{
	grant->hashed = true;
	g_hash_table_insert(grant->cell->grants, &grant->holder, grant);
}

struct grant *grant_create(struct cell *cell, const struct owner *owner,
			   uint64_t request, uint32_t attempt)
{
	struct grant *grant = g_new0(struct grant, 1);

	grant->cell = cell;
	grant->holder.owner = *owner;
	grant->holder.request = request;
	grant->holder.attempt = attempt;
	grant->tag = grant->holder;
	grant->prefill = RUNNER_NONE;
	grant->decode = RUNNER_NONE;
	grant->granted_at = clock_now(cell->ledger->clock);
	timer_init(&grant->timer, cell->ledger->clock, grant_timer, grant);
	return grant;
}

void grant_unhash(struct grant *grant)
{
	if (grant->hashed)
		g_hash_table_remove(grant->cell->grants, &grant->holder);
	grant->hashed = false;
}

void grant_rekey(struct grant *grant, const struct owner *owner,
		 uint64_t request)
{
	grant_unhash(grant);
	grant->holder.owner = *owner;
	grant->holder.request = request;
	grant_hash(grant);
}

void grant_place(struct grant *grant, uint32_t prefill, uint32_t decode,
		 uint32_t pieces)
{
	struct cell *cell = grant->cell;
	struct runner *runner;

	grant->prefill = prefill;
	grant->decode = decode;
	grant->pieces = pieces;
	if (decode == RUNNER_NONE)
		return;
	runner = runner_at(cell, decode);
	runner->granted += pieces;
	runner->sorted = false;
	g_ptr_array_add(runner->grants, grant);
	runner_refresh(cell, decode);
}

static void grant_unplace(struct grant *grant)
{
	struct runner *runner;

	if (grant->decode == RUNNER_NONE)
		return;
	prefill_ended(grant);
	runner = runner_at(grant->cell, grant->decode);
	runner->granted -= grant->pieces;
	g_ptr_array_remove(runner->grants, grant);
	runner_refresh(grant->cell, grant->decode);
	grant->decode = RUNNER_NONE;
}

void grant_discard(struct grant *grant)
{
	timer_stop(&grant->timer);
	grant_unhash(grant);
	grant_unplace(grant);
	if (grant->record != NULL)
		grant->record->grant = NULL;
	g_free(grant);
}

void grant_free(struct grant *grant)
{
	struct cell *cell = grant->cell;

	grant_discard(grant);
	cell_schedule_scan(cell);
}

uint32_t grant_unknown_state(const struct grant *grant)
{
	return grant->idempotent ? RECORD_REMOVED : RECORD_FAILED;
}

static uint64_t runner_id(const struct cell *cell, uint32_t index)
{
	return index != RUNNER_NONE ? runner_at(cell, index)->id : 0;
}

static int64_t backoff(uint32_t sends)
{
	return MIN(RESEND_USEC << MIN(sends, RESEND_SHIFT_MAX),
		   RESEND_MAX_USEC);
}

void grant_send(struct grant *grant)
{
	struct cell *cell = grant->cell;
	struct ledger *ledger = cell->ledger;
	const struct announcer *announcer = g_hash_table_lookup(
		cell->announcers, &grant->holder.owner.instance);
	msgpack_packer *packer;

	if (announcer == NULL || !announcer->complete)
		return;
	packer = message_begin(ledger, MESSAGE_GRANT,
			       grant->holder.owner.incarnation, 7);
	pack_u(packer, cell->id);
	pack_u(packer, announcer->epoch);
	pack_u(packer, grant->holder.request);
	pack_u(packer, grant->holder.attempt);
	pack_u(packer, grant->adopted ? 0 : runner_id(cell, grant->prefill));
	pack_u(packer, runner_id(cell, grant->decode));
	pack_u(packer, grant->pieces);
	message_send(ledger, grant->holder.owner.instance);
	timer_start(&grant->timer, backoff(grant->sends++));
}

static void send_cancel(struct grant *grant)
{
	struct cell *cell = grant->cell;
	struct ledger *ledger = cell->ledger;
	uint64_t runner = runner_id(cell, grant->decode);
	char stream[LEDGER_STREAM_MAX];

	timer_start(&grant->timer, ledger->settings.cancel_repeat);
	if (grant->revoked)
		home_revoke(ledger, &grant->holder.owner, grant->holder.request,
			    grant->holder.attempt);
	if (grant->stream[0] == '\0' || runner == 0)
		return;
	memcpy(stream, grant->stream, sizeof(stream));
	ledger->cancels++;
	ledger->ops.cancel(ledger->ctx, runner, stream);
}

void grant_orphan(struct grant *grant)
{
	struct ledger *ledger = grant->cell->ledger;

	if (grant->decode == RUNNER_NONE) {
		grant->record_state = grant_unknown_state(grant);
		grant_confirm_ended(grant);
		return;
	}
	if (grant->key == 0) {
		grant_close(grant, RECORD_REMOVED);
		return;
	}
	grant->state = GRANT_ORPHAN;
	timer_start(&grant->timer, ledger->settings.orphan_grace);
}

void grant_close(struct grant *grant, uint32_t record_state)
{
	grant->state = GRANT_CLOSING;
	grant->record_state = record_state;
	grant->absent_listings = 0;
	grant->closing_since = clock_now(grant->cell->ledger->clock);
	if (grant->decode == RUNNER_NONE) {
		grant_confirm_ended(grant);
		return;
	}
	send_cancel(grant);
}

/* The engine no longer holds memory for the grant. */
void grant_confirm_ended(struct grant *grant)
{
	struct record *record = grant->record;
	uint32_t state = grant->state == GRANT_CLOSING
				 ? grant->record_state
				 : grant_unknown_state(grant);

	grant_free(grant);
	if (record != NULL && record->pending == NULL)
		record_end(record, state);
}

static void grant_timer(struct timer *timer, void *ctx)
{
	struct grant *grant = ctx;

	switch (grant->state) {
	case GRANT_HELD:
		grant_send(grant);
		return;
	case GRANT_ORPHAN:
		grant_close(grant, grant_unknown_state(grant));
		return;
	case GRANT_CLOSING:
		send_cancel(grant);
		return;
	}
}

void grant_end(struct grant *grant)
{
	grant_unhash(grant);
	grant_close(grant, grant_unknown_state(grant));
}

void grant_set_stream(struct grant *grant, const char *stream)
{
	struct record *record = grant->record;

	if (stream[0] == '\0' || grant->stream[0] != '\0')
		return;
	g_strlcpy(grant->stream, stream, sizeof(grant->stream));
	if (grant->state == GRANT_CLOSING)
		send_cancel(grant);
	if (record == NULL)
		return;
	g_strlcpy(record->stream, stream, sizeof(record->stream));
	record->tag = grant->tag;
	record->decode = runner_id(grant->cell, grant->decode);
	record->pieces = grant->pieces;
	record_touch(record);
	record_unpark(record);
}

void grant_to_entry(const struct grant *grant, struct grant_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	entry->owner = grant->holder.owner;
	entry->request = grant->holder.request;
	entry->attempt = grant->holder.attempt;
	entry->tag = grant->tag;
	entry->key = grant->key;
	entry->fingerprint = grant->fingerprint;
	entry->service = grant->service;
	entry->idempotent = grant->idempotent;
	entry->closing = grant->state == GRANT_CLOSING;
	entry->class = grant->class;
	entry->prefill = runner_id(grant->cell, grant->prefill);
	entry->decode = runner_id(grant->cell, grant->decode);
	entry->pieces = grant->pieces;
	g_strlcpy(entry->stream, grant->stream, sizeof(entry->stream));
}

/* Links the key's record to the grant unless another grant has it. A pending
 * request of another holder loses it and is resolved again. */
static void grant_claim_record(struct grant *grant)
{
	struct pending *other;
	struct record *record;

	if (grant->key == 0)
		return;
	record = record_find(grant->cell, grant->key);
	if (record == NULL)
		record = record_add(grant->cell, grant->key);
	if (record == NULL || record->grant != NULL ||
	    record->state != RECORD_RUNNING)
		return;
	other = record->pending;
	record->grant = grant;
	record->fingerprint = grant->fingerprint;
	record->service = grant->service;
	record->idempotent = grant->idempotent;
	grant->record = record;
	record_set_owner(record, &grant->holder.owner, grant->holder.request);
	if (other != NULL)
		pending_restart(other);
}

struct grant *grant_find_by_tag(const struct cell *cell, uint32_t decode,
				const struct tag *tag)
{
	const struct runner *runner = runner_at(cell, decode);

	for (guint i = 0; i < runner->grants->len; i++) {
		struct grant *grant = g_ptr_array_index(runner->grants, i);

		if (grant->tag.attempt == tag->attempt &&
		    tag_equal(&grant->tag, tag))
			return grant;
	}
	return NULL;
}

/* A closing grant is not hashed and does not claim the key's record. */
struct grant *grant_from_entry(struct cell *cell,
			       const struct grant_entry *entry)
{
	struct grant *grant = grant_create(cell, &entry->owner, entry->request,
					   entry->attempt);

	grant->tag = entry->tag;
	grant->key = entry->key;
	grant->fingerprint = entry->fingerprint;
	grant->service = entry->service;
	grant->idempotent = entry->idempotent;
	grant->class = entry->class;
	grant->acknowledged = true;
	grant_place(grant, runner_index(cell, entry->prefill),
		    runner_index(cell, entry->decode), entry->pieces);
	if (entry->closing)
		return grant;
	grant_hash(grant);
	grant_claim_record(grant);
	grant_set_stream(grant, entry->stream);
	return grant;
}
