#include <string.h>

#include "load/report.h"

/* Rows of the table for each class: a number, or a quantile of a field. */
static const struct {
	const char *title;
	const char *field;
	const char *quantile;
} figures[] = {
	{"sent", "sent", NULL},
	{"whole", "whole", NULL},
	{"refused", "refused", NULL},
	{"broken", "broken", NULL},
	{"goodput %", "goodput_percent", NULL},
	{"first token p50 ms", "first_token_ms", "p50"},
	{"first token p99 ms", "first_token_ms", "p99"},
	{"between tokens p50 ms", "between_tokens_ms", "p50"},
	{"between tokens p99 ms", "between_tokens_ms", "p99"},
	{"total p50 ms", "total_ms", "p50"},
	{"total p99 ms", "total_ms", "p99"},
};

static const json_t *class_find(const json_t *report, const char *name)
{
	const json_t *classes = json_object_get(report, "classes");
	size_t at;
	json_t *class;

	json_array_foreach (classes, at, class) {
		const char *other =
			json_string_value(json_object_get(class, "name"));

		if (other != NULL && strcmp(other, name) == 0)
			return class;
	}
	return NULL;
}

static const json_t *figure_get(const json_t *class, size_t i)
{
	const json_t *value = json_object_get(class, figures[i].field);

	if (figures[i].quantile != NULL)
		value = json_object_get(value, figures[i].quantile);
	return json_is_number(value) ? value : NULL;
}

static void cell_print(const json_t *value, GString *out)
{
	if (value == NULL)
		g_string_append_printf(out, " %12s", "-");
	else
		g_string_append_printf(out, " %12.2f",
				       json_number_value(value));
}

static void row_print(const char *class, const char *title, const json_t *a,
		      const json_t *b, GString *out)
{
	g_string_append_printf(out, "%-12s %-22s", class, title);
	cell_print(a, out);
	cell_print(b, out);
	if (a != NULL && b != NULL)
		g_string_append_printf(out, " %+12.2f",
				       json_number_value(b) -
					       json_number_value(a));
	g_string_append_c(out, '\n');
}

static void class_print(const json_t *a, const json_t *b, const char *name,
			GString *out)
{
	const json_t *before = class_find(a, name);
	const json_t *after = class_find(b, name);

	for (size_t i = 0; i < G_N_ELEMENTS(figures); i++)
		row_print(name, figures[i].title, figure_get(before, i),
			  figure_get(after, i), out);
}

static void classes_print(const json_t *from, const json_t *exclude,
			  const json_t *a, const json_t *b, GString *out)
{
	size_t at;
	json_t *class;

	json_array_foreach (json_object_get(from, "classes"), at, class) {
		const char *name =
			json_string_value(json_object_get(class, "name"));

		if (name != NULL && class_find(exclude, name) == NULL)
			class_print(a, b, name, out);
	}
}

void report_compare(const json_t *a, const json_t *b, GString *out)
{
	const json_t *before = json_object_get(a, "prefill");
	const json_t *after = json_object_get(b, "prefill");
	const char *left = json_string_value(json_object_get(a, "label"));
	const char *right = json_string_value(json_object_get(b, "label"));

	g_string_append_printf(out, "%-12s %-22s %12.12s %12.12s %12s\n",
			       "class", "figure", left ? left : "before",
			       right ? right : "after", "difference");
	classes_print(a, NULL, a, b, out);
	classes_print(b, a, a, b, out);
	row_print("all", "prefill tokens", json_object_get(before, "tokens"),
		  json_object_get(after, "tokens"), out);
	row_print("all", "wasted prefill %",
		  json_object_get(before, "wasted_percent"),
		  json_object_get(after, "wasted_percent"), out);
}
