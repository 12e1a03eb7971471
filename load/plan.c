#include "load/plan.h"

#include <math.h>
#include <string.h>

#include "common/id.h"

/* Draws from the standard normal distribution (Box-Muller transform). */
static double normal_draw(GRand *rand)
{
	double a = 1 - g_rand_double(rand);
	double b = g_rand_double(rand);

	return sqrt(-2 * log(a)) * cos(2 * G_PI * b);
}

static uint32_t range_draw(GRand *rand, const struct load_range *range)
{
	double value = range->median * exp(range->sigma * normal_draw(rand));
	double max = range->max > 0 ? range->max : UINT32_MAX;

	return (uint32_t)round(CLAMP(value, range->min, max));
}

static const struct load_kind *kind_draw(GRand *rand,
					 const struct workload *workload)
{
	const struct load_kind *kind = workload->kinds;
	double weights = 0;
	double remaining;

	for (unsigned int i = 0; i < workload->kinds_count; i++)
		weights += workload->kinds[i].weight;
	remaining = g_rand_double(rand) * weights;
	for (unsigned int i = 0; i < workload->kinds_count; i++) {
		kind = &workload->kinds[i];
		remaining -= kind->weight;
		if (remaining < 0)
			break;
	}
	return kind;
}

/*
 * The text of a prompt is short however many tokens it has: the stand-in models
 * read "@N" as its number of tokens. All prompts with the same "WORD~P" share
 * their first P tokens. "#n" is the length of the answer, and the key makes the
 * prompt unique.
 */
static char *prompt_make(GRand *rand, const struct call_plan *plan)
{
	const struct load_kind *kind = plan->kind;
	GString *text = g_string_new(NULL);
	uint32_t group;

	g_string_printf(text, "@%u ", plan->prompt_tokens);
	if (kind->prefix_groups > 0) {
		group = (uint32_t)g_rand_int_range(rand, 0,
						   (int)kind->prefix_groups);
		g_string_append_printf(text, "%s-%u~%u ", kind->name, group,
				       kind->prefix_tokens);
	}
	g_string_append_printf(text, "#%u %s", plan->output_tokens, plan->key);
	return g_string_free(text, FALSE);
}

struct call_plan *plan_draw(GRand *rand, const struct workload *workload,
			    const char *run, uint64_t number)
{
	struct call_plan *plan = g_new0(struct call_plan, 1);
	const struct load_kind *kind = kind_draw(rand, workload);

	plan->kind = kind;
	g_snprintf(plan->key, sizeof(plan->key), "%s-%" G_GUINT64_FORMAT, run,
		   number);
	if (kind->model != NULL) {
		plan->prompt_tokens =
			MAX(1, range_draw(rand, &kind->prompt_tokens));
		plan->output_tokens =
			MAX(1, range_draw(rand, &kind->output_tokens));
		plan->max_tokens = MAX(plan->output_tokens, kind->max_tokens);
		plan->text = prompt_make(rand, plan);
	} else {
		plan->text = g_strdup_printf("{\"ref\":\"%s\"}", plan->key);
	}
	plan->text_hash = id_hash(plan->text, strlen(plan->text));
	return plan;
}

void plan_destroy(struct call_plan *plan)
{
	if (plan == NULL)
		return;
	g_free(plan->text);
	g_free(plan);
}
