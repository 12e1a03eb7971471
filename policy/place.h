/*
 * place.h - helper functions that policies use to choose runners
 */
#ifndef POLICY_PLACE_H
#define POLICY_PLACE_H

#include "policy/policy.h"

/* Delay until a baseline policy looks for a usable runner again. */
#define PLACE_RETRY_USEC (100 * INT64_C(1000))

/* Lower is better; of equal scores, the first runner is chosen. */
typedef double (*runner_score_fn)(const struct policy_view *view,
				  uint32_t runner, void *ctx);

bool runner_takes(const struct policy_runner *runner, enum pool_role role);
/* The usable runner of the role with the lowest score, looking from the index
 * start on and around; RUNNER_NONE when none is usable. */
uint32_t runner_best(const struct policy_view *view, enum pool_role role,
		     uint32_t start, runner_score_fn score, void *ctx);
/* A runner_score_fn: the load in the runner's last report. */
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
