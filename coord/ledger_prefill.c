/* When a prefill runner is expected to have computed what it was given. */
#include "ledger_parts.h"

/* Grants are remembered longer than any report is old. What was given just
 * before a report's figures were taken had not reached the runner then. */
#define GIVEN_USEC (10 * USEC_PER_SEC)
#define GIVEN_SLACK_USEC (5 * USEC_PER_MSEC)

static void given_add(GArray *assigned, int64_t now, int64_t time)
{
	struct assigned entry = {.at = now, .time = time};
	guint old = 0;

	while (old < assigned->len &&
	       g_array_index(assigned, struct assigned, old).at <
		       now - GIVEN_USEC)
		old++;
	g_array_remove_range(assigned, 0, old);
	g_array_append_val(assigned, entry);
}

void prefill_assign(struct grant *grant, int64_t time)
{
	struct runner *runner = runner_at(grant->cell, grant->prefill);

	grant->prefilling = runner->id;
	grant->prefill_time = time;
	runner->prefilling++;
	runner->prefill_time += time;
	given_add(runner->assigned, clock_now(grant->cell->ledger->clock),
		  time);
}

/* What is left cannot take longer than it would from now on: the prompt may
 * have ended sooner than expected, when more of it was cached. */
void prefill_ended(struct grant *grant)
{
	struct cell *cell = grant->cell;
	uint32_t index = runner_index(cell, grant->prefilling);
	struct policy_runner *view;
	struct runner *runner;
	int64_t until;

	grant->prefilling = 0;
	if (index == RUNNER_NONE)
		return;
	runner = runner_at(cell, index);
	if (runner->prefilling == 0)
		return;
	runner->prefill_time -= grant->prefill_time;
	if (--runner->prefilling == 0)
		runner->prefill_time = 0;
	view = runner_view(cell, index);
	until = clock_now(cell->ledger->clock) + MAX(runner->prefill_time, 0);
	view->busy_until = MIN(view->busy_until, until);
}

void prefill_reset(struct cell *cell, uint32_t index)
{
	struct policy_runner *view = runner_view(cell, index);
	struct runner *runner = runner_at(cell, index);

	view->busy_until = 0;
	view->link_until = 0;
	view->link_free = 0;
	runner->prefilling = 0;
	runner->prefill_time = 0;
	g_array_set_size(runner->assigned, 0);
}

/* What was queued when the report was taken, and what was given since; that
 * cannot take longer than all prompts that are not known to be computed. */
void prefill_apply_report(struct cell *cell, uint32_t index, int64_t taken)
{
	struct policy_runner *view = runner_view(cell, index);
	const struct runner *runner = runner_at(cell, index);
	int64_t now = clock_now(cell->ledger->clock);
	int64_t queued, until;

	if (view->role != POOL_PREFILL || view->prefill_tokens_per_s <= 0)
		return;
	queued = taken +
		 (int64_t)((double)view->reported_queue_tokens /
			   view->prefill_tokens_per_s * (double)USEC_PER_SEC);
	until = queued;
	for (guint i = 0; i < runner->assigned->len; i++) {
		const struct assigned *assigned =
			&g_array_index(runner->assigned, struct assigned, i);

		if (assigned->at > taken - GIVEN_SLACK_USEC)
			until = MAX(until, assigned->at) + assigned->time;
	}
	until = MIN(until, now + MAX(runner->prefill_time, 0));
	view->busy_until = MAX(until, queued);
}
