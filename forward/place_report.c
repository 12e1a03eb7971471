/*
 * place_report.c - record of the choices of place.c
 */
#include "forward/place.h"

static const char *const bar_names[PLACE_BARS] = {
	[PLACE_ALLOWED] = "",
	[PLACE_NOT_USABLE] = "not usable",
	[PLACE_REGION] = "region not allowed",
	[PLACE_SOFTWARE] = "software version not allowed",
	[PLACE_NO_PERMIT] = "permit denied",
	[PLACE_TRIED] = "tried before",
	[PLACE_LIMITED] = "rate limit",
};

const char *place_bar_name(enum place_bar bar)
{
	return bar_names[bar];
}

static void step_clear(gpointer data)
{
	struct place_step *step = data;

	g_array_unref(step->candidates);
}

struct place_report *place_report_create(GRand *rand)
{
	struct place_report *report = g_new0(struct place_report, 1);

	report->rand = g_rand_copy(rand);
	report->steps = g_array_new(FALSE, TRUE, sizeof(struct place_step));
	g_array_set_clear_func(report->steps, step_clear);
	return report;
}

void place_report_destroy(struct place_report *report)
{
	g_rand_free(report->rand);
	g_array_unref(report->steps);
	g_free(report);
}

static struct place_step *last_step(struct place_report *report)
{
	return &g_array_index(report->steps, struct place_step,
			      report->steps->len - 1);
}

void place_report_begin(struct place_report *report, enum backend_stage stage)
{
	struct place_step step = {.stage = stage};

	if (!report)
		return;
	step.candidates =
		g_array_new(FALSE, TRUE, sizeof(struct place_candidate));
	g_array_append_val(report->steps, step);
}

void place_report_add(struct place_report *report,
		      const struct place_candidate *candidate)
{
	if (report)
		g_array_append_val(last_step(report)->candidates, *candidate);
}

void place_report_chosen(struct place_report *report,
			 const struct backend *chosen)
{
	if (report)
		last_step(report)->chosen = chosen;
}
