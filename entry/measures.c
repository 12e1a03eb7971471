/*
 * measures.c - goodput, latency and prefill totals since the process started
 */
#include "entry/measures.h"

#include <string.h>

#include <jansson.h>

#include "common/counter.h"
#include "entry/entry.h"

#define LABELS_MAX 192

/* Totals of one service and class. */
struct series {
	char *service;
	enum request_class class;
	int64_t requests;
	int64_t completed;
	int64_t within_targets;
	int64_t output_tokens;
	GHashTable *codes; /* enum result_code -> count */
	struct counter *within_targets_counter;
	struct histogram *first_token;
	struct histogram *between_tokens;
	struct histogram *total;
};

struct measures {
	struct entry *entry;
	int64_t since;
	GPtrArray *series; /* sorted by service, then class */
	struct counter *computed;
	struct counter *cached;
	struct counter *wasted;
};

static void series_free(void *data)
{
	struct series *series = data;

	g_hash_table_destroy(series->codes);
	g_free(series->service);
	g_free(series);
}

static int series_compare(const void *a, const void *b)
{
	const struct series *const *left = a;
	const struct series *const *right = b;
	int order = strcmp((*left)->service, (*right)->service);

	return order ? order : (int)(*left)->class - (int)(*right)->class;
}

static void series_label(char *labels, size_t size, const char *service,
			 enum request_class class)
{
	(void)g_snprintf(labels, size, "service=\"%s\",class=\"%s\"", service,
			 class_label(class));
}

static struct series *series_create(struct measures *measures,
				    const char *service,
				    enum request_class class)
{
	struct counter_set *set = measures->entry->counters;
	struct series *series = g_new0(struct series, 1);
	char labels[LABELS_MAX];

	series_label(labels, sizeof(labels), service, class);
	series->service = g_strdup(service);
	series->class = class;
	series->codes = g_hash_table_new(NULL, NULL);
	series->within_targets_counter =
		counter_get(set, "jt_requests_within_targets_total",
			    "Requests completed within all targets", labels);
	series->first_token = histogram_get(set, "jt_first_token_usec",
					    "Time to the first token", labels);
	series->between_tokens =
		histogram_get(set, "jt_between_tokens_usec",
			      "95th percentile in a request", labels);
	series->total = histogram_get(set, "jt_complete_usec",
				      "Time to the end of the answer", labels);
	g_ptr_array_add(measures->series, series);
	g_ptr_array_sort(measures->series, series_compare);
	return series;
}

static struct series *series_get(struct measures *measures, const char *service,
				 enum request_class class)
{
	for (guint i = 0; i < measures->series->len; i++) {
		struct series *series = measures->series->pdata[i];

		if (series->class == class &&
		    strcmp(series->service, service) == 0)
			return series;
	}
	return series_create(measures, service, class);
}

static void code_count(struct measures *measures, struct series *series,
		       enum result_code code)
{
	void *key = GINT_TO_POINTER(code);
	int count = GPOINTER_TO_INT(g_hash_table_lookup(series->codes, key));
	char labels[LABELS_MAX];

	g_hash_table_insert(series->codes, key, GINT_TO_POINTER(count + 1));
	(void)g_snprintf(labels, sizeof(labels),
			 "service=\"%s\",class=\"%s\",result=\"%s\"",
			 series->service, class_label(series->class),
			 result_label(code));
	counter_get(measures->entry->counters, "jt_requests_total",
		    "Requests ended, by result", labels)
		->value++;
}

static void latency_add(struct histogram *histogram, int64_t usec)
{
	if (usec >= 0)
		histogram_add(histogram, usec);
}

void measures_add(struct measures *measures, const struct measure *measure)
{
	const char *service = measure->service ? measure->service : "";
	struct series *series = series_get(measures, service, measure->class);

	series->requests++;
	series->output_tokens += measure->output_tokens;
	code_count(measures, series, measure->code);
	if (measure->code != RESULT_OK)
		return;
	series->completed++;
	if (measure->within_targets) {
		series->within_targets++;
		series->within_targets_counter->value++;
	}
	latency_add(series->first_token, measure->first_token_usec);
	latency_add(series->between_tokens, measure->between_tokens_usec);
	latency_add(series->total, measure->total_usec);
}

void measures_prefill(struct measures *measures, uint32_t computed,
		      uint32_t cached)
{
	measures->computed->value += computed;
	measures->cached->value += cached;
}

void measures_wasted(struct measures *measures, uint32_t tokens)
{
	measures->wasted->value += tokens;
}

static json_t *quantiles_json(const struct histogram *histogram)
{
	static const struct {
		const char *name;
		double q;
	} quantiles[] = {{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}};
	json_t *json = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		int64_t usec = histogram_quantile(histogram, quantiles[i].q);

		json_object_set_new(
			json, quantiles[i].name,
			json_real((double)usec / (double)USEC_PER_MSEC));
	}
	json_object_set_new(
		json, "count",
		json_integer((json_int_t)histogram_count(histogram)));
	return json;
}

static json_t *codes_json(const struct series *series)
{
	json_t *json = json_object();
	GHashTableIter iter;
	void *key;
	void *count;

	g_hash_table_iter_init(&iter, series->codes);
	while (g_hash_table_iter_next(&iter, &key, &count)) {
		enum result_code code = (enum result_code)GPOINTER_TO_INT(key);

		json_object_set_new(json, result_label(code),
				    json_integer(GPOINTER_TO_INT(count)));
	}
	return json;
}

static double ratio(int64_t part, int64_t whole)
{
	return whole > 0 ? (double)part / (double)whole : 0;
}

static json_t *series_json(const struct series *series)
{
	return json_pack(
		"{s:s, s:s, s:I, s:I, s:I, s:f, s:I, s:o, s:o, s:o, s:o}",
		"service", series->service, "class", class_label(series->class),
		"requests", (json_int_t)series->requests, "completed",
		(json_int_t)series->completed, "within_targets",
		(json_int_t)series->within_targets, "goodput",
		ratio(series->within_targets, series->requests),
		"output_tokens", (json_int_t)series->output_tokens, "results",
		codes_json(series), "first_token_ms",
		quantiles_json(series->first_token), "between_tokens_ms",
		quantiles_json(series->between_tokens), "complete_ms",
		quantiles_json(series->total));
}

static json_t *prefill_json(const struct measures *measures)
{
	json_int_t computed = measures->computed->value;
	json_int_t cached = measures->cached->value;
	json_int_t wasted = measures->wasted->value;

	return json_pack("{s:I, s:I, s:I, s:I, s:f}", "asked_tokens",
			 computed + cached, "computed_tokens", computed,
			 "cached_tokens", cached, "wasted_tokens", wasted,
			 "wasted_share", ratio(wasted, computed));
}

void measures_print(const struct measures *measures, GString *out)
{
	const struct entry *entry = measures->entry;
	json_t *list = json_array();

	for (guint i = 0; i < measures->series->len; i++)
		json_array_append_new(list,
				      series_json(measures->series->pdata[i]));
	json_t *json = json_pack(
		"{s:s, s:I, s:I, s:I, s:s, s:o, s:o}", "instance",
		entry->settings.name, "since_us", (json_int_t)measures->since,
		"until_us", (json_int_t)clock_unix(entry->clock), "revision",
		(json_int_t)entry->revision, "policy",
		entry->config ? entry->config->policy.name : "", "classes",
		list, "prefill", prefill_json(measures));
	char *text = json_dumps(json, JSON_SORT_KEYS | JSON_INDENT(2));

	g_string_append(out, text ? text : "{}");
	g_string_append_c(out, '\n');
	free(text);
	json_decref(json);
}

struct measures *measures_create(struct entry *entry)
{
	struct measures *measures = g_new0(struct measures, 1);
	struct counter_set *set = entry->counters;

	measures->entry = entry;
	measures->since = clock_unix(entry->clock);
	measures->series = g_ptr_array_new_with_free_func(series_free);
	measures->computed =
		counter_get(set, "jt_prefill_tokens_total",
			    "Prompt tokens prefilled", "kind=\"computed\"");
	measures->cached =
		counter_get(set, "jt_prefill_tokens_total",
			    "Prompt tokens prefilled", "kind=\"cached\"");
	measures->wasted = counter_get(set, "jt_prefill_wasted_tokens_total",
				       "Prompt tokens computed in vain", NULL);
	return measures;
}

void measures_destroy(struct measures *measures)
{
	if (!measures)
		return;
	g_ptr_array_free(measures->series, TRUE);
	g_free(measures);
}
