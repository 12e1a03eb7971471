#include "ledger_parts.h"

#include <math.h>

/* Derived from the mean time for which grants were held; half of the request's
 * limit until the first grant has ended. */
static double output_tokens_expected(const struct cell *cell,
				     const struct policy_request *need)
{
	double limit = need->output_tokens_max;
	double mean_usec = cell->hold_usec[need->class];

	if (mean_usec <= 0 || cell->decode == NULL)
		return limit / 2;
	return fmin(limit, mean_usec / (double)USEC_PER_SEC *
				   cell->decode->decode_tokens_per_s);
}

/* need->pieces is not yet set when a request arrives. */
static double pieces_of(const struct cell *cell,
			const struct policy_request *need)
{
	double tokens = (double)need->prompt_tokens + need->output_tokens_max;

	if (cell->decode == NULL || cell->decode->piece_tokens == 0)
		return 0;
	return ceil(tokens / cell->decode->piece_tokens);
}

static void work_add(struct ledger_demand *work, const struct cell *cell,
		     const struct policy_request *need)
{
	work->requests++;
	work->prompt_tokens += need->prompt_tokens;
	work->output_tokens += output_tokens_expected(cell, need);
	work->pieces += pieces_of(cell, need);
}

void arrival_count(struct cell *cell, const struct policy_request *need)
{
	work_add(&cell->arrived, cell, need);
}

void runner_set_pool(struct cell *cell, uint32_t index, const char *pool)
{
	struct policy_runner *view = runner_view(cell, index);
	struct runner *runner = runner_at(cell, index);

	g_free(runner->pool);
	runner->pool = g_strdup(pool);
	g_hash_table_remove_all(runner->strays);
	runner->stray_pieces = 0;
	runner->listed = false;
	/* Polls in flight are answered with figures of the former role. */
	runner->skip_report = true;
	runner->skip_listing = true;
	view->reported_at = 0;
	view->reported_pieces = 0;
	view->reported_queue_tokens = 0;
	prefill_reset(cell, index);
	view->prefill_tokens_per_s = 0;
	view->decode_tokens_per_s = 0;
	prefix_clear(cell->prefix, index);
	runner_configure(cell, index);
}

static void grant_count(const struct cell *cell, uint32_t index)
{
	if (index < cell->grant_counts->len)
		g_array_index(cell->grant_counts, uint32_t, index)++;
}

static void grants_count(const struct cell *cell)
{
	GHashTableIter iter;
	void *value;

	g_array_set_size(cell->grant_counts, 0);
	g_array_set_size(cell->grant_counts, cell->view->len);
	g_hash_table_iter_init(&iter, cell->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct grant *grant = value;

		grant_count(cell, grant->prefill);
		grant_count(cell, grant->decode);
	}
	/* Adds the grants that the holder has released and the engine may still
	 * run. */
	for (guint i = 0; i < cell->runners->len; i++) {
		const GPtrArray *grants = runner_at(cell, i)->grants;

		for (guint j = 0; j < grants->len; j++) {
			const struct grant *grant =
				g_ptr_array_index(grants, j);

			if (!grant->hashed)
				grant_count(cell, i);
		}
	}
}

static void cell_fill(const struct cell *cell, struct ledger_cell *out)
{
	GHashTableIter iter;
	void *value;

	grants_count(cell);
	*out = (struct ledger_cell){
		.id = cell->id,
		.prefill = cell->prefill,
		.decode = cell->decode,
		.settled = cell->settled,
		.runners =
			(const struct policy_runner *)(void *)cell->view->data,
		.grants = (const uint32_t *)(void *)cell->grant_counts->data,
		.runner_count = cell->view->len,
		.arrived = cell->arrived,
		.cached_tokens = cell->cached_tokens,
	};
	g_hash_table_iter_init(&iter, cell->pending_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pending *pending = value;

		if (pending->lane_position != NULL)
			work_add(&out->waiting, cell, &pending->need);
	}
}

bool ledger_cell_next(const struct ledger *ledger, uint32_t *cursor,
		      struct ledger_cell *cell)
{
	while (*cursor < ledger->cells->len) {
		const struct cell *next =
			g_ptr_array_index(ledger->cells, (*cursor)++);

		if (!next->is_home || next->decode == NULL ||
		    next->prefill == NULL)
			continue;
		cell_fill(next, cell);
		return true;
	}
	return false;
}

void ledger_withhold(struct ledger *ledger, uint64_t runner, bool withheld)
{
	struct cell *cell;
	uint32_t index;

	if (!runner_lookup(ledger, runner, &cell, &index))
		return;
	runner_at(cell, index)->withheld = withheld;
	runner_refresh(cell, index);
	if (!withheld)
		cell_schedule_scan(cell);
}
