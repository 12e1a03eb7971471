#include <glib.h>

#include "ctl/admin.h"
#include "ctl/print.h"
#include "ctl/report.h"

/* One row of the table: where in a report's object its value is found. */
struct figure {
	const char *label;
	const char *field;
	const char *below; /* field within the field's object, or NULL */
	bool is_share;
};

static const struct figure class_figures[] = {
	{"requests", "requests", NULL, false},
	{"goodput", "goodput", NULL, true},
	{"completed", "completed", NULL, false},
	{"within targets", "within_targets", NULL, false},
	{"output tokens", "output_tokens", NULL, false},
	{"first token ms, median", "first_token_ms", "p50", false},
	{"first token ms, 95 in 100", "first_token_ms", "p95", false},
	{"between tokens ms, 95 in 100", "between_tokens_ms", "p95", false},
	{"complete ms, median", "complete_ms", "p50", false},
	{"complete ms, 95 in 100", "complete_ms", "p95", false},
	{"complete ms, 99 in 100", "complete_ms", "p99", false},
};

static const struct figure prefill_figures[] = {
	{"tokens asked for", "asked_tokens", NULL, false},
	{"tokens computed", "computed_tokens", NULL, false},
	{"tokens from cache", "cached_tokens", NULL, false},
	{"tokens wasted", "wasted_tokens", NULL, false},
	{"wasted share", "wasted_share", NULL, true},
};

static const json_t *figure_find(const json_t *object,
				 const struct figure *figure)
{
	const json_t *value = json_object_get(object, figure->field);

	if (!figure->below)
		return value;
	/* Quantiles of zero samples have no meaning. */
	if (json_is_object(value) && json_object_get(value, "count") &&
	    answer_number(value, "count") == 0)
		return NULL;
	return json_object_get(value, figure->below);
}

static char *figure_text(const json_t *value, const struct figure *figure)
{
	if (!json_is_number(value))
		return g_strdup("-");
	if (figure->is_share)
		return g_strdup_printf("%.2f%%",
				       json_number_value(value) * 100);
	if (json_is_integer(value))
		return g_strdup_printf("%" JSON_INTEGER_FORMAT,
				       json_integer_value(value));
	return g_strdup_printf("%.1f", json_number_value(value));
}

static char *change_text(const json_t *before, const json_t *after,
			 const struct figure *figure)
{
	double change = json_number_value(after) - json_number_value(before);

	if (!json_is_number(before) || !json_is_number(after))
		return g_strdup("-");
	if (figure->is_share)
		return g_strdup_printf("%+.2f points", change * 100);
	if (json_is_integer(after))
		return g_strdup_printf("%+.0f", change);
	return g_strdup_printf("%+.1f", change);
}

static void figure_add(struct columns *columns, const char *group,
		       const struct figure *figure, const json_t *before,
		       const json_t *after, bool two)
{
	const json_t *old = figure_find(before, figure);
	const json_t *new = figure_find(after, figure);
	g_autofree char *first = figure_text(old, figure);
	g_autofree char *second = figure_text(new, figure);
	g_autofree char *change = change_text(old, new, figure);

	if (!old && !new)
		return;
	if (two)
		columns_add(columns, group, figure->label, first, second,
			    change);
	else
		columns_add(columns, group, figure->label, first);
}

static void text_add(struct columns *columns, const char *label,
		     const char *before, const char *after, bool two)
{
	if (two)
		columns_add(columns, "site", label, before, after, "");
	else
		columns_add(columns, "site", label, before);
}

static char *period(const json_t *report)
{
	double usec = (double)(answer_number(report, "until_us") -
			       answer_number(report, "since_us"));

	return g_strdup_printf("%.1f s", usec / G_USEC_PER_SEC);
}

static char *revision(const json_t *report)
{
	return g_strdup_printf("%" JSON_INTEGER_FORMAT,
			       answer_number(report, "revision"));
}

static void head_add(struct columns *columns, const json_t *before,
		     const json_t *after, bool two)
{
	g_autofree char *first = period(before);
	g_autofree char *second = period(after);
	g_autofree char *first_revision = revision(before);
	g_autofree char *second_revision = revision(after);

	text_add(columns, "policy", answer_text(before, "policy"),
		 answer_text(after, "policy"), two);
	text_add(columns, "revision", first_revision, second_revision, two);
	text_add(columns, "period", first, second, two);
}

/* Adds the refusals and failures of one class, by result. */
static void results_add(struct columns *columns, const char *group,
			const json_t *before, const json_t *after, bool two)
{
	json_t *labels = json_object();
	const char *label;
	json_t *count;

	json_object_update(labels, json_object_get(before, "results"));
	json_object_update(labels, json_object_get(after, "results"));
	json_object_foreach (labels, label, count) {
		g_autofree char *text = g_strdup_printf("result %s", label);
		struct figure figure = {text, "results", label, false};

		figure_add(columns, group, &figure, before, after, two);
	}
	json_decref(labels);
}

static void class_add(struct columns *columns, const json_t *row,
		      const json_t *before, const json_t *after, bool two)
{
	g_autofree char *group =
		g_strdup_printf("%s %s", answer_text(row, "service"),
				answer_text(row, "class"));

	for (size_t i = 0; i < G_N_ELEMENTS(class_figures); i++)
		figure_add(columns, group, &class_figures[i], before, after,
			   two);
	results_add(columns, group, before, after, two);
}

static void classes_add(struct columns *columns, const json_t *before,
			const json_t *after, bool two)
{
	json_t *row;
	size_t i;

	json_array_foreach (json_object_get(before, "classes"), i, row)
		class_add(columns, row, row,
			  report_class(after, answer_text(row, "service"),
				       answer_text(row, "class")),
			  two);
	json_array_foreach (json_object_get(after, "classes"), i, row) {
		if (!report_class(before, answer_text(row, "service"),
				  answer_text(row, "class")))
			class_add(columns, row, NULL, row, two);
	}
}

void report_print(FILE *out, const json_t *before, const json_t *after)
{
	bool two = after != NULL;
	struct columns *columns = columns_create(two ? 5 : 3);

	if (two)
		columns_add(columns, "OF", "MEASURE", "BEFORE", "AFTER",
			    "CHANGE");
	else
		columns_add(columns, "OF", "MEASURE", "VALUE");
	head_add(columns, before, after, two);
	classes_add(columns, before, after, two);
	for (size_t i = 0; i < G_N_ELEMENTS(prefill_figures); i++)
		figure_add(columns, "prefill", &prefill_figures[i],
			   json_object_get(before, "prefill"),
			   json_object_get(after, "prefill"), two);
	columns_print(columns, out);
}
