/* Estimates when a prefill runner will have computed the prompts booked on it.
 */
#include "ledger_parts.h"

/* Booked prompts are kept for longer than any report is old. A prompt that was
 * booked within the slack before a report was taken had not reached the runner
 * by then, so the report's queue does not count it. */
#define BOOKED_KEEP_USEC (10 * USEC_PER_SEC)
#define BOOKED_SLACK_USEC (5 * USEC_PER_MSEC)

static void booked_add(GArray *booked, int64_t now, int64_t time)
{
	struct booked entry = {.at = now, .time = time};
	guint expired = 0;

	while (expired < booked->len &&
	       g_array_index(booked, struct booked, expired).at <
		       now - BOOKED_KEEP_USEC)
		expired++;
	g_array_remove_range(booked, 0, expired);
	g_array_append_val(booked, entry);
}

void prefill_book(struct grant *grant, int64_t time)
{
	struct runner *runner = runner_at(grant->cell, grant->prefill);

	grant->prefilling = runner->id;
	grant->prefill_time = time;
	runner->prefilling++;
	runner->prefill_time += time;
	booked_add(runner->booked, clock_now(grant->cell->ledger->clock), time);
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
	g_array_set_size(runner->booked, 0);
}

/* Adds the prompts booked since the report to the queue it reported, bounded
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
	for (guint i = 0; i < runner->booked->len; i++) {
		const struct booked *booked =
			&g_array_index(runner->booked, struct booked, i);

		if (booked->at > taken - BOOKED_SLACK_USEC)
			until = MAX(until, booked->at) + booked->time;
	}
	until = MIN(until, now + MAX(runner->prefill_time, 0));
	view->busy_until = MAX(until, queued);
}
