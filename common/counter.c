#include "common/counter.h"

#include <inttypes.h>
#include <string.h>

#include "histogram.h"

#define OVERFLOW_LABELS "overflow=\"true\""

enum series_kind {
	SERIES_COUNTER,
	SERIES_GAUGE,
	SERIES_HISTOGRAM,
};

static const char *const kind_names[] = {"counter", "gauge", "histogram"};

struct series {
	enum series_kind kind;
	char *name;
	char *help;
	char *labels;
	struct counter counter;
	struct histogram *histogram;
};

struct counter_set {
	GHashTable *series; /* "kind name{labels}" to struct series */
};

static void series_free(void *data)
{
	struct series *series = data;

	g_free(series->name);
	g_free(series->help);
	g_free(series->labels);
	g_free(series->histogram);
	g_free(series);
}

static char *series_key(enum series_kind kind, const char *name,
			const char *labels)
{
	return g_strdup_printf("%d %s{%s}", (int)kind, name, labels);
}

struct counter_set *counter_set_create(void)
{
	struct counter_set *set = g_new0(struct counter_set, 1);

	set->series = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    series_free);
	return set;
}

void counter_set_destroy(struct counter_set *set)
{
	if (!set)
		return;
	g_hash_table_destroy(set->series);
	g_free(set);
}

static struct series *series_add(struct counter_set *set, char *key,
				 enum series_kind kind, const char *name,
				 const char *help, const char *labels)
{
	struct series *series = g_new0(struct series, 1);

	series->kind = kind;
	series->name = g_strdup(name);
	series->help = g_strdup(help ? help : "");
	series->labels = g_strdup(labels);
	if (kind == SERIES_HISTOGRAM)
		series->histogram = g_new0(struct histogram, 1);
	g_hash_table_insert(set->series, key, series);
	return series;
}

/* Overflow series are not counted against COUNTER_SERIES_MAX: there is one per
 * name, and names are constants of the code; only labels may come from outside.
 */
static struct series *series_get(struct counter_set *set, enum series_kind kind,
				 const char *name, const char *help,
				 const char *labels)
{
	struct series *series;
	char *key;

	if (!labels)
		labels = "";
	key = series_key(kind, name, labels);
	series = g_hash_table_lookup(set->series, key);
	if (series) {
		g_free(key);
		return series;
	}
	if (g_hash_table_size(set->series) >= COUNTER_SERIES_MAX &&
	    strcmp(labels, OVERFLOW_LABELS) != 0) {
		g_free(key);
		return series_get(set, kind, name, help, OVERFLOW_LABELS);
	}
	return series_add(set, key, kind, name, help, labels);
}

struct counter *counter_get(struct counter_set *set, const char *name,
			    const char *help, const char *labels)
{
	return &series_get(set, SERIES_COUNTER, name, help, labels)->counter;
}

struct counter *gauge_get(struct counter_set *set, const char *name,
			  const char *help, const char *labels)
{
	return &series_get(set, SERIES_GAUGE, name, help, labels)->counter;
}

struct histogram *histogram_get(struct counter_set *set, const char *name,
				const char *help, const char *labels)
{
	return series_get(set, SERIES_HISTOGRAM, name, help, labels)->histogram;
}

static int series_compare(const void *a, const void *b)
{
	const struct series *x = *(const struct series *const *)a;
	const struct series *y = *(const struct series *const *)b;
	int order = strcmp(x->name, y->name);

	if (!order)
		order = (int)x->kind - (int)y->kind;
	return order ? order : strcmp(x->labels, y->labels);
}

static void print_bucket(const struct series *series, const char *bound,
			 uint64_t count, GString *out)
{
	g_string_append_printf(out, "%s_bucket{%s%sle=\"%s\"} %" PRIu64 "\n",
			       series->name, series->labels,
			       *series->labels ? "," : "", bound, count);
}

static void print_total(const struct series *series, const char *suffix,
			int64_t value, GString *out)
{
	const char *open = *series->labels ? "{" : "";
	const char *close = *series->labels ? "}" : "";

	g_string_append_printf(out, "%s%s%s%s%s %" PRId64 "\n", series->name,
			       suffix, open, series->labels, close, value);
}

/* Prints only the bounds that are powers of two: a scraper needs no finer
 * resolution, and each line has a cost. */
static void print_histogram(const struct series *series, GString *out)
{
	const struct histogram *histogram = series->histogram;
	uint64_t seen = 0;
	char bound[32];

	for (size_t i = 0; i < HISTOGRAM_BOUNDS; i++) {
		seen += histogram->buckets[i];
		if (i % HISTOGRAM_STEPS)
			continue;
		g_snprintf(bound, sizeof(bound), "%" PRId64,
			   histogram_bound(i));
		print_bucket(series, bound, seen, out);
	}
	print_bucket(series, "+Inf", histogram->count, out);
	print_total(series, "_sum", histogram->sum, out);
	print_total(series, "_count", (int64_t)histogram->count, out);
}

static void print_series(const struct series *series, GString *out)
{
	if (series->kind == SERIES_HISTOGRAM)
		print_histogram(series, out);
	else
		print_total(series, "", series->counter.value, out);
}

static void print_family(const struct series *series, GString *out)
{
	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
			       series->name, series->help, series->name,
			       kind_names[series->kind]);
}

void counter_set_print(const struct counter_set *set, GString *out)
{
	GPtrArray *sorted = g_ptr_array_new();
	const struct series *last = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, set->series);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(sorted, value);
	g_ptr_array_sort(sorted, series_compare);
	for (size_t i = 0; i < sorted->len; i++) {
		const struct series *series = sorted->pdata[i];

		if (!last || strcmp(last->name, series->name) != 0 ||
		    last->kind != series->kind)
			print_family(series, out);
		print_series(series, out);
		last = series;
	}
	g_ptr_array_free(sorted, TRUE);
}
