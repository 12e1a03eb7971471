#include "ledger_parts.h"

#include <string.h>

#define RETRY_AFTER_MIN (1 * USEC_PER_SEC)
#define RETRY_AFTER_MAX (600 * USEC_PER_SEC)

struct pending *pending_find(const struct cell *cell, const struct owner *owner,
			     uint64_t request)
{
	struct tag tag = {.owner = *owner, .request = request};

	return g_hash_table_lookup(cell->pending_requests, &tag);
}

struct pending *pending_add(struct cell *cell, const struct owner *owner,
			    const struct submission *submission,
			    struct service *service)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->cell = cell;
	pending->service = service;
	pending->service_id = service->id;
	pending->holder.owner = *owner;
	pending->holder.request = submission->request;
	pending->holder.attempt = submission->attempt;
	pending->key = submission->key;
	pending->fingerprint = submission->fingerprint;
	pending->idempotent = submission->idempotent;
	pending->adopt = submission->adopt;
	pending->no_redirect = submission->no_redirect;
	pending->need = submission->need;
	pending->need.id = id_mix(owner->instance, submission->request);
	g_hash_table_insert(cell->pending_requests, &pending->holder, pending);
	return pending;
}

static void lane_remove(struct pending *pending)
{
	struct cell *cell = pending->cell;

	if (pending->lane_position == NULL)
		return;
	g_sequence_remove(pending->lane_position);
	pending->lane_position = NULL;
	if (pending->service != NULL)
		pending->service->waiting--;
	cell->waiting_pieces[pending->need.class] -= pending->need.pieces;
}

void pending_discard(struct pending *pending)
{
	struct cell *cell = pending->cell;

	lane_remove(pending);
	if (pending->unsettled)
		g_ptr_array_remove(cell->unsettled, pending);
	if (pending->parked != NULL)
		g_queue_remove(&pending->parked->parked, pending);
	if (pending->record != NULL)
		pending->record->pending = NULL;
	g_hash_table_remove(cell->pending_requests, &pending->holder);
	g_free(pending);
}

void pending_remove(struct pending *pending)
{
	struct record *record = pending->record;
	bool may_have_run = pending->holder.attempt > 0 && !pending->idempotent;

	pending_discard(pending);
	if (record != NULL && record->grant == NULL)
		record_end(record,
			   may_have_run ? RECORD_FAILED : RECORD_REMOVED);
}

void pending_refuse(struct pending *pending, enum result_code code,
		    int64_t retry_after)
{
	struct ledger *ledger = pending->cell->ledger;
	const struct tag *holder = &pending->holder;
	msgpack_packer *packer = message_begin(ledger, MESSAGE_REFUSE,
					       holder->owner.incarnation, 4);

	pack_u(packer, holder->request);
	pack_u(packer, holder->attempt);
	pack_u(packer, code);
	pack_u(packer, (uint64_t)MAX(retry_after, 0) / USEC_PER_MSEC);
	message_send(ledger, holder->owner.instance);
	pending_remove(pending);
}

static void pending_answer_duplicate(struct pending *pending,
				     const struct record *record, bool alive)
{
	struct ledger *ledger = pending->cell->ledger;
	const struct tag *holder = &pending->holder;
	msgpack_packer *packer = message_begin(ledger, MESSAGE_DUPLICATE,
					       holder->owner.incarnation, 12);

	pack_u(packer, holder->request);
	pack_u(packer, holder->attempt);
	pack_u(packer, record->state);
	pack_owner(packer, &record->owner);
	pack_u(packer, alive);
	pack_u(packer, record->owner_request);
	pack_u(packer, record->decode);
	pack_text(packer, record->stream);
	pack_owner(packer, &record->tag.owner);
	pack_u(packer, record->tag.request);
	message_send(ledger, holder->owner.instance);
	pending_remove(pending);
}

static int compare_rank(const void *a, const void *b, void *ctx)
{
	const struct pending *x = a;
	const struct pending *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->need.arrived != y->need.arrived)
		return x->need.arrived < y->need.arrived ? -1 : 1;
	return (x->need.id > y->need.id) - (x->need.id < y->need.id);
}

void lanes_sort(struct cell *cell)
{
	for (int class = 0; class < CLASS_COUNT; class ++)
		g_sequence_sort(cell->lanes[class], compare_rank, NULL);
}

void lane_rank(struct cell *cell, struct pending *pending, int64_t rank)
{
	GSequence *lane = cell->lanes[pending->need.class];

	pending->rank = rank;
	if (pending->lane_position != NULL)
		g_sequence_sort_changed(pending->lane_position, compare_rank,
					NULL);
	else
		pending->lane_position = g_sequence_insert_sorted(
			lane, pending, compare_rank, NULL);
}

/* Pieces freed per second at the mean observed hold time. */
static double drain_rate(const struct cell *cell, enum request_class class)
{
	double pieces = 0;

	for (guint i = 0; i < cell->view->len; i++) {
		const struct policy_runner *r = runner_view(cell, i);

		if (r->usable && r->role == POOL_DECODE)
			pieces += r->pieces;
	}
	if (cell->hold_usec[class] <= 0)
		return pieces / 10.0;
	return pieces * (double)USEC_PER_SEC / cell->hold_usec[class];
}

int64_t queue_time(const struct cell *cell, const struct policy_request *need)
{
	double ahead = (double)cell->waiting_pieces[CLASS_URGENT];
	double rate = drain_rate(cell, need->class);
	int64_t usec;

	if (need->class == CLASS_DEFERRABLE)
		ahead += (double)cell->waiting_pieces[CLASS_DEFERRABLE];
	if (rate <= 0)
		return RETRY_AFTER_MIN;
	ahead = MIN((ahead + need->pieces) / rate, 3600.0);
	usec = (int64_t)(ahead * (double)USEC_PER_SEC);
	return CLAMP(usec, RETRY_AFTER_MIN, RETRY_AFTER_MAX);
}

static uint32_t pieces_of(const struct cell *cell,
			  const struct policy_request *need)
{
	uint64_t tokens =
		(uint64_t)need->prompt_tokens + need->output_tokens_max;
	uint64_t piece = MAX(cell->decode->piece_tokens, 1u);

	return (uint32_t)MAX((tokens + piece - 1) / piece, 1);
}

static void pending_enqueue(struct pending *pending)
{
	struct cell *cell = pending->cell;
	struct ledger *ledger = cell->ledger;
	struct service *service = pending->service;
	struct policy_request *need = &pending->need;
	struct policy_view view;

	if (service->plain) {
		pending_grant(pending, RUNNER_NONE, RUNNER_NONE);
		return;
	}
	need->pieces = pieces_of(cell, need);
	if (need->pieces > cell->decode->pieces) {
		pending_refuse(pending, RESULT_TOO_LARGE, 0);
		return;
	}
	if (need->attempt == 0 && service->config->queue_max > 0 &&
	    service->waiting >= service->config->queue_max) {
		pending_refuse(pending, RESULT_QUEUE_FULL,
			       queue_time(cell, need));
		return;
	}
	view_fill(cell, &view);
	lane_rank(cell, pending,
		  ledger->policy->rank(ledger->policy_state, &view, need));
	service->waiting++;
	cell->waiting_pieces[need->class] += need->pieces;
	ack_add(ledger, pending->holder.owner.instance,
		pending->holder.owner.incarnation, ACK_QUEUED,
		pending->holder.request, pending->holder.attempt);
	cell_schedule_scan(cell);
}

static void pending_claim_record(struct pending *pending, struct record *record)
{
	pending->record = record;
	record->pending = pending;
	record->fingerprint = pending->fingerprint;
	record->service = pending->service->id;
	record->idempotent = pending->idempotent;
	record_set_owner(record, &pending->holder.owner,
			 pending->holder.request);
	pending_enqueue(pending);
}

static void pending_park(struct pending *pending, struct record *record)
{
	pending->parked = record;
	records_check_abandoned(pending->cell);
	g_queue_push_tail(&record->parked, pending);
	ack_add(pending->cell->ledger, pending->holder.owner.instance,
		pending->holder.owner.incarnation, ACK_QUEUED,
		pending->holder.request, pending->holder.attempt);
}

/* Transfers the dead holder's stream to the new holder. */
static void pending_adopt(struct pending *pending, struct record *record)
{
	struct grant *grant = record->grant;
	struct tag holder = pending->holder;

	pending_discard(pending);
	grant_rekey(grant, &holder.owner, holder.request);
	grant->state = GRANT_HELD;
	grant->adopted = true;
	grant->acknowledged = false;
	grant->sends = 0;
	record_set_owner(record, &holder.owner, holder.request);
	grant_send(grant);
	record_unpark(record);
}

/* The owner is dead. Its stream can be adopted once it is known; until then,
 * or until its end is confirmed, the request waits. */
static void pending_resolve_orphan(struct pending *pending,
				   struct record *record)
{
	const struct grant *grant = record->grant;

	if (grant == NULL || grant->state != GRANT_ORPHAN ||
	    grant->stream[0] == '\0')
		pending_park(pending, record);
	else if (pending->adopt)
		pending_adopt(pending, record);
	else
		pending_answer_duplicate(pending, record, false);
}

static void pending_resolve_new_key(struct pending *pending)
{
	struct cell *cell = pending->cell;
	struct record *record;

	if (remote_redirect(pending))
		return;
	record = record_add(cell, pending->key);
	if (record == NULL) {
		pending_refuse(pending, RESULT_QUEUE_FULL,
			       queue_time(cell, &pending->need));
		return;
	}
	remote_announce(cell, pending->key);
	pending_claim_record(pending, record);
}

void pending_resolve(struct pending *pending)
{
	struct cell *cell = pending->cell;
	struct record *record;

	if (pending->key == 0) {
		pending_enqueue(pending);
		return;
	}
	record = record_find(cell, pending->key);
	if (record == NULL) {
		pending_resolve_new_key(pending);
		return;
	}
	if (record->fingerprint != pending->fingerprint) {
		pending_refuse(pending, RESULT_KEY_REUSED, 0);
		return;
	}
	if (record->state != RECORD_RUNNING) {
		pending_answer_duplicate(
			pending, record,
			owner_alive(cell->ledger, &record->owner));
		return;
	}
	if (owner_equal(&record->owner, &pending->holder.owner) &&
	    record->owner_request == pending->holder.request &&
	    record->grant == NULL) {
		pending_claim_record(pending, record);
		return;
	}
	if (record->grant != NULL && record->grant->state == GRANT_CLOSING)
		pending_park(pending, record);
	else if (owner_alive(cell->ledger, &record->owner))
		pending_answer_duplicate(pending, record, true);
	else
		pending_resolve_orphan(pending, record);
}

void pending_restart(struct pending *pending)
{
	lane_remove(pending);
	if (pending->record != NULL)
		pending->record->pending = NULL;
	pending->record = NULL;
	if (!pending->unsettled)
		pending_resolve(pending);
}

void pending_grant(struct pending *pending, uint32_t prefill, uint32_t decode)
{
	struct cell *cell = pending->cell;
	struct record *record = pending->record;
	struct grant *grant =
		grant_create(cell, &pending->holder.owner,
			     pending->holder.request, pending->holder.attempt);

	grant_hash(grant);
	grant->key = pending->key;
	grant->fingerprint = pending->fingerprint;
	grant->service = pending->service->id;
	grant->idempotent = pending->idempotent;
	grant->class = pending->need.class;
	grant_place(grant, prefill, decode, pending->need.pieces);
	grant->record = record;
	pending_discard(pending);
	if (record != NULL) {
		record->grant = grant;
		record->attempt = grant->holder.attempt;
		record->tag = grant->tag;
		record->pieces = grant->pieces;
		record->decode =
			decode != RUNNER_NONE ? runner_at(cell, decode)->id : 0;
		record_touch(record);
	}
	grant_send(grant);
}
