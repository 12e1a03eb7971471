#include "load/workload.h"

#include <cyaml/cyaml.h>
#include <glib.h>
#include <string.h>

#include "common/error.h"

#define WORKLOAD_VERSION 1
#define NAME_MAX_CHARS 128

#define OPTIONAL CYAML_FLAG_OPTIONAL
#define OPTIONAL_TEXT (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)

static const cyaml_schema_field_t range_fields[] = {
	CYAML_FIELD_FLOAT("median", CYAML_FLAG_DEFAULT, struct load_range,
			  median),
	CYAML_FIELD_FLOAT("sigma", OPTIONAL, struct load_range, sigma),
	CYAML_FIELD_UINT("min", OPTIONAL, struct load_range, min),
	CYAML_FIELD_UINT("max", OPTIONAL, struct load_range, max),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t targets_fields[] = {
	CYAML_FIELD_UINT("first_token_ms", OPTIONAL, struct latency_targets,
			 first_token_ms),
	CYAML_FIELD_UINT("between_tokens_ms", OPTIONAL, struct latency_targets,
			 between_tokens_ms),
	CYAML_FIELD_UINT("complete_ms", OPTIONAL, struct latency_targets,
			 complete_ms),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t kind_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct load_kind,
			       name, 1, NAME_MAX_CHARS),
	CYAML_FIELD_FLOAT("weight", CYAML_FLAG_DEFAULT, struct load_kind,
			  weight),
	CYAML_FIELD_STRING_PTR("model", OPTIONAL_TEXT, struct load_kind, model,
			       1, NAME_MAX_CHARS),
	CYAML_FIELD_STRING_PTR("path", OPTIONAL_TEXT, struct load_kind, path, 1,
			       NAME_MAX_CHARS),
	CYAML_FIELD_STRING_PTR("method", OPTIONAL_TEXT, struct load_kind,
			       method, 1, NAME_MAX_CHARS),
	CYAML_FIELD_STRING_PTR("class", OPTIONAL_TEXT, struct load_kind, class,
			       1, NAME_MAX_CHARS),
	CYAML_FIELD_BOOL("stream", OPTIONAL, struct load_kind, stream),
	CYAML_FIELD_BOOL("key", OPTIONAL, struct load_kind, key),
	CYAML_FIELD_BOOL("non_idempotent", OPTIONAL, struct load_kind,
			 non_idempotent),
	CYAML_FIELD_UINT("deadline_ms", OPTIONAL, struct load_kind,
			 deadline_ms),
	CYAML_FIELD_UINT("retries", OPTIONAL, struct load_kind, retries),
	CYAML_FIELD_UINT("prefix_groups", OPTIONAL, struct load_kind,
			 prefix_groups),
	CYAML_FIELD_UINT("prefix_tokens", OPTIONAL, struct load_kind,
			 prefix_tokens),
	CYAML_FIELD_UINT("max_tokens", OPTIONAL, struct load_kind, max_tokens),
	CYAML_FIELD_MAPPING("prompt_tokens", OPTIONAL, struct load_kind,
			    prompt_tokens, range_fields),
	CYAML_FIELD_MAPPING("output_tokens", OPTIONAL, struct load_kind,
			    output_tokens, range_fields),
	CYAML_FIELD_MAPPING("targets", OPTIONAL, struct load_kind, targets,
			    targets_fields),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t kind_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct load_kind, kind_fields),
};

static const cyaml_schema_field_t bursts_fields[] = {
	CYAML_FIELD_FLOAT("factor", CYAML_FLAG_DEFAULT, struct load_bursts,
			  factor),
	CYAML_FIELD_FLOAT("share", CYAML_FLAG_DEFAULT, struct load_bursts,
			  share),
	CYAML_FIELD_UINT("period_ms", CYAML_FLAG_DEFAULT, struct load_bursts,
			 period_ms),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t workload_fields[] = {
	CYAML_FIELD_UINT("version", CYAML_FLAG_DEFAULT, struct workload,
			 version),
	CYAML_FIELD_FLOAT("rate", CYAML_FLAG_DEFAULT, struct workload, rate),
	CYAML_FIELD_MAPPING("bursts", OPTIONAL, struct workload, bursts,
			    bursts_fields),
	CYAML_FIELD_SEQUENCE("kinds", CYAML_FLAG_POINTER, struct workload,
			     kinds, &kind_schema, 1, 64),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t workload_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct workload,
			    workload_fields),
};

/* libcyaml logs the cause in one line and the location in those after it. */
static void log_collect(cyaml_log_t level, void *ctx, const char *fmt,
			va_list args)
{
	GString *text = ctx;
	char *line = g_strdup_vprintf(fmt, args);

	g_strstrip(line);
	g_string_append_printf(text, "%s%s", text->len > 0 ? "; " : "", line);
	g_free(line);
}

static cyaml_config_t config_make(GString *text)
{
	return (cyaml_config_t){
		.log_fn = log_collect,
		.log_ctx = text,
		.log_level = CYAML_LOG_ERROR,
		.mem_fn = cyaml_mem,
	};
}

static bool range_check(const struct load_kind *kind, const char *field,
			const struct load_range *range, struct error *err)
{
	if (range->median < 0 || range->sigma < 0 ||
	    (range->max > 0 && range->max < range->min))
		return error_set(err, RESULT_BAD_CONFIG,
				 "kind %s: %s is not a range", kind->name,
				 field);
	return true;
}

static bool kind_check(const struct load_kind *kind, struct error *err)
{
	if ((kind->model == NULL) == (kind->path == NULL))
		return error_set(err, RESULT_BAD_CONFIG,
				 "kind %s: names neither or both of model "
				 "and path",
				 kind->name);
	if (kind->weight < 0)
		return error_set(err, RESULT_BAD_CONFIG,
				 "kind %s: weight is negative", kind->name);
	if (kind->path != NULL && kind->path[0] != '/')
		return error_set(err, RESULT_BAD_CONFIG,
				 "kind %s: path does not begin with /",
				 kind->name);
	if (kind->model != NULL && kind->output_tokens.median < 1)
		return error_set(err, RESULT_BAD_CONFIG,
				 "kind %s: output_tokens is missing",
				 kind->name);
	if (kind->max_tokens > 0 &&
	    (kind->output_tokens.max == 0 ||
	     kind->output_tokens.max > kind->max_tokens))
		return error_set(err, RESULT_BAD_CONFIG,
				 "kind %s: output_tokens may exceed max_tokens",
				 kind->name);
	return range_check(kind, "prompt_tokens", &kind->prompt_tokens, err) &&
	       range_check(kind, "output_tokens", &kind->output_tokens, err);
}

static bool bursts_check(const struct load_bursts *bursts, struct error *err)
{
	if (bursts->factor == 0)
		return true;
	if (bursts->factor < 1 || bursts->share <= 0 || bursts->share >= 1 ||
	    bursts->factor * bursts->share > 1 || bursts->period_ms == 0)
		return error_set(err, RESULT_BAD_CONFIG,
				 "bursts: factor is at least 1, share between "
				 "0 and 1, their product at most 1");
	return true;
}

static bool workload_check(const struct workload *workload, struct error *err)
{
	double weights = 0;

	if (workload->version != WORKLOAD_VERSION)
		return error_set(err, RESULT_BAD_CONFIG,
				 "version is %u, not %d", workload->version,
				 WORKLOAD_VERSION);
	if (workload->rate <= 0)
		return error_set(err, RESULT_BAD_CONFIG,
				 "rate is not positive");
	for (unsigned int i = 0; i < workload->kinds_count; i++) {
		if (!kind_check(&workload->kinds[i], err))
			return false;
		weights += workload->kinds[i].weight;
	}
	if (weights <= 0)
		return error_set(err, RESULT_BAD_CONFIG,
				 "kinds: no weight is positive");
	return bursts_check(&workload->bursts, err);
}

struct workload *workload_parse(const char *file, const void *data, size_t size,
				struct error *err)
{
	GString *text = g_string_new(NULL);
	cyaml_config_t config = config_make(text);
	struct workload *workload = NULL;
	cyaml_err_t rc;

	rc = cyaml_load_data(data, size, &config, &workload_schema,
			     (cyaml_data_t **)&workload, NULL);
	if (rc != CYAML_OK)
		error_set(err, RESULT_BAD_CONFIG, "%s: %s: %s", file,
			  cyaml_strerror(rc), text->str);
	else if (workload == NULL) /* libcyaml accepts an empty document */
		error_set(err, RESULT_BAD_CONFIG, "%s: empty", file);
	g_string_free(text, TRUE);
	if (rc != CYAML_OK || workload == NULL)
		return NULL;
	if (!workload_check(workload, err)) {
		error_prefix(err, "%s", file);
		workload_destroy(workload);
		return NULL;
	}
	return workload;
}

struct workload *workload_load(const char *file, struct error *err)
{
	struct workload *workload;
	GError *error = NULL;
	char *data = NULL;
	gsize size = 0;

	if (!g_file_get_contents(file, &data, &size, &error)) {
		error_set(err, RESULT_IO, "%s", error->message);
		g_error_free(error);
		return NULL;
	}
	workload = workload_parse(file, data, size, err);
	g_free(data);
	return workload;
}

void workload_destroy(struct workload *workload)
{
	cyaml_config_t config = config_make(NULL);

	cyaml_free(&config, &workload_schema, workload, 0);
}
