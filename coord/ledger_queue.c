#include "ledger_parts.h"

#include <string.h>

#define RETRY_AFTER_MIN (1 * USEC_PER_SEC)
#define RETRY_AFTER_MAX (600 * USEC_PER_SEC)

struct waiting *ask_find(const struct cell *cell, const struct owner *owner,
			 uint64_t request)
{
	struct tag name = {.owner = *owner, .request = request};

	return g_hash_table_lookup(cell->asks, &name);
}

struct waiting *ask_add(struct cell *cell, const struct owner *owner,
			const struct submission *submission,
			struct service *service)
{
	struct waiting *waiting = g_new0(struct waiting, 1);

	waiting->cell = cell;
	waiting->service = service;
	waiting->service_id = service->id;
	waiting->holder.owner = *owner;
	waiting->holder.request = submission->request;
	waiting->holder.attempt = submission->attempt;
	waiting->key = submission->key;
	waiting->fingerprint = submission->fingerprint;
	waiting->idempotent = submission->idempotent;
	waiting->adopt = submission->adopt;
	waiting->here = submission->here;
	waiting->need = submission->need;
	waiting->need.id = id_mix(owner->instance, submission->request);
	g_hash_table_insert(cell->asks, &waiting->holder, waiting);
	return waiting;
}

static void lane_remove(struct waiting *waiting)
{
	struct cell *cell = waiting->cell;

	if (waiting->place == NULL)
		return;
	g_sequence_remove(waiting->place);
	waiting->place = NULL;
	if (waiting->service != NULL)
		waiting->service->waiting--;
	cell->waiting_pieces[waiting->need.class] -= waiting->need.pieces;
}

void ask_discard(struct waiting *waiting)
{
	struct cell *cell = waiting->cell;

	lane_remove(waiting);
	if (waiting->fresh)
		g_ptr_array_remove(cell->fresh, waiting);
	if (waiting->parked != NULL)
		g_queue_remove(&waiting->parked->parked, waiting);
	if (waiting->record != NULL)
		waiting->record->waiting = NULL;
	g_hash_table_remove(cell->asks, &waiting->holder);
	g_free(waiting);
}

void ask_remove(struct waiting *waiting)
{
	struct record *record = waiting->record;
	bool spent = waiting->holder.attempt > 0 && !waiting->idempotent;

	ask_discard(waiting);
	if (record != NULL && record->grant == NULL)
		record_end(record, spent ? RECORD_FAILED : RECORD_REMOVED);
}

void ask_refuse(struct waiting *waiting, enum result_code code,
		int64_t retry_after)
{
	struct ledger *ledger = waiting->cell->ledger;
	const struct tag *holder = &waiting->holder;
	msgpack_packer *packer = message_begin(ledger, MESSAGE_REFUSE,
					       holder->owner.incarnation, 4);

	pack_u(packer, holder->request);
	pack_u(packer, holder->attempt);
	pack_u(packer, code);
	pack_u(packer, (uint64_t)MAX(retry_after, 0) / USEC_PER_MSEC);
	message_send(ledger, holder->owner.instance);
	ask_remove(waiting);
}

static void ask_duplicate(struct waiting *waiting, const struct record *record,
			  bool alive)
{
	struct ledger *ledger = waiting->cell->ledger;
	const struct tag *holder = &waiting->holder;
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
	ask_remove(waiting);
}

static int compare_rank(const void *a, const void *b, void *ctx)
{
	const struct waiting *x = a;
	const struct waiting *y = b;

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

void lane_rank(struct cell *cell, struct waiting *waiting, int64_t rank)
{
	GSequence *lane = cell->lanes[waiting->need.class];

	waiting->rank = rank;
	if (waiting->place != NULL)
		g_sequence_sort_changed(waiting->place, compare_rank, NULL);
	else
		waiting->place = g_sequence_insert_sorted(lane, waiting,
							  compare_rank, NULL);
}

/* Pieces that come free a second at the observed mean holding time. */
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

static void ask_enqueue(struct waiting *waiting)
{
	struct cell *cell = waiting->cell;
	struct ledger *ledger = cell->ledger;
	struct service *service = waiting->service;
	struct policy_request *need = &waiting->need;
	struct policy_view view;

	if (service->plain) {
		ask_grant(waiting, RUNNER_NONE, RUNNER_NONE);
		return;
	}
	need->pieces = pieces_of(cell, need);
	if (need->pieces > cell->decode->pieces) {
		ask_refuse(waiting, RESULT_TOO_LARGE, 0);
		return;
	}
	if (need->attempt == 0 && service->config->queue_max > 0 &&
	    service->waiting >= service->config->queue_max) {
		ask_refuse(waiting, RESULT_QUEUE_FULL, queue_time(cell, need));
		return;
	}
	view_fill(cell, &view);
	lane_rank(cell, waiting,
		  ledger->policy->rank(ledger->policy_state, &view, need));
	service->waiting++;
	cell->waiting_pieces[need->class] += need->pieces;
	ack_add(ledger, waiting->holder.owner.instance,
		waiting->holder.owner.incarnation, ACK_QUEUED,
		waiting->holder.request, waiting->holder.attempt);
	cell_wake(cell);
}

static void ask_own(struct waiting *waiting, struct record *record)
{
	waiting->record = record;
	record->waiting = waiting;
	record->fingerprint = waiting->fingerprint;
	record->service = waiting->service->id;
	record->idempotent = waiting->idempotent;
	record_set_owner(record, &waiting->holder.owner,
			 waiting->holder.request);
	ask_enqueue(waiting);
}

static void ask_park(struct waiting *waiting, struct record *record)
{
	waiting->parked = record;
	records_check_abandoned(waiting->cell);
	g_queue_push_tail(&record->parked, waiting);
	ack_add(waiting->cell->ledger, waiting->holder.owner.instance,
		waiting->holder.owner.incarnation, ACK_QUEUED,
		waiting->holder.request, waiting->holder.attempt);
}

/* The new holder takes over the stream of the dead one. */
static void ask_adopt(struct waiting *waiting, struct record *record)
{
	struct grant *grant = record->grant;
	struct tag holder = waiting->holder;

	ask_discard(waiting);
	grant_rekey(grant, &holder.owner, holder.request);
	grant->state = GRANT_HELD;
	grant->adopted = true;
	grant->acknowledged = false;
	grant->tries = 0;
	record_set_owner(record, &holder.owner, holder.request);
	grant_send(grant);
	record_unpark(record);
}

/* The owner is dead: its stream may be taken over once it is known; until its
 * work is known to have ended the ask waits. */
static void ask_after_death(struct waiting *waiting, struct record *record)
{
	const struct grant *grant = record->grant;

	if (grant == NULL || grant->state != GRANT_ORPHAN ||
	    grant->stream[0] == '\0')
		ask_park(waiting, record);
	else if (waiting->adopt)
		ask_adopt(waiting, record);
	else
		ask_duplicate(waiting, record, false);
}

static void ask_new_key(struct waiting *waiting)
{
	struct cell *cell = waiting->cell;
	struct record *record;

	if (remote_redirect(waiting))
		return;
	record = record_add(cell, waiting->key);
	if (record == NULL) {
		ask_refuse(waiting, RESULT_QUEUE_FULL,
			   queue_time(cell, &waiting->need));
		return;
	}
	remote_announce(cell, waiting->key);
	ask_own(waiting, record);
}

void ask_resolve(struct waiting *waiting)
{
	struct cell *cell = waiting->cell;
	struct record *record;

	if (waiting->key == 0) {
		ask_enqueue(waiting);
		return;
	}
	record = record_find(cell, waiting->key);
	if (record == NULL) {
		ask_new_key(waiting);
		return;
	}
	if (record->fingerprint != waiting->fingerprint) {
		ask_refuse(waiting, RESULT_KEY_REUSED, 0);
		return;
	}
	if (record->state != RECORD_RUNNING) {
		ask_duplicate(waiting, record,
			      owner_alive(cell->ledger, &record->owner));
		return;
	}
	if (owner_equal(&record->owner, &waiting->holder.owner) &&
	    record->owner_request == waiting->holder.request &&
	    record->grant == NULL) {
		ask_own(waiting, record);
		return;
	}
	if (record->grant != NULL && record->grant->state == GRANT_CLOSING)
		ask_park(waiting, record);
	else if (owner_alive(cell->ledger, &record->owner))
		ask_duplicate(waiting, record, true);
	else
		ask_after_death(waiting, record);
}

void ask_again(struct waiting *waiting)
{
	lane_remove(waiting);
	if (waiting->record != NULL)
		waiting->record->waiting = NULL;
	waiting->record = NULL;
	if (!waiting->fresh)
		ask_resolve(waiting);
}

void ask_grant(struct waiting *waiting, uint32_t prefill, uint32_t decode)
{
	struct cell *cell = waiting->cell;
	struct record *record = waiting->record;
	struct grant *grant =
		grant_create(cell, &waiting->holder.owner,
			     waiting->holder.request, waiting->holder.attempt);

	grant_hash(grant);
	grant->key = waiting->key;
	grant->fingerprint = waiting->fingerprint;
	grant->service = waiting->service->id;
	grant->idempotent = waiting->idempotent;
	grant->class = waiting->need.class;
	grant_place(grant, prefill, decode, waiting->need.pieces);
	grant->record = record;
	ask_discard(waiting);
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
