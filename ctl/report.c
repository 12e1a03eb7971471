#include "ctl/report.h"

#include <glib.h>
#include <string.h>

#include "ctl/admin.h"

static const char *const class_counts[] = {
	"requests",
	"completed",
	"within_targets",
	"output_tokens",
};

static const char *const prefill_counts[] = {
	"asked_tokens",
	"computed_tokens",
	"cached_tokens",
	"wasted_tokens",
};

static const char *const latencies[] = {
	"first_token_ms",
	"between_tokens_ms",
	"complete_ms",
};

json_t *report_class(const json_t *report, const char *service,
		     const char *class)
{
	json_t *row;
	size_t i;

	json_array_foreach (json_object_get(report, "classes"), i, row) {
		if (strcmp(object_text(row, "service"), service) == 0 &&
		    strcmp(object_text(row, "class"), class) == 0)
			return row;
	}
	return NULL;
}

static void count_add(json_t *into, const json_t *from, const char *name,
		      int sign)
{
	json_int_t sum =
		object_number(into, name) + sign * object_number(from, name);

	json_object_set_new(into, name, json_integer(sum));
}

static void share_set(json_t *object, const char *name, const char *part,
		      const char *whole)
{
	json_int_t all = object_number(object, whole);
	double share = 0;

	if (all > 0)
		share = (double)object_number(object, part) / (double)all;
	json_object_set_new(object, name, json_real(share));
}

static void results_add(json_t *into, const json_t *from, int sign)
{
	json_t *sums = json_object_get(into, "results");
	json_t *counts = json_object_get(from, "results");
	const char *label;
	json_t *count;

	json_object_foreach (counts, label, count)
		count_add(sums, counts, label, sign);
}

static void prefill_add(json_t *into, const json_t *from, int sign)
{
	json_t *sums = json_object_get(into, "prefill");
	const json_t *counts = json_object_get(from, "prefill");

	for (size_t i = 0; i < G_N_ELEMENTS(prefill_counts); i++)
		count_add(sums, counts, prefill_counts[i], sign);
	share_set(sums, "wasted_share", "wasted_tokens", "computed_tokens");
}

static void class_add(json_t *into, const json_t *from, int sign)
{
	for (size_t i = 0; i < G_N_ELEMENTS(class_counts); i++)
		count_add(into, from, class_counts[i], sign);
	results_add(into, from, sign);
	share_set(into, "goodput", "within_targets", "requests");
}

static void latency_merge(json_t *into, const json_t *from, const char *name)
{
	json_t *worst = json_object_get(into, name);
	json_t *other = json_object_get(from, name);
	const char *quantile;
	json_t *value;

	json_object_foreach (other, quantile, value) {
		const json_t *known = json_object_get(worst, quantile);

		if (strcmp(quantile, "count") == 0)
			count_add(worst, other, quantile, 1);
		else if (json_number_value(value) > json_number_value(known))
			json_object_set(worst, quantile, value);
	}
}

static void report_merge(json_t *into, const json_t *from)
{
	json_t *row;
	size_t i;

	json_array_foreach (json_object_get(from, "classes"), i, row) {
		json_t *known = report_class(into, object_text(row, "service"),
					     object_text(row, "class"));

		if (!known) {
			json_array_append(json_object_get(into, "classes"),
					  row);
			continue;
		}
		class_add(known, row, 1);
		for (size_t j = 0; j < G_N_ELEMENTS(latencies); j++)
			latency_merge(known, row, latencies[j]);
	}
	prefill_add(into, from, 1);
}

static bool report_valid(const json_t *report, const char *name,
			 struct error *err)
{
	if (json_is_array(json_object_get(report, "classes")) &&
	    json_is_object(json_object_get(report, "prefill")))
		return true;
	return error_set(err, RESULT_IO, "%s: not a report of measures", name);
}

static json_t *instance_json(const json_t *report)
{
	return json_pack("{s:s, s:I}", "name", object_text(report, "instance"),
			 "since_us", object_number(report, "since_us"));
}

json_t *report_fetch(struct ctl *ctl, const char *addresses, struct error *err)
{
	g_auto(GStrv) list = g_strsplit(addresses, ",", 0);
	json_t *instances = json_array();
	json_t *sum = NULL;

	for (char **address = list; *address; address++) {
		json_t *report = admin_get(ctl, *address, "/measures", err);

		if (!report || !report_valid(report, *address, err)) {
			json_decref(report);
			json_decref(sum);
			json_decref(instances);
			return NULL;
		}
		json_array_append_new(instances, instance_json(report));
		if (!sum) {
			sum = report;
			continue;
		}
		report_merge(sum, report);
		json_decref(report);
	}
	json_object_set_new(sum, "instances", instances);
	json_object_del(sum, "instance");
	return sum;
}

json_t *report_load(const char *file, struct error *err)
{
	json_error_t cause;
	json_t *report = json_load_file(file, 0, &cause);

	if (!report) {
		error_set(err, RESULT_IO, "%s: %s", file, cause.text);
		return NULL;
	}
	if (report_valid(report, file, err))
		return report;
	json_decref(report);
	return NULL;
}

bool report_save(const json_t *report, const char *file, struct error *err)
{
	if (json_dump_file(report, file, JSON_INDENT(2)) == 0)
		return true;
	return error_set(err, RESULT_IO, "%s: cannot be written", file);
}

/* Whether no instance was restarted in between, which resets its counts. */
static bool same_incarnations(const json_t *before, const json_t *after)
{
	return json_equal(json_object_get(before, "instances"),
			  json_object_get(after, "instances"));
}

json_t *report_window(const json_t *before, const json_t *after,
		      struct error *err)
{
	json_t *window;
	json_t *row;
	size_t i;

	if (!same_incarnations(before, after)) {
		error_set(err, RESULT_IO,
			  "an instance was started anew within the window");
		return NULL;
	}
	window = json_deep_copy(after);
	json_array_foreach (json_object_get(window, "classes"), i, row) {
		const json_t *old =
			report_class(before, object_text(row, "service"),
				     object_text(row, "class"));

		class_add(row, old, -1);
		for (size_t j = 0; j < G_N_ELEMENTS(latencies); j++)
			json_object_del(row, latencies[j]);
	}
	prefill_add(window, before, -1);
	json_object_set(window, "since_us",
			json_object_get(before, "until_us"));
	return window;
}
