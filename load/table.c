/*
 * Prints medians over repeated runs as a Markdown table, to be pasted into a
 * page. Reports with the same label and rate are runs of one setting that
 * differ in their seed.
 */
#include <stdlib.h>
#include <string.h>

#include "load/report.h"

struct column {
	const char *title;
	const char *class; /* NULL: a value of the whole run */
	const char *field;
	const char *quantile;
};

static const struct column columns[] = {
	{"goodput urgent %", "urgent", "goodput_percent", NULL},
	{"goodput deferrable %", "deferrable", "goodput_percent", NULL},
	{"urgent first token p50 ms", "urgent", "first_token_ms", "p50"},
	{"urgent first token p99 ms", "urgent", "first_token_ms", "p99"},
	{"urgent between tokens p99 ms", "urgent", "between_tokens_ms", "p99"},
	{"deferrable total p50 s", "deferrable", "total_ms", "p50"},
	{"wasted prefill %", NULL, "wasted_percent", NULL},
	{"refused", NULL, "refused", NULL},
	{"lost", NULL, "lost", NULL},
	{"checks broken", NULL, "broken", NULL},
};

struct setting {
	const char *label;
	double rate;
	GPtrArray *reports;
};

static const json_t *class_find(const json_t *report, const char *name)
{
	size_t at;
	json_t *class;

	json_array_foreach (json_object_get(report, "classes"), at, class) {
		const char *other =
			json_string_value(json_object_get(class, "name"));

		if (other != NULL && strcmp(other, name) == 0)
			return class;
	}
	return NULL;
}

static double classes_sum(const json_t *report, const char *field)
{
	double sum = 0;
	size_t at;
	json_t *class;

	json_array_foreach (json_object_get(report, "classes"), at, class)
		sum += json_number_value(json_object_get(class, field));
	return sum;
}

static double checks_broken(const json_t *report)
{
	double broken = 0;
	size_t at;
	json_t *check;

	json_array_foreach (json_object_get(report, "checks"), at, check)
		if (!json_is_true(json_object_get(check, "ok")))
			broken++;
	return broken;
}

/* Returns a value of the whole run. */
static double run_value(const json_t *report, const char *field)
{
	if (strcmp(field, "wasted_percent") == 0)
		return json_number_value(json_object_get(
			json_object_get(report, "prefill"), field));
	if (strcmp(field, "lost") == 0)
		return classes_sum(report, "broken") +
		       classes_sum(report, "unanswered");
	if (strcmp(field, "broken") == 0)
		return checks_broken(report);
	return classes_sum(report, field);
}

/* Returns false if the report does not contain the value. */
static bool column_value(const struct column *column, const json_t *report,
			 double *value)
{
	const json_t *figure;

	if (column->class == NULL) {
		*value = run_value(report, column->field);
		return true;
	}
	figure = json_object_get(class_find(report, column->class),
				 column->field);
	if (column->quantile != NULL)
		figure = json_object_get(figure, column->quantile);
	*value = json_number_value(figure);
	return json_is_number(figure);
}

static int value_compare(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double value_median(const GArray *values)
{
	guint middle = values->len / 2;
	double upper = g_array_index(values, double, middle);

	if (values->len % 2 == 1)
		return upper;
	return (g_array_index(values, double, middle - 1) + upper) / 2;
}

/* Prints the median, and the range if there are several runs. */
static void cell_print(const struct column *column, const GPtrArray *reports,
		       GString *out)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	double scale = strstr(column->title, " s") &&
				       strcmp(column->field, "total_ms") == 0
			       ? 1000
			       : 1;
	double value;

	for (guint i = 0; i < reports->len; i++)
		if (column_value(column, reports->pdata[i], &value)) {
			value /= scale;
			g_array_append_val(values, value);
		}
	g_array_sort(values, value_compare);
	if (values->len == 0) {
		g_string_append(out, " - |");
	} else {
		g_string_append_printf(out, " %.2f", value_median(values));
		if (values->len > 1)
			g_string_append_printf(
				out, " (%.2f–%.2f)",
				g_array_index(values, double, 0),
				g_array_index(values, double, values->len - 1));
		g_string_append(out, " |");
	}
	g_array_free(values, TRUE);
}

static struct setting *setting_get(GPtrArray *settings, const json_t *report)
{
	const char *label = json_string_value(json_object_get(report, "label"));
	double rate = json_number_value(json_object_get(report, "rate"));
	struct setting *setting;

	label = label != NULL ? label : "";
	for (guint i = 0; i < settings->len; i++) {
		setting = settings->pdata[i];
		if (setting->rate == rate && strcmp(setting->label, label) == 0)
			return setting;
	}
	setting = g_new0(struct setting, 1);
	setting->label = label;
	setting->rate = rate;
	setting->reports = g_ptr_array_new();
	g_ptr_array_add(settings, setting);
	return setting;
}

static void setting_free(gpointer data)
{
	struct setting *setting = data;

	g_ptr_array_unref(setting->reports);
	g_free(setting);
}

static int setting_compare(gconstpointer a, gconstpointer b)
{
	const struct setting *x = *(const struct setting *const *)a;
	const struct setting *y = *(const struct setting *const *)b;

	if (x->rate != y->rate)
		return x->rate < y->rate ? -1 : 1;
	return strcmp(x->label, y->label);
}

static void header_print(GString *out)
{
	g_string_append(out, "| calls/s | policy | runs |");
	for (size_t i = 0; i < G_N_ELEMENTS(columns); i++)
		g_string_append_printf(out, " %s |", columns[i].title);
	g_string_append(out, "\n|---|---|---|");
	for (size_t i = 0; i < G_N_ELEMENTS(columns); i++)
		g_string_append(out, "---|");
	g_string_append_c(out, '\n');
}

void report_table(json_t *const *reports, size_t count, GString *out)
{
	GPtrArray *settings = g_ptr_array_new_with_free_func(setting_free);

	for (size_t i = 0; i < count; i++)
		g_ptr_array_add(setting_get(settings, reports[i])->reports,
				reports[i]);
	g_ptr_array_sort(settings, setting_compare);
	header_print(out);
	for (guint i = 0; i < settings->len; i++) {
		const struct setting *setting = settings->pdata[i];

		g_string_append_printf(out, "| %.1f | %s | %u |", setting->rate,
				       setting->label, setting->reports->len);
		for (size_t k = 0; k < G_N_ELEMENTS(columns); k++)
			cell_print(&columns[k], setting->reports, out);
		g_string_append_c(out, '\n');
	}
	g_ptr_array_unref(settings);
}
