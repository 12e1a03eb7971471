#include <glib.h>

#include "ctl/admin.h"
#include "ctl/print.h"
#include "ctl/report.h"

/* One row of the table: its label, and the field of a report's object that
 * holds the value. */
struct figure {
	const char *label;
	const char *field;
	const char *subfield; /* field within the field's object, or NULL */
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

	if (!figure->subfield)
		return value;
	/* Quantiles of zero samples have no meaning. */
	if (json_is_object(value) && json_object_get(value, "count") &&
	    object_number(value, "count") == 0)
		return NULL;
	return json_object_get(value, figure->subfield);
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
		       const json_t *after, bool compare)
{
	const json_t *old = figure_find(before, figure);
	const json_t *new = figure_find(after, figure);
	g_autofree char *first = figure_text(old, figure);
	g_autofree char *second = figure_text(new, figure);
	g_autofree char *change = change_text(old, new, figure);

	if (!old && !new)
		return;
	if (compare)
		columns_add(columns, group, figure->label, first, second,
			    change);
	else
		columns_add(columns, group, figure->label, first);
}

static void site_row_add(struct columns *columns, const char *label,
			 const char *before, const char *after, bool compare)
{
	if (compare)
		columns_add(columns, "site", label, before, after, "");
	else
		columns_add(columns, "site", label, before);
}

static char *period(const json_t *report)
{
	double usec = (double)(object_number(report, "until_us") -
			       object_number(report, "since_us"));

	return g_strdup_printf("%.1f s", usec / G_USEC_PER_SEC);
}

static char *revision(const json_t *report)
{
	return g_strdup_printf("%" JSON_INTEGER_FORMAT,
			       object_number(report, "revision"));
}

static void site_rows_add(struct columns *columns, const json_t *before,
			  const json_t *after, bool compare)
{
	g_autofree char *first = period(before);
	g_autofree char *second = period(after);
	g_autofree char *first_revision = revision(before);
	g_autofree char *second_revision = revision(after);

	site_row_add(columns, "policy", object_text(before, "policy"),
		     object_text(after, "policy"), compare);
	site_row_add(columns, "revision", first_revision, second_revision,
		     compare);
	site_row_add(columns, "period", first, second, compare);
}

/* Adds the refusals and failures of one class, by result. */
static void results_add(struct columns *columns, const char *group,
			const json_t *before, const json_t *after, bool compare)
{
	json_t *labels = json_object();
	const char *label;
	json_t *count;

	json_object_update(labels, json_object_get(before, "results"));
	json_object_update(labels, json_object_get(after, "results"));
	json_object_foreach (labels, label, count) {
		g_autofree char *text = g_strdup_printf("result %s", label);
		struct figure figure = {text, "results", label, false};

		figure_add(columns, group, &figure, before, after, compare);
	}
	json_decref(labels);
}

static void class_add(struct columns *columns, const json_t *row,
		      const json_t *before, const json_t *after, bool compare)
{
	g_autofree char *group =
		g_strdup_printf("%s %s", object_text(row, "service"),
				object_text(row, "class"));

	for (size_t i = 0; i < G_N_ELEMENTS(class_figures); i++)
		figure_add(columns, group, &class_figures[i], before, after,
			   compare);
	results_add(columns, group, before, after, compare);
}

static void classes_add(struct columns *columns, const json_t *before,
			const json_t *after, bool compare)
{
	json_t *row;
	size_t i;

	json_array_foreach (json_object_get(before, "classes"), i, row)
		class_add(columns, row, row,
			  report_class(after, object_text(row, "service"),
				       object_text(row, "class")),
			  compare);
	json_array_foreach (json_object_get(after, "classes"), i, row) {
		if (!report_class(before, object_text(row, "service"),
				  object_text(row, "class")))
			class_add(columns, row, NULL, row, compare);
	}
}

void report_print(FILE *out, const json_t *before, const json_t *after)
{
	bool compare = after != NULL;
	struct columns *columns = columns_create(compare ? 5 : 3);

	if (compare)
		columns_add(columns, "OF", "MEASURE", "BEFORE", "AFTER",
			    "CHANGE");
	else
		columns_add(columns, "OF", "MEASURE", "VALUE");
	site_rows_add(columns, before, after, compare);
	classes_add(columns, before, after, compare);
	for (size_t i = 0; i < G_N_ELEMENTS(prefill_figures); i++)
		figure_add(columns, "prefill", &prefill_figures[i],
			   json_object_get(before, "prefill"),
			   json_object_get(after, "prefill"), compare);
	columns_print(columns, out);
}
