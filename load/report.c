#include "load/report.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"

json_t *report_read(const char *file, struct error *err)
{
	json_error_t error;
	json_t *json = json_load_file(file, 0, &error);

	if (json == NULL)
		error_set(err, RESULT_IO, "%s:%d: %s", file, error.line,
			  error.text);
	else if (!json_is_array(json_object_get(json, "classes"))) {
		error_set(err, RESULT_USAGE, "%s: no report of a load run",
			  file);
		json_decref(json);
		json = NULL;
	}
	return json;
}

bool report_write(const char *file, const json_t *report, struct error *err)
{
	if (json_dump_file(report, file, JSON_INDENT(2)) == 0)
		return true;
	return error_set(err, RESULT_IO, "%s: cannot write", file);
}

static double quantile_get(const json_t *group, const char *field,
			   const char *quantile)
{
	return json_number_value(
		json_object_get(json_object_get(group, field), quantile));
}

static int64_t count_get(const json_t *group, const char *field)
{
	return json_integer_value(json_object_get(group, field));
}

static void latency_print(const json_t *group, const char *field, GString *out)
{
	if (json_is_null(json_object_get(group, field))) {
		g_string_append_printf(out, " %15s", "-");
		return;
	}
	g_string_append_printf(out, " %7.1f/%7.1f",
			       quantile_get(group, field, "p50"),
			       quantile_get(group, field, "p99"));
}

static void group_print(const json_t *group, GString *out)
{
	const json_t *goodput = json_object_get(group, "goodput_percent");

	g_string_append_printf(
		out, "%-14s %6d %6d %7d %6d %5d %6d ",
		json_string_value(json_object_get(group, "name")),
		(int)count_get(group, "sent"), (int)count_get(group, "whole"),
		(int)count_get(group, "refused"),
		(int)(count_get(group, "broken") +
		      count_get(group, "unanswered")),
		(int)count_get(group, "wrong"),
		(int)count_get(group, "hung-up"));
	if (json_is_null(goodput))
		g_string_append_printf(out, "%8s", "-");
	else
		g_string_append_printf(out, "%7.2f%%",
				       json_number_value(goodput));
	latency_print(group, "first_token_ms", out);
	latency_print(group, "between_tokens_ms", out);
	latency_print(group, "total_ms", out);
	g_string_append_c(out, '\n');
}

static void groups_print(const json_t *groups, const char *title, GString *out)
{
	size_t at;
	json_t *group;

	g_string_append_printf(out,
			       "%-14s %6s %6s %7s %6s %5s %6s %8s %15s %15s "
			       "%15s\n",
			       title, "sent", "whole", "refused", "lost",
			       "wrong", "hung-up", "goodput", "first ms 50/99",
			       "between 50/99", "total 50/99");
	json_array_foreach (groups, at, group)
		group_print(group, out);
}

static void codes_print(const json_t *report, GString *out)
{
	size_t at;
	json_t *group;
	const char *code;
	json_t *count;

	json_array_foreach (json_object_get(report, "kinds"), at, group)
		json_object_foreach (json_object_get(group, "codes"), code,
				     count)
			g_string_append_printf(
				out, "result %s %s: %s %d\n", code,
				result_label((enum result_code)atoi(code)),
				json_string_value(
					json_object_get(group, "name")),
				(int)json_integer_value(count));
}

static void checks_print(const json_t *checks, GString *out)
{
	size_t at;
	json_t *check;

	json_array_foreach (checks, at, check) {
		bool ok = json_is_true(json_object_get(check, "ok"));

		g_string_append_printf(
			out, "%s: %s", ok ? "holds" : "BROKEN",
			json_string_value(json_object_get(check, "name")));
		if (!ok)
			g_string_append_printf(
				out, " (%d: %s)",
				(int)count_get(check, "broken"),
				json_string_value(
					json_object_get(check, "examples")));
		g_string_append_c(out, '\n');
	}
}

void report_print(const json_t *report, GString *out)
{
	const json_t *prefill = json_object_get(report, "prefill");

	g_string_append_printf(
		out, "%s: %d calls at %.1f/s in %.1f s, seed %d\n",
		json_string_value(json_object_get(report, "label")),
		(int)count_get(report, "sent"),
		json_number_value(json_object_get(report, "rate")),
		json_number_value(json_object_get(report, "duration_ms")) /
			1000,
		(int)count_get(report, "seed"));
	groups_print(json_object_get(report, "classes"), "class", out);
	groups_print(json_object_get(report, "kinds"), "kind", out);
	codes_print(report, out);
	g_string_append_printf(
		out, "prefill: %d tokens computed, %d wasted (%.2f%%)\n",
		(int)count_get(prefill, "tokens"),
		(int)count_get(prefill, "wasted"),
		json_number_value(json_object_get(prefill, "wasted_percent")));
	checks_print(json_object_get(report, "checks"), out);
	if (!json_is_true(json_object_get(report, "ledgers")))
		g_string_append(out, "not compared with any ledger\n");
}
