/*
 * place.h - what several policies share when they choose runners
 */
#ifndef POLICY_PLACE_H
#define POLICY_PLACE_H

#include "policy/policy.h"

/* How long a baseline waits for a usable runner before it looks again. */
#define PLACE_RETRY_USEC (100 * INT64_C(1000))

/* Lower is better; equal scores go to the runner that is met first. */
typedef double (*runner_score_fn)(const struct policy_view *view,
				  uint32_t runner, void *ctx);

bool runner_takes(const struct policy_runner *runner, enum pool_role role);
/* The usable runner of the role with the lowest score, looking from the index
 * start on and around; RUNNER_NONE when none is usable. */
uint32_t runner_best(const struct policy_view *view, enum pool_role role,
		     uint32_t start, runner_score_fn score, void *ctx);
/* What the runner itself last reported. */
double runner_reported_load(const struct policy_view *view, uint32_t runner,
			    void *ctx);
/* Starts on the two runners, or waits when one is missing. A request past its
 * deadline is refused. */
enum verdict place_reported(const struct policy_view *view,
			    const struct policy_request *request,
			    uint32_t prefill, uint32_t decode,
			    struct placement *placement);
int64_t place_rank_arrival(void *state, const struct policy_view *view,
			   const struct policy_request *request);

#endif
