/* Prefix affinity: chooses the prefill runner with the longest cached prefix.
 * For a new prefix it is the one with the highest rendezvous weight, so that
 * later requests find the prefix there. Decode is chosen by reported load. */
#include <glib.h>

#include "common/id.h"
#include "place.h"
#include "policies.h"

struct prefix {
	uint32_t start;
};

static void *prefix_create(const struct config_policy *settings,
			   struct error *err)
{
	return g_new0(struct prefix, 1);
}

static double affinity(const struct policy_view *view, uint32_t runner,
		       void *ctx)
{
	const struct policy_request *request = ctx;
	uint32_t cached = view->cached_blocks(view->ctx, runner, request);
	uint64_t first =
		request->block_count > 0 ? request->blocks[0] : request->id;
	uint64_t weight = id_mix(first, view->runners[runner].id);

	return -(double)cached - (double)weight / 18446744073709551616.0;
}

static enum verdict prefix_place(void *state, const struct policy_view *view,
				 const struct policy_request *request,
				 struct placement *placement)
{
	struct prefix *p = state;
	uint32_t prefill =
		runner_best(view, POOL_PREFILL, 0, affinity, (void *)request);
	uint32_t decode = runner_best(view, POOL_DECODE, p->start++,
				      runner_reported_load, NULL);

	return place_reported(view, request, prefill, decode, placement);
}

const struct policy_ops policy_prefix = {
	.name = "prefix",
	.summary = "prefix affinity alone",
	.create = prefix_create,
	.destroy = g_free,
	.rank = place_rank_arrival,
	.place = prefix_place,
};
