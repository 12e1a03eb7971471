#include <math.h>
#include <stdint.h>
#include <string.h>

#include "load/report.h"

#define PANEL_WIDTH 420
#define PANEL_HEIGHT 220
#define MARGIN 50
#define COLUMNS 2
#define LEGEND_LINE 16

static const char *const colours[] = {"#4477aa", "#ee6677", "#228833",
				      "#ccbb44", "#66ccee", "#aa3377",
				      "#bbbbbb", "#000000"};

struct point {
	const char *label;
	double rate;
	double value;
	size_t series;
};

struct panel {
	const char *class; /* NULL: a value of the whole run */
	const char *title;
	const char *field;
	const char *quantile;
};

struct plot {
	json_t *const *reports;
	size_t count;
	GPtrArray *labels; /* one for each series */
	bool lines;	   /* draw lines over the rate, not bars */
	double rate_max;
};

static const char *report_label(const json_t *report)
{
	const char *label = json_string_value(json_object_get(report, "label"));

	return label != NULL ? label : "";
}

static double report_rate(const json_t *report)
{
	return json_number_value(json_object_get(report, "rate"));
}

static size_t series_index(const struct plot *plot, const char *label)
{
	guint at = 0;

	g_ptr_array_find_with_equal_func(plot->labels, label, g_str_equal, &at);
	return at;
}

static void plot_scan(struct plot *plot)
{
	plot->labels = g_ptr_array_new();
	for (size_t i = 0; i < plot->count; i++) {
		const char *label = report_label(plot->reports[i]);

		plot->rate_max =
			fmax(plot->rate_max, report_rate(plot->reports[i]));
		if (g_ptr_array_find_with_equal_func(plot->labels, label,
						     g_str_equal, NULL))
			plot->lines = true;
		else
			g_ptr_array_add(plot->labels, (gpointer)label);
	}
}

static const json_t *class_find(const json_t *report, const char *name)
{
	size_t at;
	json_t *class;

	json_array_foreach (json_object_get(report, "classes"), at, class)
		if (g_strcmp0(json_string_value(json_object_get(class, "name")),
			      name) == 0)
			return class;
	return NULL;
}

static double panel_value(const struct panel *panel, const json_t *report)
{
	const json_t *from = panel->class != NULL
				     ? class_find(report, panel->class)
				     : json_object_get(report, "prefill");
	const json_t *value = json_object_get(from, panel->field);

	if (panel->quantile != NULL)
		value = json_object_get(value, panel->quantile);
	return json_number_value(value);
}

static double panel_max(const struct plot *plot, const struct panel *panel)
{
	double max_value = 0;

	for (size_t i = 0; i < plot->count; i++)
		max_value =
			fmax(max_value, panel_value(panel, plot->reports[i]));
	return max_value > 0 ? max_value : 1;
}

static void text_print(GString *out, double x, double y, const char *anchor,
		       const char *text)
{
	char *escaped = g_markup_escape_text(text, -1);

	g_string_append_printf(out,
			       "<text x=\"%.1f\" y=\"%.1f\" "
			       "text-anchor=\"%s\">%s</text>\n",
			       x, y, anchor, escaped);
	g_free(escaped);
}

static void frame_print(GString *out, double x, double y, double max_value,
			const struct panel *panel)
{
	char text[96];

	g_string_append_printf(out,
			       "<path d=\"M%.1f %.1fv%d h%d\" fill=\"none\" "
			       "stroke=\"#888\"/>\n",
			       x, y, PANEL_HEIGHT - 2 * MARGIN,
			       PANEL_WIDTH - 2 * MARGIN);
	g_snprintf(text, sizeof(text), "%s%s%s",
		   panel->class ? panel->class : "", panel->class ? ": " : "",
		   panel->title);
	text_print(out, x, y - 8, "start", text);
	g_snprintf(text, sizeof(text), "%.4g", max_value);
	text_print(out, x - 4, y + 8, "end", text);
	text_print(out, x - 4, y + PANEL_HEIGHT - 2 * MARGIN, "end", "0");
}

static void bars_print(GString *out, const struct plot *plot,
		       const struct panel *panel, double x, double y)
{
	double max_value = panel_max(plot, panel);
	double height = PANEL_HEIGHT - 2 * MARGIN;
	double step = (PANEL_WIDTH - 2.0 * MARGIN) / (double)plot->count;
	char text[32];

	for (size_t i = 0; i < plot->count; i++) {
		double value = panel_value(panel, plot->reports[i]);
		double bar_height = height * value / max_value;
		double left = x + step * ((double)i + 0.1);

		g_string_append_printf(
			out,
			"<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
			"height=\"%.1f\" fill=\"%s\"/>\n",
			left, y + height - bar_height, step * 0.8, bar_height,
			colours[i % G_N_ELEMENTS(colours)]);
		g_snprintf(text, sizeof(text), "%.4g", value);
		text_print(out, left + step * 0.4, y + height + 14, "middle",
			   text);
	}
}

static int point_compare(const void *a, const void *b)
{
	const struct point *p = a;
	const struct point *q = b;

	if (p->series != q->series)
		return p->series < q->series ? -1 : 1;
	return (p->rate > q->rate) - (p->rate < q->rate);
}

static GArray *points_make(const struct plot *plot, const struct panel *panel)
{
	GArray *points = g_array_new(FALSE, FALSE, sizeof(struct point));

	for (size_t i = 0; i < plot->count; i++) {
		struct point point = {
			.label = report_label(plot->reports[i]),
			.rate = report_rate(plot->reports[i]),
			.value = panel_value(panel, plot->reports[i]),
		};

		point.series = series_index(plot, point.label);
		g_array_append_val(points, point);
	}
	g_array_sort(points, point_compare);
	return points;
}

static void lines_print(GString *out, const struct plot *plot,
			const struct panel *panel, double x, double y)
{
	GArray *points = points_make(plot, panel);
	double max_value = panel_max(plot, panel);
	double height = PANEL_HEIGHT - 2 * MARGIN;
	double width = PANEL_WIDTH - 2 * MARGIN;
	size_t series = SIZE_MAX;
	char text[32];

	for (guint i = 0; i < points->len; i++) {
		struct point *p = &g_array_index(points, struct point, i);
		double at = x + width * p->rate / fmax(plot->rate_max, 1e-9);
		double point_y = y + height * (1 - p->value / max_value);

		if (p->series != series)
			g_string_append_printf(
				out,
				"%s<polyline fill=\"none\" stroke=\"%s\" "
				"points=\"",
				series == SIZE_MAX ? "" : "\"/>\n",
				colours[p->series % G_N_ELEMENTS(colours)]);
		series = p->series;
		g_string_append_printf(out, "%.1f,%.1f ", at, point_y);
	}
	g_string_append(out, points->len > 0 ? "\"/>\n" : "");
	g_snprintf(text, sizeof(text), "%.4g calls/s", plot->rate_max);
	text_print(out, x + width, y + height + 14, "end", text);
	g_array_free(points, TRUE);
}

static void legend_print(GString *out, const struct plot *plot, double y)
{
	for (size_t i = 0; i < plot->labels->len; i++) {
		double at = y + (double)i * LEGEND_LINE;

		g_string_append_printf(
			out,
			"<rect x=\"%d\" y=\"%.1f\" width=\"10\" height=\"10\" "
			"fill=\"%s\"/>\n",
			MARGIN, at, colours[i % G_N_ELEMENTS(colours)]);
		text_print(out, MARGIN + 16, at + 9, "start",
			   g_ptr_array_index(plot->labels, i));
	}
}

static GArray *panels_make(const struct plot *plot)
{
	static const struct panel class_panels[] = {
		{NULL, "goodput %", "goodput_percent", NULL},
		{NULL, "first token p99 ms", "first_token_ms", "p99"},
		{NULL, "total p50 ms", "total_ms", "p50"},
		{NULL, "total p99 ms", "total_ms", "p99"},
	};
	static const struct panel wasted_panel = {NULL, "wasted prefill %",
						  "wasted_percent", NULL};
	GArray *panels = g_array_new(FALSE, FALSE, sizeof(struct panel));
	size_t at;
	json_t *class;

	json_array_foreach (json_object_get(plot->reports[0], "classes"), at,
			    class)
		for (size_t i = 0; i < G_N_ELEMENTS(class_panels); i++) {
			struct panel panel = class_panels[i];

			panel.class = json_string_value(
				json_object_get(class, "name"));
			g_array_append_val(panels, panel);
		}
	g_array_append_val(panels, wasted_panel);
	return panels;
}

void report_plot(json_t *const *reports, size_t count, GString *out)
{
	struct plot plot = {.reports = reports, .count = count};
	GArray *panels;
	guint rows;

	if (count == 0)
		return;
	plot_scan(&plot);
	panels = panels_make(&plot);
	rows = (panels->len + COLUMNS - 1) / COLUMNS;
	g_string_append_printf(
		out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%u\" font-family=\"sans-serif\" font-size=\"11\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
		COLUMNS * PANEL_WIDTH,
		rows * PANEL_HEIGHT + (plot.labels->len + 1) * LEGEND_LINE);
	for (guint i = 0; i < panels->len; i++) {
		struct panel *panel = &g_array_index(panels, struct panel, i);
		guint row = i / COLUMNS;
		double x = MARGIN + (double)(i % COLUMNS) * PANEL_WIDTH;
		double y = MARGIN + (double)row * PANEL_HEIGHT;

		frame_print(out, x, y, panel_max(&plot, panel), panel);
		if (plot.lines)
			lines_print(out, &plot, panel, x, y);
		else
			bars_print(out, &plot, panel, x, y);
	}
	legend_print(out, &plot, (double)rows * PANEL_HEIGHT);
	g_string_append(out, "</svg>\n");
	g_array_free(panels, TRUE);
	g_ptr_array_free(plot.labels, TRUE);
}
