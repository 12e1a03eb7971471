#include "ledger_parts.h"

#include <string.h>

#define HOLD_WEIGHT 0.1
/* How long the runners of a failed attempt are not tried again. */
#define AVOID_USEC (1 * USEC_PER_SEC)

void home_start(struct cell *cell)
{
	cell->is_home = true;
	cell->settled = false;
	runners_reset(cell);
	remote_reset(cell);
	log_event(LOG_INFO, "ledger_home_started", LOG_X("cell", cell->id));
}

static GPtrArray *grants_of(const struct cell *cell)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cell->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	for (guint i = 0; i < cell->runners->len; i++) {
		const struct runner *runner = runner_at(cell, i);

		for (guint j = 0; j < runner->grants->len; j++) {
			const struct grant *grant =
				g_ptr_array_index(runner->grants, j);

			if (!grant->hashed)
				g_ptr_array_add(list, (void *)grant);
		}
	}
	return list;
}

/* What has no living holder is told to the next home by this instance. */
static void keep_orphan(struct cell *cell, const struct grant *grant)
{
	struct grant_entry entry;
	struct entries entries;

	if (grant->state == GRANT_HELD)
		return;
	entries_init(&entries);
	grant_to_entry(grant, &entry);
	grant_entry_pack(&entries, ENTRY_ORPHAN, &entry);
	g_ptr_array_add(cell->orphans,
			g_bytes_new(entries.buffer.data, entries.buffer.size));
	entries_clear(&entries);
}

void home_stop(struct cell *cell)
{
	GPtrArray *grants = grants_of(cell);
	GPtrArray *asks = cell_asks(cell);

	cell->is_home = false;
	cell->was_home = true;
	cell->settled = false;
	timer_stop(&cell->settle);
	timer_stop(&cell->scan);
	level_stop(cell);
	remote_reset(cell);
	g_ptr_array_set_size(cell->orphans, 0);
	for (guint i = 0; i < asks->len; i++)
		ask_discard(g_ptr_array_index(asks, i));
	for (guint i = 0; i < grants->len; i++) {
		keep_orphan(cell, g_ptr_array_index(grants, i));
		grant_discard(g_ptr_array_index(grants, i));
	}
	g_hash_table_remove_all(cell->announcers);
	runners_reset(cell);
	replica_clear(cell);
	g_ptr_array_free(grants, TRUE);
	g_ptr_array_free(asks, TRUE);
	log_event(LOG_INFO, "ledger_home_stopped", LOG_X("cell", cell->id));
}

/* A copied record of a dead owner whose stream is known stands for memory that
 * is still held. */
static void adopt_record(struct cell *cell, struct record *record)
{
	struct ledger *ledger = cell->ledger;
	struct grant_entry entry = {.owner = record->owner,
				    .request = record->owner_request,
				    .attempt = record->attempt,
				    .tag = record->tag,
				    .key = record->key,
				    .fingerprint = record->fingerprint,
				    .service = record->service,
				    .idempotent = record->idempotent,
				    .decode = record->decode,
				    .pieces = record->pieces};

	if (record->state != RECORD_RUNNING || record->grant != NULL ||
	    record->waiting != NULL || record->stream[0] == '\0' ||
	    owner_alive(ledger, &record->owner) ||
	    runner_index(cell, record->decode) == RUNNER_NONE ||
	    grant_find(cell, &record->owner, record->owner_request) != NULL)
		return;
	g_strlcpy(entry.stream, record->stream, sizeof(entry.stream));
	grant_orphan(grant_from_entry(cell, &entry));
}

static void adopt_records(struct cell *cell)
{
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cell->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(keys, ((struct record *)value)->key);
	for (guint i = 0; i < keys->len; i++) {
		struct record *record =
			record_find(cell, g_array_index(keys, uint64_t, i));

		if (record != NULL)
			adopt_record(cell, record);
	}
	g_array_free(keys, TRUE);
}

static int compare_arrived(const void *a, const void *b)
{
	const struct waiting *x = *(struct waiting *const *)a;
	const struct waiting *y = *(struct waiting *const *)b;

	if (x->need.arrived != y->need.arrived)
		return x->need.arrived < y->need.arrived ? -1 : 1;
	return (x->need.id > y->need.id) - (x->need.id < y->need.id);
}

void home_settled(struct cell *cell)
{
	GPtrArray *fresh;

	timer_stop(&cell->settle);
	cell->settled = true;
	records_check_abandoned(cell);
	level_start(cell);
	home_bury(cell);
	adopt_records(cell);
	fresh = cell->fresh;
	cell->fresh = g_ptr_array_new();
	g_ptr_array_sort(fresh, compare_arrived);
	for (guint i = 0; i < fresh->len; i++) {
		struct waiting *waiting = g_ptr_array_index(fresh, i);

		waiting->fresh = false;
		ask_resolve(waiting);
	}
	g_ptr_array_free(fresh, TRUE);
	cell_wake(cell);
}

/* Removing an ask may answer or queue others: so they are found by name. */
static void bury_asks(struct cell *cell)
{
	GPtrArray *asks = cell_asks(cell);
	GArray *dead = g_array_new(FALSE, FALSE, sizeof(struct tag));

	for (guint i = 0; i < asks->len; i++) {
		const struct waiting *waiting = g_ptr_array_index(asks, i);

		if (!owner_alive(cell->ledger, &waiting->holder.owner))
			g_array_append_val(dead, waiting->holder);
	}
	for (guint i = 0; i < dead->len; i++) {
		const struct tag *name = &g_array_index(dead, struct tag, i);
		struct waiting *waiting =
			ask_find(cell, &name->owner, name->request);

		if (waiting != NULL)
			ask_remove(waiting);
	}
	g_array_free(dead, TRUE);
	g_ptr_array_free(asks, TRUE);
}

void home_bury(struct cell *cell)
{
	GPtrArray *grants = grants_of(cell);

	bury_asks(cell);
	for (guint i = 0; i < grants->len; i++) {
		struct grant *grant = g_ptr_array_index(grants, i);

		if (grant->state == GRANT_HELD &&
		    !owner_alive(cell->ledger, &grant->holder.owner))
			grant_orphan(grant);
	}
	g_ptr_array_free(grants, TRUE);
}

void home_revoke(struct ledger *ledger, const struct owner *owner,
		 uint64_t request, uint32_t attempt)
{
	message_send_pair(ledger, owner, MESSAGE_REVOKE, request, attempt);
}

/* The former attempt has failed: its memory counts until the engine is known
 * to have ended it, while the request is asked for again. */
static void former_end(struct grant *grant, bool holds_nothing,
		       uint64_t avoid[2])
{
	struct cell *cell = grant->cell;

	if (grant->prefill != RUNNER_NONE)
		avoid[0] = runner_at(cell, grant->prefill)->id;
	if (grant->decode != RUNNER_NONE)
		avoid[1] = runner_at(cell, grant->decode)->id;
	if (grant->record != NULL) {
		grant->record->grant = NULL;
		grant->record->stream[0] = '\0';
		grant->record = NULL;
	}
	grant_unhash(grant);
	if (holds_nothing)
		grant_free(grant);
	else
		grant_close(grant, RECORD_REMOVED);
}

static void ask_take(struct cell *cell, const struct owner *owner,
		     const struct submission *submission,
		     struct service *service)
{
	struct grant *grant = grant_find(cell, owner, submission->request);
	struct waiting *waiting = ask_find(cell, owner, submission->request);
	uint64_t avoid[2] = {0, 0};

	if (waiting != NULL) {
		if (!waiting->fresh)
			ack_add(cell->ledger, owner->instance,
				owner->incarnation, ACK_QUEUED,
				submission->request, waiting->holder.attempt);
		return;
	}
	if (grant != NULL && grant->state != GRANT_HELD)
		return;
	if (grant != NULL && submission->attempt <= grant->holder.attempt) {
		if (submission->attempt == grant->holder.attempt ||
		    grant->adopted)
			grant_send(grant);
		return;
	}
	if (grant != NULL)
		former_end(grant, submission->former_free, avoid);
	waiting = ask_add(cell, owner, submission, service);
	if (submission->attempt == 0 && !submission->adopt)
		arrival_count(cell, &waiting->need);
	memcpy(waiting->avoid, avoid, sizeof(avoid));
	waiting->avoid_until = clock_now(cell->ledger->clock) + AVOID_USEC;
	if (cell->settled) {
		ask_resolve(waiting);
		return;
	}
	waiting->fresh = true;
	g_ptr_array_add(cell->fresh, waiting);
}

static bool announced(const struct cell *cell, const struct owner *owner)
{
	const struct announcer *announcer =
		g_hash_table_lookup(cell->announcers, &owner->instance);

	return announcer != NULL && announcer->complete &&
	       announcer->incarnation == owner->incarnation;
}

void home_receive_ask(struct ledger *ledger, uint64_t from,
		      uint64_t incarnation, struct reader *reader)
{
	struct owner owner = {.instance = from, .incarnation = incarnation};
	const struct announcer *announcer;
	struct service *service;
	struct cell *cell;
	struct submission submission;

	if (!submission_read(ledger, reader, &submission) ||
	    !owner_alive(ledger, &owner))
		return;
	service = service_find(ledger, submission.service);
	if (service == NULL)
		return;
	cell = service->cell;
	announcer = g_hash_table_lookup(cell->announcers, &from);
	if (!cell->is_home || !announced(cell, &owner) ||
	    announcer->epoch != submission.epoch) {
		announce_unknown_send(cell, from, incarnation,
				      submission.epoch);
		return;
	}
	ask_take(cell, &owner, &submission, service);
}

static void observe_hold(struct cell *cell, const struct grant *grant)
{
	double held =
		(double)(clock_now(cell->ledger->clock) - grant->granted_at);
	double *mean = &cell->hold_usec[grant->class];

	if (grant->decode == RUNNER_NONE)
		return;
	*mean = *mean <= 0 ? held : *mean + HOLD_WEIGHT * (held - *mean);
}

static uint32_t released_state(const struct grant *grant, uint32_t reason)
{
	if (reason == RELEASE_DONE)
		return RECORD_DONE;
	if (reason == RELEASE_FAILED || reason == RELEASE_CANCELLED)
		return grant_unknown_state(grant);
	return RECORD_REMOVED;
}

/* Whether the engine may hold a stream for it all the same: an adopted one ran
 * before its new holder knew of it. */
static bool may_run(const struct grant *grant, uint32_t reason)
{
	if (grant->decode == RUNNER_NONE)
		return false;
	if (reason == RELEASE_NOT_RUN || reason == RELEASE_WITHDRAWN)
		return grant->stream[0] != '\0';
	return reason == RELEASE_FAILED;
}

static void grant_released(struct grant *grant, uint32_t reason)
{
	struct record *record = grant->record;
	uint32_t state = released_state(grant, reason);

	if (grant->state == GRANT_CLOSING && may_run(grant, reason))
		return;
	if (reason == RELEASE_DONE)
		observe_hold(grant->cell, grant);
	if (may_run(grant, reason)) {
		grant_end(grant);
		return;
	}
	grant_free(grant);
	if (record != NULL)
		record_end(record, state);
}

/* A release of a grant that this home never knew still tells how the key's
 * request ended. */
static void record_released(struct cell *cell, const struct owner *owner,
			    uint64_t request, uint32_t reason, uint64_t key,
			    uint64_t fingerprint, uint32_t service)
{
	struct record *record = record_find(cell, key);

	if (reason != RELEASE_DONE && reason != RELEASE_FAILED)
		return;
	if (record == NULL)
		record = record_add(cell, key);
	else if (record->state != RECORD_RUNNING ||
		 !owner_equal(&record->owner, owner) ||
		 record->owner_request != request)
		return;
	if (record == NULL)
		return;
	record->fingerprint = fingerprint;
	record->service = service;
	record->owner = *owner;
	record->owner_request = request;
	record_end(record,
		   reason == RELEASE_DONE ? RECORD_DONE : RECORD_FAILED);
}

/* The cell named, or for 0 that which knows the request. */
static struct cell *release_cell(struct ledger *ledger, uint64_t id,
				 const struct owner *owner, uint64_t request)
{
	if (id != 0)
		return cell_find(ledger, id);
	for (guint i = 0; i < ledger->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(ledger->cells, i);

		if (ask_find(cell, owner, request) != NULL)
			return cell;
	}
	return NULL;
}

void home_receive_release(struct ledger *ledger, uint64_t from,
			  uint64_t incarnation, struct reader *reader)
{
	struct owner owner = {.instance = from, .incarnation = incarnation};
	uint64_t id = read_u(reader);
	uint64_t request = read_u(reader);
	uint32_t attempt = (uint32_t)read_u(reader);
	uint32_t reason = (uint32_t)read_u(reader);
	uint64_t key = reader->left > 0 ? read_u(reader) : 0;
	uint64_t fingerprint = key != 0 ? read_u(reader) : 0;
	uint32_t service = key != 0 ? (uint32_t)read_u(reader) : 0;
	struct cell *cell = release_cell(ledger, id, &owner, request);
	struct waiting *waiting;
	struct grant *grant;

	if (reader->bad || cell == NULL || !cell->is_home)
		return;
	waiting = ask_find(cell, &owner, request);
	grant = grant_find(cell, &owner, request);
	if (waiting != NULL && waiting->holder.attempt <= attempt)
		ask_remove(waiting);
	if (grant != NULL && grant->holder.attempt == attempt)
		grant_released(grant, reason);
	else if (grant != NULL && grant->holder.attempt < attempt)
		grant_end(grant); /* the ask for the next never came */
	else if (grant == NULL && key != 0)
		record_released(cell, &owner, request, reason, key, fingerprint,
				service);
	ack_add(ledger, from, incarnation, ACK_RELEASED, request, attempt);
}

void home_receive_progress(struct ledger *ledger, uint64_t from,
			   uint64_t incarnation, struct reader *reader)
{
	struct owner owner = {.instance = from, .incarnation = incarnation};
	struct cell *cell = cell_find(ledger, read_u(reader));
	uint64_t request = read_u(reader);
	uint32_t attempt = (uint32_t)read_u(reader);
	char stream[LEDGER_STREAM_MAX];
	struct grant *grant;

	read_text(reader, stream, sizeof(stream));
	if (reader->bad || cell == NULL || !cell->is_home)
		return;
	grant = grant_find(cell, &owner, request);
	if (grant == NULL || grant->holder.attempt != attempt) {
		if (announced(cell, &owner))
			home_revoke(ledger, &owner, request, attempt);
		return;
	}
	prefill_ended(grant);
	cell_wake(cell);
	grant_learn_stream(grant, stream);
	ack_add(ledger, from, incarnation, ACK_PROGRESS, request, attempt);
}

void home_ack_granted(struct ledger *ledger, uint64_t from,
		      uint64_t incarnation, uint64_t request, uint32_t attempt)
{
	struct owner owner = {.instance = from, .incarnation = incarnation};

	for (guint i = 0; i < ledger->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(ledger->cells, i);
		struct grant *grant = grant_find(cell, &owner, request);

		if (grant == NULL || (grant->holder.attempt & 63u) != attempt)
			continue;
		if (grant->state == GRANT_HELD)
			timer_stop(&grant->timer);
		grant->acknowledged = true;
		return;
	}
}
