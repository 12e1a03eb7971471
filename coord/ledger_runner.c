#include "ledger_parts.h"

#include <string.h>

/* Observed rates are clamped to within this factor of the configured one. */
#define RATE_FACTOR_MAX 4.0
#define RATE_EWMA_WEIGHT 0.2

struct policy_runner *runner_view(const struct cell *cell, uint32_t index)
{
	return &g_array_index(cell->view, struct policy_runner, index);
}

struct runner *runner_at(const struct cell *cell, uint32_t index)
{
	return g_ptr_array_index(cell->runners, index);
}

uint32_t runner_index(const struct cell *cell, uint64_t id)
{
	void *found = g_hash_table_lookup(cell->by_id, &id);

	return found != NULL ? GPOINTER_TO_UINT(found) - 1 : RUNNER_NONE;
}

void runner_destroy(void *data)
{
	struct runner *runner = data;

	g_ptr_array_free(runner->grants, TRUE);
	g_array_free(runner->assigned, TRUE);
	g_hash_table_destroy(runner->strays);
	g_free(runner->pool);
	g_free(runner);
}

void runner_refresh(struct cell *cell, uint32_t index)
{
	struct policy_runner *view = runner_view(cell, index);
	const struct runner *runner = runner_at(cell, index);

	view->usable = runner->in_list && runner->reachable &&
		       !runner->list_leaving && !runner->report_leaving &&
		       !runner->withheld && view->reported_at > 0 &&
		       (runner->listed || view->role != POOL_DECODE);
	view->granted_pieces = runner->granted + runner->stray_pieces;
	view->granted_running = runner->grants->len;
}

static const struct config_pool *pool_of(const struct cell *cell,
					 const struct runner *runner)
{
	if (cell->decode == NULL)
		return NULL;
	return strcmp(runner->pool, cell->decode_pool) == 0 ? cell->decode
							    : cell->prefill;
}

void runner_configure(struct cell *cell, uint32_t index)
{
	struct policy_runner *view = runner_view(cell, index);
	const struct runner *runner = runner_at(cell, index);
	const struct config_pool *pool = pool_of(cell, runner);

	if (pool == NULL)
		return;
	view->role = pool->role;
	view->pieces = pool->pieces;
	view->slots = pool->slots;
	if (view->prefill_tokens_per_s <= 0)
		view->prefill_tokens_per_s = pool->prefill_tokens_per_s;
	if (view->decode_tokens_per_s <= 0)
		view->decode_tokens_per_s = pool->decode_tokens_per_s;
	runner_refresh(cell, index);
}

void runners_configure(struct cell *cell)
{
	for (guint i = 0; i < cell->runners->len; i++)
		runner_configure(cell, i);
}

/* Reuses the slot of a removed runner without grants, or appends one. */
static uint32_t runner_slot(struct cell *cell)
{
	struct policy_runner view = {.role = POOL_PLAIN};
	struct runner *runner;

	for (guint i = 0; i < cell->runners->len; i++) {
		runner = runner_at(cell, i);
		if (runner->in_list || runner->grants->len > 0)
			continue;
		g_hash_table_remove(cell->by_id, &runner->id);
		g_hash_table_remove_all(runner->strays);
		g_free(runner->pool);
		runner->pool = NULL;
		prefix_clear(cell->prefix, i);
		prefill_reset(cell, i);
		*runner_view(cell, i) = view;
		return i;
	}
	runner = g_new0(struct runner, 1);
	runner->grants = g_ptr_array_new();
	runner->assigned = g_array_new(FALSE, FALSE, sizeof(struct assigned));
	runner->strays = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       stray_destroy);
	g_ptr_array_add(cell->runners, runner);
	g_array_append_val(cell->view, view);
	g_array_set_size(cell->prefix_depths, cell->runners->len);
	return cell->runners->len - 1;
}

static void runner_add(struct cell *cell, const struct ledger_runner *entry)
{
	uint32_t index = runner_slot(cell);
	struct runner *runner = runner_at(cell, index);

	runner->id = entry->id;
	runner->pool = g_strdup(entry->pool);
	runner->in_list = true;
	runner->list_leaving = entry->leaving;
	runner->report_leaving = false;
	runner->withheld = false;
	runner->reachable = true;
	runner->listed = false;
	runner->granted = 0;
	runner->stray_pieces = 0;
	runner_view(cell, index)->id = entry->id;
	g_hash_table_insert(cell->by_id, &runner->id,
			    GUINT_TO_POINTER(index + 1));
	runner_configure(cell, index);
}

static bool entry_is_in_cell(const struct cell *cell,
			     const struct ledger_runner *entry)
{
	const struct member *self = membership_self(cell->ledger->membership);

	if (entry->pool == NULL || entry->data_centre == NULL)
		return false;
	if (strcmp(entry->data_centre, self->data_centre) != 0)
		return false;
	return strcmp(entry->pool, cell->prefill_pool) == 0 ||
	       strcmp(entry->pool, cell->decode_pool) == 0;
}

static bool entry_apply(struct cell *cell, const struct ledger_runner *entry,
			GHashTable *seen)
{
	uint32_t index = runner_index(cell, entry->id);
	struct runner *runner;
	bool changed;

	g_hash_table_add(seen, (void *)&entry->id);
	if (index == RUNNER_NONE) {
		runner_add(cell, entry);
		return true;
	}
	runner = runner_at(cell, index);
	changed = !runner->in_list || runner->list_leaving != entry->leaving;
	if (strcmp(runner->pool, entry->pool) != 0) {
		runner_set_pool(cell, index, entry->pool);
		changed = true;
	}
	runner->in_list = true;
	runner->list_leaving = entry->leaving;
	runner_refresh(cell, index);
	return changed;
}

/* Orphaned and closing grants of a removed runner hold no memory any more. */
static void runner_mark_removed(struct cell *cell, uint32_t index)
{
	struct runner *runner = runner_at(cell, index);

	runner->in_list = false;
	runner->reachable = false;
	g_hash_table_remove_all(runner->strays);
	runner->stray_pieces = 0;
	runner_refresh(cell, index);
	for (guint i = runner->grants->len; i > 0; i--) {
		struct grant *grant = g_ptr_array_index(runner->grants, i - 1);

		if (grant->state != GRANT_HELD)
			grant_confirm_ended(grant);
	}
}

bool runners_set(struct cell *cell, const struct ledger_runner *list,
		 size_t count)
{
	GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	bool changed = false;

	for (size_t i = 0; i < count; i++) {
		if (entry_is_in_cell(cell, &list[i]))
			changed |= entry_apply(cell, &list[i], seen);
	}
	for (guint i = 0; i < cell->runners->len; i++) {
		struct runner *runner = runner_at(cell, i);

		if (!runner->in_list ||
		    g_hash_table_contains(seen, &runner->id))
			continue;
		runner_mark_removed(cell, i);
		changed = true;
	}
	g_hash_table_destroy(seen);
	return changed;
}

void runner_list_clear(struct ledger *ledger)
{
	for (guint i = 0; i < ledger->runner_list->len; i++) {
		struct ledger_runner *entry = &g_array_index(
			ledger->runner_list, struct ledger_runner, i);

		g_free((char *)entry->pool);
		g_free((char *)entry->data_centre);
	}
	g_array_set_size(ledger->runner_list, 0);
}

void runner_list_set(struct ledger *ledger, const struct ledger_runner *list,
		     size_t count)
{
	GArray *copies = g_array_new(FALSE, FALSE, sizeof(*list));

	for (size_t i = 0; i < count; i++) {
		struct ledger_runner copy = list[i];

		copy.pool = g_strdup(list[i].pool);
		copy.data_centre = g_strdup(list[i].data_centre);
		g_array_append_val(copies, copy);
	}
	runner_list_clear(ledger);
	g_array_free(ledger->runner_list, TRUE);
	ledger->runner_list = copies;
}

static double rate_average(double mean, double sample, double configured)
{
	sample = CLAMP(sample, configured / RATE_FACTOR_MAX,
		       configured * RATE_FACTOR_MAX);
	return mean + RATE_EWMA_WEIGHT * (sample - mean);
}

static void rate_observe(const struct cell *cell, struct policy_runner *view,
			 const struct ledger_report *report)
{
	bool busy = report->queue_tokens > 0 || report->running > 0;

	if (!busy || report->tokens_per_s <= 0 || cell->decode == NULL)
		return;
	if (view->role == POOL_PREFILL)
		view->prefill_tokens_per_s = rate_average(
			view->prefill_tokens_per_s, report->tokens_per_s,
			cell->prefill->prefill_tokens_per_s);
	else if (view->role == POOL_DECODE)
		view->decode_tokens_per_s = rate_average(
			view->decode_tokens_per_s, report->tokens_per_s,
			cell->decode->decode_tokens_per_s);
}

void runner_report(struct cell *cell, uint32_t index,
		   const struct ledger_report *report)
{
	struct policy_runner *view = runner_view(cell, index);
	struct runner *runner = runner_at(cell, index);
	int64_t now = clock_now(cell->ledger->clock);

	runner->reachable = report->reachable;
	runner->report_leaving = report->leaving;
	if (report->reachable && runner->skip_report) {
		runner->skip_report = false;
	} else if (report->reachable) {
		view->reported_at = MAX(now, 1);
		view->reported_pieces = report->pieces_used;
		view->reported_running = report->running;
		view->reported_waiting = report->waiting;
		view->reported_queue_tokens = report->queue_tokens;
		rate_observe(cell, view, report);
		prefill_apply_report(cell, index, now - report->age);
	}
	runner_refresh(cell, index);
}

void runners_invalidate(struct cell *cell)
{
	for (guint i = 0; i < cell->runners->len; i++) {
		struct runner *runner = runner_at(cell, i);

		runner->listed = false;
		runner->skip_report = true;
		runner->skip_listing = true;
		runner_view(cell, i)->reported_at = 0;
		runner_refresh(cell, i);
	}
}

void runners_reset(struct cell *cell)
{
	for (guint i = 0; i < cell->runners->len; i++) {
		struct runner *runner = runner_at(cell, i);
		struct policy_runner *view = runner_view(cell, i);

		g_hash_table_remove_all(runner->strays);
		runner->stray_pieces = 0;
		runner->withheld = false;
		runner->listed = false;
		runner->skip_report = cell->was_home;
		runner->skip_listing = cell->was_home;
		view->reported_at = 0;
		prefill_reset(cell, i);
		runner_refresh(cell, i);
		prefix_clear(cell->prefix, i);
	}
}
