#include "ledger_parts.h"

#include <string.h>

/* Listings in a row without the stream before it counts as ended. */
#define MISSING_LISTINGS_MIN 2u

void stray_destroy(void *data)
{
	struct stray *stray = data;

	timer_stop(&stray->timer);
	g_free(stray);
}

static struct grant *grant_of_stream(const struct cell *cell, uint32_t index,
				     const struct ledger_stream *stream)
{
	struct tag tag = {.owner = stream->owner,
			  .request = stream->request,
			  .attempt = stream->attempt};

	return grant_find_by_tag(cell, index, &tag);
}

/* Recreates the grant for a dead owner's stream from a record that was copied
 * from the former home. */
static struct grant *grant_of_record(struct cell *cell, uint32_t index,
				     const struct ledger_stream *stream)
{
	struct grant_entry entry = {.owner = stream->owner,
				    .request = stream->request,
				    .attempt = stream->attempt,
				    .decode = runner_at(cell, index)->id,
				    .pieces = stream->pieces};
	GHashTableIter iter;
	struct grant *grant;
	void *value;

	if (owner_alive(cell->ledger, &stream->owner))
		return NULL;
	entry.tag.owner = stream->owner;
	entry.tag.request = stream->request;
	entry.tag.attempt = stream->attempt;
	g_hash_table_iter_init(&iter, cell->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct record *record = value;

		if (record->state != RECORD_RUNNING || record->grant != NULL ||
		    record->pending != NULL ||
		    record->owner_request != stream->request ||
		    !owner_equal(&record->owner, &stream->owner))
			continue;
		entry.key = record->key;
		entry.fingerprint = record->fingerprint;
		entry.service = record->service;
		entry.idempotent = record->idempotent;
		break;
	}
	if (entry.key == 0 ||
	    grant_find(cell, &stream->owner, stream->request) != NULL)
		return NULL;
	grant = grant_from_entry(cell, &entry);
	grant_set_stream(grant, stream->stream);
	grant_orphan(grant);
	return grant;
}

static void stray_timer(struct timer *timer, void *ctx)
{
	struct stray *stray = ctx;
	struct cell *cell = stray->cell;
	struct ledger *ledger = cell->ledger;
	const struct runner *runner = runner_at(cell, stray->runner);
	char stream[LEDGER_STREAM_MAX];

	if (!cell->settled ||
	    grant_of_stream(cell, stray->runner, &stray->stream) != NULL) {
		timer_start(timer, ledger->settings.orphan_grace);
		return;
	}
	timer_start(timer, ledger->settings.cancel_repeat);
	memcpy(stream, stray->stream.stream, sizeof(stream));
	ledger->cancels++;
	ledger->ops.cancel(ledger->ctx, runner->id, stream);
}

static void stray_track(struct cell *cell, uint32_t index,
			const struct ledger_stream *stream)
{
	struct runner *runner = runner_at(cell, index);
	struct stray *stray =
		g_hash_table_lookup(runner->strays, stream->stream);

	if (stray == NULL) {
		stray = g_new0(struct stray, 1);
		stray->cell = cell;
		stray->runner = index;
		stray->stream = *stream;
		timer_init(&stray->timer, cell->ledger->clock, stray_timer,
			   stray);
		timer_start(&stray->timer, cell->ledger->settings.orphan_grace);
		g_hash_table_insert(runner->strays, stray->stream.stream,
				    stray);
	}
	stray->listed = true;
}

static gboolean stray_sweep(void *key, void *value, void *ctx)
{
	struct stray *stray = value;
	uint32_t *pieces = ctx;

	if (!stray->listed)
		return TRUE;
	stray->listed = false;
	*pieces += stray->stream.pieces;
	return FALSE;
}

static void strays_sweep(struct cell *cell, uint32_t index)
{
	struct runner *runner = runner_at(cell, index);
	uint32_t before = runner->stray_pieces;
	uint32_t pieces = 0;

	g_hash_table_foreach_remove(runner->strays, stray_sweep, &pieces);
	runner->stray_pieces = pieces;
	runner_refresh(cell, index);
	if (pieces < before)
		cell_schedule_scan(cell);
}

static bool stream_is_listed(const struct grant *grant,
			     const struct ledger_stream *streams, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (grant->tag.request == streams[i].request &&
		    grant->tag.attempt == streams[i].attempt &&
		    owner_equal(&grant->tag.owner, &streams[i].owner))
			return true;
	}
	return false;
}

/* Frees closing grants whose stream is not or no longer listed. The grace time
 * covers a request that the dead holder sent and the engine has yet to get. */
static void grants_free_unlisted(struct cell *cell, uint32_t index,
				 const struct ledger_stream *streams,
				 size_t count)
{
	struct runner *runner = runner_at(cell, index);
	int64_t now = clock_now(cell->ledger->clock);
	int64_t grace = cell->ledger->settings.orphan_grace;

	for (guint i = runner->grants->len; i > 0; i--) {
		struct grant *grant = g_ptr_array_index(runner->grants, i - 1);

		if (grant->state != GRANT_CLOSING)
			continue;
		if (stream_is_listed(grant, streams, count)) {
			grant->absent_listings = 0;
			continue;
		}
		if (++grant->absent_listings < MISSING_LISTINGS_MIN ||
		    now - grant->closing_since < grace)
			continue;
		grant_confirm_ended(grant);
	}
}

void streams_listed(struct cell *cell, uint32_t index,
		    const struct ledger_stream *streams, size_t count)
{
	struct runner *runner = runner_at(cell, index);

	if (runner->skip_listing) {
		runner->skip_listing = false;
		return;
	}
	for (size_t i = 0; i < count; i++) {
		struct grant *grant = grant_of_stream(cell, index, &streams[i]);

		if (grant == NULL && cell->settled)
			grant = grant_of_record(cell, index, &streams[i]);
		if (grant != NULL)
			grant_set_stream(grant, streams[i].stream);
		else
			stray_track(cell, index, &streams[i]);
	}
	if (!runner->listed)
		cell_schedule_scan(cell);
	runner->listed = true;
	grants_free_unlisted(cell, index, streams, count);
	strays_sweep(cell, index);
}

void stream_cancelled(struct cell *cell, uint32_t index, const char *stream)
{
	struct runner *runner = runner_at(cell, index);
	struct stray *stray = g_hash_table_lookup(runner->strays, stream);

	if (stray != NULL) {
		runner->stray_pieces -= stray->stream.pieces;
		g_hash_table_remove(runner->strays, stream);
		runner_refresh(cell, index);
		cell_schedule_scan(cell);
	}
	for (guint i = 0; i < runner->grants->len; i++) {
		struct grant *grant = g_ptr_array_index(runner->grants, i);

		if (grant->state != GRANT_CLOSING ||
		    strcmp(grant->stream, stream) != 0)
			continue;
		grant_confirm_ended(grant);
		return;
	}
}
