#include <cyaml/cyaml.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "config/document.h"

#define DATA_CENTRES_MAX 64
#define LINKS_MAX 4096
#define POOLS_MAX 256
#define SERVICES_MAX 1024
#define PARAMETERS_MAX 64
#define LOG_LINE_MAX 512

#define NAME(key, type, member)                                                \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, type, member, 1,       \
			       NAME_MAX_SIZE)
#define TEXT(key, type, member)                                                \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,  \
			       type, member, 1, TEXT_MAX_SIZE)
#define UINT(key, type, member)                                                \
	CYAML_FIELD_UINT(key, CYAML_FLAG_OPTIONAL, type, member)
#define BOOL(key, type, member)                                                \
	CYAML_FIELD_BOOL(key, CYAML_FLAG_OPTIONAL, type, member)

static const cyaml_strval_t role_names[] = {
	{"prefill", POOL_PREFILL},
	{"decode", POOL_DECODE},
	{"plain", POOL_PLAIN},
};

static const cyaml_strval_t kind_names[] = {
	{"model", SERVICE_MODEL},
	{"plain", SERVICE_PLAIN},
};

static const cyaml_strval_t class_names[] = {
	{"urgent", CLASS_URGENT},
	{"deferrable", CLASS_DEFERRABLE},
};

static const cyaml_schema_field_t data_centre_fields[] = {
	NAME("name", struct config_data_centre, name),
	TEXT("region", struct config_data_centre, region),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t link_fields[] = {
	NAME("from", struct config_link, from),
	NAME("to", struct config_link, to),
	CYAML_FIELD_FLOAT("latency_ms", CYAML_FLAG_OPTIONAL, struct config_link,
			  latency_ms),
	UINT("bytes_per_s", struct config_link, bytes_per_s),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t pool_fields[] = {
	NAME("name", struct config_pool, name),
	CYAML_FIELD_ENUM("role", CYAML_FLAG_STRICT, struct config_pool, role,
			 role_names, CYAML_ARRAY_LEN(role_names)),
	UINT("piece_tokens", struct config_pool, piece_tokens),
	UINT("pieces", struct config_pool, pieces),
	UINT("slots", struct config_pool, slots),
	UINT("kv_bytes_per_token", struct config_pool, kv_bytes_per_token),
	UINT("link_bytes_per_s", struct config_pool, link_bytes_per_s),
	UINT("prefill_tokens_per_s", struct config_pool, prefill_tokens_per_s),
	UINT("decode_tokens_per_s", struct config_pool, decode_tokens_per_s),
	UINT("hold_ms", struct config_pool, hold_ms),
	BOOL("checks_fencing", struct config_pool, checks_fencing),
	BOOL("swaps_role", struct config_pool, swaps_role),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t target_fields[] = {
	UINT("first_token_ms", struct config_targets, first_token_ms),
	UINT("between_tokens_ms", struct config_targets, between_tokens_ms),
	UINT("complete_ms", struct config_targets, complete_ms),
	CYAML_FIELD_END,
};

/* Lays the array of a service's targets out as a mapping keyed by class. */
struct class_targets {
	struct config_targets of[CLASS_COUNT];
};

static const cyaml_schema_field_t class_target_fields[] = {
	CYAML_FIELD_MAPPING("urgent", CYAML_FLAG_OPTIONAL, struct class_targets,
			    of[CLASS_URGENT], target_fields),
	CYAML_FIELD_MAPPING("deferrable", CYAML_FLAG_OPTIONAL,
			    struct class_targets, of[CLASS_DEFERRABLE],
			    target_fields),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t service_fields[] = {
	NAME("name", struct config_service, name),
	CYAML_FIELD_ENUM("kind", CYAML_FLAG_STRICT, struct config_service, kind,
			 kind_names, CYAML_ARRAY_LEN(kind_names)),
	TEXT("model", struct config_service, model),
	TEXT("prefill_pool", struct config_service, prefill_pool),
	TEXT("decode_pool", struct config_service, decode_pool),
	TEXT("path_prefix", struct config_service, path_prefix),
	TEXT("host", struct config_service, host),
	TEXT("pool", struct config_service, pool),
	CYAML_FIELD_ENUM("class", CYAML_FLAG_STRICT | CYAML_FLAG_OPTIONAL,
			 struct config_service, class, class_names,
			 CYAML_ARRAY_LEN(class_names)),
	BOOL("idempotent", struct config_service, idempotent),
	CYAML_FIELD_MAPPING("targets", CYAML_FLAG_OPTIONAL,
			    struct config_service, targets,
			    class_target_fields),
	UINT("queue_max", struct config_service, queue_max),
	UINT("prompt_tokens_max", struct config_service, prompt_tokens_max),
	UINT("output_tokens_max", struct config_service, output_tokens_max),
	UINT("body_bytes_max", struct config_service, body_bytes_max),
	UINT("deadline_ms", struct config_service, deadline_ms),
	UINT("concurrency", struct config_service, concurrency),
	UINT("requests_per_s", struct config_service, requests_per_s),
	UINT("organisation_requests_per_s", struct config_service,
	     organisation_requests_per_s),
	UINT("retry_percent", struct config_service, retry_percent),
	UINT("record_ms", struct config_service, record_ms),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t param_fields[] = {
	NAME("name", struct config_param, name),
	CYAML_FIELD_FLOAT("value", CYAML_FLAG_DEFAULT, struct config_param,
			  value),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t data_centre_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct config_data_centre,
			    data_centre_fields),
};

static const cyaml_schema_value_t link_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct config_link,
			    link_fields),
};

static const cyaml_schema_value_t pool_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct config_pool,
			    pool_fields),
};

static const cyaml_schema_value_t service_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct config_service,
			    service_fields),
};

static const cyaml_schema_value_t param_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct config_param,
			    param_fields),
};

static const cyaml_schema_field_t policy_fields[] = {
	NAME("name", struct config_policy, name),
	CYAML_FIELD_SEQUENCE_COUNT("parameters",
				   CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				   struct config_policy, params, param_count,
				   &param_schema, 0, PARAMETERS_MAX),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t document_fields[] = {
	CYAML_FIELD_UINT("version", CYAML_FLAG_DEFAULT, struct document,
			 version),
	NAME("site", struct document, config.site),
	CYAML_FIELD_SEQUENCE_COUNT("data_centres", CYAML_FLAG_POINTER,
				   struct document, config.data_centres,
				   config.data_centre_count,
				   &data_centre_schema, 1, DATA_CENTRES_MAX),
	CYAML_FIELD_SEQUENCE_COUNT(
		"links", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
		struct document, config.links, config.link_count, &link_schema,
		0, LINKS_MAX),
	CYAML_FIELD_SEQUENCE_COUNT("pools", CYAML_FLAG_POINTER, struct document,
				   config.pools, config.pool_count,
				   &pool_schema, 1, POOLS_MAX),
	CYAML_FIELD_SEQUENCE_COUNT("services", CYAML_FLAG_POINTER,
				   struct document, config.services,
				   config.service_count, &service_schema, 1,
				   SERVICES_MAX),
	CYAML_FIELD_MAPPING("policy", CYAML_FLAG_DEFAULT, struct document,
			    config.policy, policy_fields),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t document_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct document,
			    document_fields),
};

/* A load error, parsed from libcyaml's log: the reason, then the enclosing
 * fields, innermost first, each as "  in KIND 'NAME' (line: N, column: N)". */
struct report {
	char reason[LOG_LINE_MAX];
	GString *path;
	bool located;
	bool innermost_is_field;
	size_t innermost_size;
};

static void report_location(struct report *report, const char *line)
{
	char name[OUTLINE_KEY_MAX + 1] = "";
	unsigned int entry;

	if (sscanf(line, " in mapping field '%64[^']'", name) == 1) {
		g_string_prepend(report->path, name);
		g_string_prepend_c(report->path, '.');
	} else if (sscanf(line, " in sequence entry '%u'", &entry) == 1 &&
		   entry > 0) {
		g_autofree char *part = g_strdup_printf("[%u]", entry - 1);

		g_string_prepend(report->path, part);
	}
	if (report->located)
		return;
	report->located = true;
	report->innermost_is_field = *name != '\0';
	report->innermost_size = report->path->len;
}

static void report_line(cyaml_log_t level, void *ctx, const char *fmt,
			va_list args)
{
	struct report *report = ctx;
	char line[LOG_LINE_MAX];
	const char *text = line;

	vsnprintf(line, sizeof(line), fmt, args);
	g_strchomp(line);
	if (g_str_has_prefix(text, "Load: "))
		text += strlen("Load: ");
	if (g_str_has_prefix(text, "  in "))
		report_location(report, text);
	else if (*report->reason == '\0')
		g_strlcpy(report->reason, text, sizeof(report->reason));
}

/* The part of the reason after prefix, or NULL if it begins otherwise. */
static const char *reason_after(const struct report *report, const char *prefix)
{
	if (!g_str_has_prefix(report->reason, prefix))
		return NULL;
	return report->reason + strlen(prefix);
}

static void report_refuse(struct report *report, const struct outline *outline,
			  struct error *err)
{
	const char *missing =
		reason_after(report, "Missing required mapping field: ");
	const char *unknown = reason_after(report, "Unexpected key: ");
	g_autofree char *reason = NULL;
	GString *path = report->path;

	/* For a missing field, the innermost field logged is the last one of
	 * the mapping that was parsed, which is not part of the path. */
	if (missing && report->innermost_is_field)
		g_string_truncate(path, path->len - report->innermost_size);
	if (missing || unknown)
		g_string_append_printf(path, ".%s",
				       missing ? missing : unknown);
	if (missing)
		reason = g_strdup("missing");
	else if (unknown)
		reason = g_strdup("unknown field");
	else
		reason = g_strescape(report->reason, NULL);
	if (*path->str == '.')
		g_string_erase(path, 0, 1);
	outline_refuse(outline, err, path->str, "%s", reason);
}

struct document *document_load(const struct outline *outline, const void *data,
			       size_t size, struct error *err)
{
	struct report report = {.path = g_string_new(NULL)};
	cyaml_config_t settings = {
		.log_fn = report_line,
		.log_ctx = &report,
		.log_level = CYAML_LOG_ERROR,
		.mem_fn = cyaml_mem,
		.flags = CYAML_CFG_NO_ALIAS,
	};
	cyaml_data_t *loaded = NULL;
	cyaml_err_t code;

	code = cyaml_load_data(data, size, &settings, &document_schema, &loaded,
			       NULL);
	if (code != CYAML_OK) {
		if (*report.reason == '\0')
			g_strlcpy(report.reason, cyaml_strerror(code),
				  sizeof(report.reason));
		report_refuse(&report, outline, err);
		loaded = NULL;
	} else if (!loaded) {
		outline_refuse(outline, err, "", "nothing in it");
	}
	g_string_free(report.path, TRUE);
	return loaded;
}

void document_free(struct document *document)
{
	static const cyaml_config_t settings = {.mem_fn = cyaml_mem};

	cyaml_free(&settings, &document_schema, document, 0);
}
