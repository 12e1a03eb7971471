/* Rotates through the runners of each role, regardless of load. */
#include <glib.h>

#include "place.h"
#include "policies.h"

struct round_robin {
	uint32_t next[2]; /* by role: prefill, decode */
};

static void *round_robin_create(const struct config_policy *settings,
				struct error *err)
{
	return g_new0(struct round_robin, 1);
}

static uint32_t next_runner(struct round_robin *rr,
			    const struct policy_view *view, enum pool_role role)
{
	uint32_t *next = &rr->next[role == POOL_DECODE];

	for (uint32_t n = 0; n < view->runner_count; n++) {
		uint32_t i = (*next + n) % view->runner_count;

		if (!runner_takes(&view->runners[i], role))
			continue;
		*next = i + 1;
		return i;
	}
	return RUNNER_NONE;
}

static enum verdict round_robin_place(void *state,
				      const struct policy_view *view,
				      const struct policy_request *request,
				      struct placement *placement)
{
	uint32_t prefill = next_runner(state, view, POOL_PREFILL);
	uint32_t decode = next_runner(state, view, POOL_DECODE);

	return place_reported(view, request, prefill, decode, placement);
}

const struct policy_ops policy_round_robin = {
	.name = "round_robin",
	.summary = "runners in turn",
	.create = round_robin_create,
	.destroy = g_free,
	.rank = place_rank_arrival,
	.place = round_robin_place,
};
