/* Estimates when a prefill runner will have computed its assigned prompts. */
#include "ledger_parts.h"

/* Assigned prompts are kept for longer than any report is old. A prompt that
 * was assigned within the slack before a report was taken had not reached the
 * runner by then, so the report's queue does not count it. */
#define ASSIGNED_KEEP_USEC (10 * USEC_PER_SEC)
#define ASSIGNED_SLACK_USEC (5 * USEC_PER_MSEC)

static void assigned_add(GArray *assigned, int64_t now, int64_t time)
{
	struct assigned entry = {.at = now, .time = time};
	guint expired = 0;

	while (expired < assigned->len &&
	       g_array_index(assigned, struct assigned, expired).at <
		       now - ASSIGNED_KEEP_USEC)
		expired++;
	g_array_remove_range(assigned, 0, expired);
	g_array_append_val(assigned, entry);
}

void prefill_assign(struct grant *grant, int64_t time)
{
	struct runner *runner = runner_at(grant->cell, grant->prefill);

	grant->prefilling = runner->id;
	grant->prefill_time = time;
	runner->prefilling++;
	runner->prefill_time += time;
	assigned_add(runner->assigned, clock_now(grant->cell->ledger->clock),
		     time);
}

/* Caps the busy time at the expected time of the remaining prompts: this one
 * may have ended early because more of it was cached. */
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

/* Adds the prompts assigned since the report to the queue it reported, bounded
 * by the expected time of all prompts not known to be computed. */
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

		if (assigned->at > taken - ASSIGNED_SLACK_USEC)
			until = MAX(until, assigned->at) + assigned->time;
	}
	until = MIN(until, now + MAX(runner->prefill_time, 0));
	view->busy_until = MAX(until, queued);
}
