/* Chooses the less loaded, by report, of two random runners (Mitzenmacher,
 * "The power of two choices in randomized load balancing", IEEE TPDS 2001). */
#include <glib.h>

#include "place.h"
#include "policies.h"

static const struct policy_param two_choices_params[] = {
	{"seed", 0, UINT32_MAX, 1, "of the draws; whole"},
};

struct two_choices {
	GRand *rand;
};

static void *two_choices_create(const struct config_policy *settings,
				struct error *err)
{
	struct two_choices *tc;
	double seed;

	if (settings != NULL && !policy_check(settings, err))
		return NULL;
	tc = g_new0(struct two_choices, 1);
	seed = policy_value(&policy_two_choices, settings, "seed");
	tc->rand = g_rand_new_with_seed((guint32)(int64_t)seed);
	return tc;
}

static void two_choices_destroy(void *state)
{
	struct two_choices *tc = state;

	g_rand_free(tc->rand);
	g_free(tc);
}

static uint32_t usable_runner(const struct policy_view *view,
			      enum pool_role role, uint32_t n)
{
	for (uint32_t i = 0; i < view->runner_count; i++) {
		if (runner_takes(&view->runners[i], role) && n-- == 0)
			return i;
	}
	return RUNNER_NONE;
}

static uint32_t choose_of_two(struct two_choices *tc,
			      const struct policy_view *view,
			      enum pool_role role)
{
	uint32_t count = 0;
	uint32_t a, b;

	for (uint32_t i = 0; i < view->runner_count; i++)
		count += runner_takes(&view->runners[i], role);
	if (count <= 1)
		return usable_runner(view, role, 0);
	a = (uint32_t)g_rand_int_range(tc->rand, 0, (gint32)count);
	b = (uint32_t)g_rand_int_range(tc->rand, 0, (gint32)count - 1);
	if (b >= a)
		b++;
	a = usable_runner(view, role, a);
	b = usable_runner(view, role, b);
	return runner_reported_load(view, b, NULL) <
			       runner_reported_load(view, a, NULL)
		       ? b
		       : a;
}

static enum verdict two_choices_place(void *state,
				      const struct policy_view *view,
				      const struct policy_request *request,
				      struct placement *placement)
{
	uint32_t prefill = choose_of_two(state, view, POOL_PREFILL);
	uint32_t decode = choose_of_two(state, view, POOL_DECODE);

	return place_reported(view, request, prefill, decode, placement);
}

const struct policy_ops policy_two_choices = {
	.name = "two_choices",
	.summary = "two random choices on reported load",
	.params = two_choices_params,
	.param_count = G_N_ELEMENTS(two_choices_params),
	.create = two_choices_create,
	.destroy = two_choices_destroy,
	.rank = place_rank_arrival,
	.place = two_choices_place,
};
