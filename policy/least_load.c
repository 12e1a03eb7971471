/* Chooses the runner with the lowest reported load; ties rotate. */
#include <glib.h>

#include "place.h"
#include "policies.h"

struct least_load {
	uint32_t start;
};

static void *least_load_create(const struct config_policy *settings,
			       struct error *err)
{
	return g_new0(struct least_load, 1);
}

static enum verdict least_load_place(void *state,
				     const struct policy_view *view,
				     const struct policy_request *request,
				     struct placement *placement)
{
	struct least_load *ll = state;
	uint32_t start = ll->start++;
	uint32_t prefill = runner_best(view, POOL_PREFILL, start,
				       runner_reported_load, NULL);
	uint32_t decode = runner_best(view, POOL_DECODE, start,
				      runner_reported_load, NULL);

	return place_reported(view, request, prefill, decode, placement);
}

const struct policy_ops policy_least_load = {
	.name = "least_load",
	.summary = "least reported load",
	.create = least_load_create,
	.destroy = g_free,
	.rank = place_rank_arrival,
	.place = least_load_place,
};
