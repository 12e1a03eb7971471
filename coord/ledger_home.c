#include "ledger_parts.h"

#include <string.h>

#define HOLD_EWMA_WEIGHT 0.1
/* The next attempt avoids the runners of a failed one for this time. */
#define AVOID_USEC (1 * USEC_PER_SEC)

void home_start(struct cell *cell)
{
	cell->is_home = true;
	cell->settled = false;
	runners_reset(cell);
	remote_reset(cell);
	log_event(LOG_INFO, "ledger_home_started", LOG_X("cell", cell->id));
}

static GPtrArray *cell_grants(const struct cell *cell)
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

/* Saves orphaned and closing grants for the announcement to the next home. */
static void orphan_save(struct cell *cell, const struct grant *grant)
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
	GPtrArray *grants = cell_grants(cell);
	GPtrArray *list = cell_pending_requests(cell);

	cell->is_home = false;
	cell->was_home = true;
	cell->settled = false;
	timer_stop(&cell->settle);
	timer_stop(&cell->scan);
	level_stop(cell);
	remote_reset(cell);
	g_ptr_array_set_size(cell->orphans, 0);
	for (guint i = 0; i < list->len; i++)
		pending_discard(g_ptr_array_index(list, i));
	for (guint i = 0; i < grants->len; i++) {
		orphan_save(cell, g_ptr_array_index(grants, i));
		grant_discard(g_ptr_array_index(grants, i));
	}
	g_hash_table_remove_all(cell->announcers);
	runners_reset(cell);
	replica_clear(cell);
	g_ptr_array_free(grants, TRUE);
	g_ptr_array_free(list, TRUE);
	log_event(LOG_INFO, "ledger_home_stopped", LOG_X("cell", cell->id));
}

/* A replicated record with a dead owner and a known stream stands for memory
 * that is still reserved on the runner. */
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
	    record->pending != NULL || record->stream[0] == '\0' ||
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
	const struct pending *x = *(struct pending *const *)a;
	const struct pending *y = *(struct pending *const *)b;

	if (x->need.arrived != y->need.arrived)
		return x->need.arrived < y->need.arrived ? -1 : 1;
	return (x->need.id > y->need.id) - (x->need.id < y->need.id);
}

void home_settled(struct cell *cell)
{
	GPtrArray *unsettled;

	timer_stop(&cell->settle);
	cell->settled = true;
	records_check_abandoned(cell);
	level_start(cell);
	home_drop_dead(cell);
	adopt_records(cell);
	unsettled = cell->unsettled;
	cell->unsettled = g_ptr_array_new();
	g_ptr_array_sort(unsettled, compare_arrived);
	for (guint i = 0; i < unsettled->len; i++) {
		struct pending *pending = g_ptr_array_index(unsettled, i);

		pending->unsettled = false;
		pending_resolve(pending);
	}
	g_ptr_array_free(unsettled, TRUE);
	cell_schedule_scan(cell);
}

/* Removing a request may answer or queue others, so each is looked up again. */
static void drop_dead_pending(struct cell *cell)
{
	GPtrArray *list = cell_pending_requests(cell);
	GArray *dead = g_array_new(FALSE, FALSE, sizeof(struct tag));

	for (guint i = 0; i < list->len; i++) {
		const struct pending *pending = g_ptr_array_index(list, i);

		if (!owner_alive(cell->ledger, &pending->holder.owner))
			g_array_append_val(dead, pending->holder);
	}
	for (guint i = 0; i < dead->len; i++) {
		const struct tag *tag = &g_array_index(dead, struct tag, i);
		struct pending *pending =
			pending_find(cell, &tag->owner, tag->request);

		if (pending != NULL)
			pending_remove(pending);
	}
	g_array_free(dead, TRUE);
	g_ptr_array_free(list, TRUE);
}

void home_drop_dead(struct cell *cell)
{
	GPtrArray *grants = cell_grants(cell);

	drop_dead_pending(cell);
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

/* The previous attempt has failed. Its memory stays reserved until the engine
 * confirms its end; the request continues with a new attempt. */
static void previous_grant_end(struct grant *grant, bool previous_freed,
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
	if (previous_freed)
		grant_free(grant);
	else
		grant_close(grant, RECORD_REMOVED);
}

static void home_accept(struct cell *cell, const struct owner *owner,
			const struct submission *submission,
			struct service *service)
{
	struct grant *grant = grant_find(cell, owner, submission->request);
	struct pending *pending =
		pending_find(cell, owner, submission->request);
	uint64_t avoid[2] = {0, 0};

	if (pending != NULL) {
		if (!pending->unsettled)
			ack_add(cell->ledger, owner->instance,
				owner->incarnation, ACK_QUEUED,
				submission->request, pending->holder.attempt);
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
		previous_grant_end(grant, submission->previous_freed, avoid);
	pending = pending_add(cell, owner, submission, service);
	if (submission->attempt == 0 && !submission->adopt)
		arrival_count(cell, &pending->need);
	memcpy(pending->avoid, avoid, sizeof(avoid));
	pending->avoid_until = clock_now(cell->ledger->clock) + AVOID_USEC;
	if (cell->settled) {
		pending_resolve(pending);
		return;
	}
	pending->unsettled = true;
	g_ptr_array_add(cell->unsettled, pending);
}

static bool has_announced(const struct cell *cell, const struct owner *owner)
{
	const struct announcer *announcer =
		g_hash_table_lookup(cell->announcers, &owner->instance);

	return announcer != NULL && announcer->complete &&
	       announcer->incarnation == owner->incarnation;
}

void home_receive_submit(struct ledger *ledger, uint64_t from,
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
	if (!cell->is_home || !has_announced(cell, &owner) ||
	    announcer->epoch != submission.epoch) {
		announce_unknown_send(cell, from, incarnation,
				      submission.epoch);
		return;
	}
	home_accept(cell, &owner, &submission, service);
}

static void hold_observe(struct cell *cell, const struct grant *grant)
{
	double held =
		(double)(clock_now(cell->ledger->clock) - grant->granted_at);
	double *mean = &cell->hold_usec[grant->class];

	if (grant->decode == RUNNER_NONE)
		return;
	*mean = *mean <= 0 ? held : *mean + HOLD_EWMA_WEIGHT * (held - *mean);
}

static uint32_t state_after_release(const struct grant *grant, uint32_t reason)
{
	if (reason == RELEASE_DONE)
		return RECORD_DONE;
	if (reason == RELEASE_FAILED || reason == RELEASE_CANCELLED)
		return grant_unknown_state(grant);
	return RECORD_REMOVED;
}

/* Whether the engine may still hold a stream after the release: an adopted
 * stream ran before its new holder had the grant. */
static bool may_hold_stream(const struct grant *grant, uint32_t reason)
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
	uint32_t state = state_after_release(grant, reason);

	if (grant->state == GRANT_CLOSING && may_hold_stream(grant, reason))
		return;
	if (reason == RELEASE_DONE)
		hold_observe(grant->cell, grant);
	if (may_hold_stream(grant, reason)) {
		grant_end(grant);
		return;
	}
	grant_free(grant);
	if (record != NULL)
		record_end(record, state);
}

/* A release of a grant unknown to this home still gives the outcome for the
 * key's record. */
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

/* The cell with this id, or for 0 the cell where the request is pending. */
static struct cell *release_cell(struct ledger *ledger, uint64_t id,
				 const struct owner *owner, uint64_t request)
{
	if (id != 0)
		return cell_find(ledger, id);
	for (guint i = 0; i < ledger->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(ledger->cells, i);

		if (pending_find(cell, owner, request) != NULL)
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
	struct pending *pending;
	struct grant *grant;

	if (reader->bad || cell == NULL || !cell->is_home)
		return;
	pending = pending_find(cell, &owner, request);
	grant = grant_find(cell, &owner, request);
	if (pending != NULL && pending->holder.attempt <= attempt)
		pending_remove(pending);
	if (grant != NULL && grant->holder.attempt == attempt)
		grant_released(grant, reason);
	else if (grant != NULL && grant->holder.attempt < attempt)
		grant_end(grant); /* the next attempt was never received */
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
		if (has_announced(cell, &owner))
			home_revoke(ledger, &owner, request, attempt);
		return;
	}
	prefill_ended(grant);
	cell_schedule_scan(cell);
	grant_set_stream(grant, stream);
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
