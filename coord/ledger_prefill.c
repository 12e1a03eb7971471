/* When a prefill runner is expected to have computed what it was given. */
#include "ledger_parts.h"

/* A report counts as newer than a grant when it is taken so much later. */
#define GRANT_TRAVEL_USEC (100 * USEC_PER_MSEC)

void prefill_book(struct grant *grant, int64_t time)
{
	struct runner *runner = runner_at(grant->cell, grant->prefill);

	grant->prefilling = runner->id;
	grant->prefill_time = time;
	runner->prefilling++;
	runner->prefill_time += time;
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

void prefill_forget(struct cell *cell, uint32_t index)
{
	struct policy_runner *view = runner_view(cell, index);
	struct runner *runner = runner_at(cell, index);

	view->busy_until = 0;
	view->link_until = 0;
	runner->prefilling = 0;
	runner->prefill_time = 0;
}

/* A report that has seen all grants corrects the estimate both ways; one that
 * may have missed some only upwards. What it says was so when it was taken. */
void prefill_observe(struct cell *cell, uint32_t index, int64_t taken)
{
	struct policy_runner *view = runner_view(cell, index);
	const struct runner *runner = runner_at(cell, index);
	int64_t until;

	if (view->role != POOL_PREFILL || view->prefill_tokens_per_s <= 0)
		return;
	until = taken +
		(int64_t)((double)view->reported_queue_tokens /
			  view->prefill_tokens_per_s * (double)USEC_PER_SEC);
	if (taken - runner->granted_last > GRANT_TRAVEL_USEC ||
	    until > view->busy_until)
		view->busy_until = until;
}
