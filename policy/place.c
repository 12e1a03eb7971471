#include "place.h"

#include "common/clock.h"

bool runner_takes(const struct policy_runner *runner, enum pool_role role)
{
	return runner->role == role && runner->usable;
}

uint32_t runner_best(const struct policy_view *view, enum pool_role role,
		     uint32_t start, runner_score_fn score, void *ctx)
{
	uint32_t best = RUNNER_NONE;
	double best_score = 0;

	for (uint32_t n = 0; n < view->runner_count; n++) {
		uint32_t i = (start + n) % view->runner_count;
		double s;

		if (!runner_takes(&view->runners[i], role))
			continue;
		s = score(view, i, ctx);
		if (best != RUNNER_NONE && s >= best_score)
			continue;
		best = i;
		best_score = s;
	}
	return best;
}

double runner_reported_load(const struct policy_view *view, uint32_t runner,
			    void *ctx)
{
	const struct policy_runner *r = &view->runners[runner];

	if (r->role == POOL_PREFILL)
		return (double)r->reported_queue_tokens;
	return (double)r->reported_pieces + r->reported_waiting;
}

enum verdict place_reported(const struct policy_view *view,
			    const struct policy_request *request,
			    uint32_t prefill, uint32_t decode,
			    struct placement *placement)
{
	placement->reserve = false;
	placement->hold = RUNNER_NONE;
	if (request->deadline <= view->now) {
		placement->code = RESULT_DEADLINE;
		placement->retry_after = USEC_PER_SEC;
		return VERDICT_REFUSE;
	}
	if (prefill == RUNNER_NONE || decode == RUNNER_NONE) {
		placement->retry_at = view->now + PLACE_RETRY_USEC;
		return VERDICT_WAIT;
	}
	placement->prefill = prefill;
	placement->decode = decode;
	return VERDICT_START;
}

int64_t place_rank_arrival(void *state, const struct policy_view *view,
			   const struct policy_request *request)
{
	return request->arrived;
}
