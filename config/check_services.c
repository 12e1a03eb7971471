#include <glib.h>
#include <string.h>

#include "config/rule.h"

#define MODEL (1u << SERVICE_MODEL)
#define PLAIN (1u << SERVICE_PLAIN)
#define EITHER (MODEL | PLAIN)

#define DAY_MS 86400000u
#define WEEK_MS (7 * DAY_MS)
#define RATE_MAX 10000000u
#define TARGET_MS_MAX DAY_MS
#define BODY_BYTES_MAX (64u << 20)

#define NUMBER(member, min, max, default_value, allowed, required)             \
	{                                                                      \
#member, offsetof(struct config_service, member),              \
			sizeof(((struct config_service *)NULL)->member), min,  \
			max, default_value, allowed, required                  \
	}

#define TARGET(class, label, member, allowed)                                  \
	{                                                                      \
		"targets." label "." #member,                                  \
			offsetof(struct config_service,                        \
				 targets[class].member),                       \
			sizeof(uint32_t), 0, TARGET_MS_MAX, 0, allowed, 0      \
	}

#define TEXT(member, allowed, required)                                        \
	{                                                                      \
#member, offsetof(struct config_service, member), allowed,     \
			required                                               \
	}

static const struct number_rule numbers[] = {
	TARGET(CLASS_URGENT, "urgent", first_token_ms, MODEL),
	TARGET(CLASS_URGENT, "urgent", between_tokens_ms, MODEL),
	TARGET(CLASS_URGENT, "urgent", complete_ms, EITHER),
	TARGET(CLASS_DEFERRABLE, "deferrable", first_token_ms, MODEL),
	TARGET(CLASS_DEFERRABLE, "deferrable", between_tokens_ms, MODEL),
	TARGET(CLASS_DEFERRABLE, "deferrable", complete_ms, EITHER),
	NUMBER(queue_max, 1, 1000000, 1000, EITHER, 0),
	NUMBER(prompt_tokens_max, 1, 10000000, 32768, MODEL, 0),
	NUMBER(output_tokens_max, 1, 10000000, 2048, MODEL, 0),
	NUMBER(body_bytes_max, 1, BODY_BYTES_MAX, 1u << 20, EITHER, 0),
	NUMBER(deadline_ms, 0, DAY_MS, 0, EITHER, 0),
	NUMBER(concurrency, 1, 100000, 64, PLAIN, 0),
	NUMBER(requests_per_s, 0, RATE_MAX, 0, EITHER, 0),
	NUMBER(organisation_requests_per_s, 0, RATE_MAX, 0, EITHER, 0),
	NUMBER(retry_percent, 0, 100, 10, EITHER, 0),
	NUMBER(record_ms, 1000, WEEK_MS, 600000, EITHER, 0),
};

static const struct text_rule texts[] = {
	TEXT(model, MODEL, MODEL),
	TEXT(prefill_pool, MODEL, MODEL),
	TEXT(decode_pool, MODEL, MODEL),
	TEXT(path_prefix, PLAIN, 0),
	TEXT(host, PLAIN, 0),
	TEXT(pool, PLAIN, PLAIN),
};

static const struct flag_rule flags[] = {
	{"idempotent", EITHER},
};

static const char *const reserved_paths[] = {
	"/v1/completions",
	"/v1/chat/completions",
	"/v1/models",
};

struct services {
	struct config *config;
	GHashTable *names;
	GHashTable *models;
	GHashTable *routes;
	GHashTable *decode_by_prefill; /* names of pools */
	GHashTable *prefill_by_decode;
};

static bool key_add_unique(GHashTable *set, char *key)
{
	return g_hash_table_add(set, key);
}

static const struct config_pool *
pool_of_role(const struct subject *subject, const struct config *config,
	     const char *field, const char *name, enum pool_role role,
	     const char *role_label)
{
	const struct config_pool *pool = config_pool(config, name);

	if (!pool) {
		field_refuse(subject, field, "unknown pool \"%s\"", name);
		return NULL;
	}
	if (pool->role == role)
		return pool;
	field_refuse(subject, field, "pool \"%s\" is not of role %s", name,
		     role_label);
	return NULL;
}

/* Refuses a pool that is already paired with another: a cell has one prefill
 * and one decode pool. */
static bool pair_check(const struct subject *subject, GHashTable *partners,
		       const char *field, const char *name, const char *other)
{
	const char *known = g_hash_table_lookup(partners, name);

	if (!known) {
		g_hash_table_insert(partners, (char *)name, (char *)other);
		return true;
	}
	if (strcmp(known, other) == 0)
		return true;
	return field_refuse(subject, field,
			    "pool \"%s\" already forms a cell with \"%s\"",
			    name, known);
}

static bool cell_check(const struct subject *subject, struct services *services,
		       const struct config_service *service)
{
	const struct config_pool *prefill;
	const struct config_pool *decode;

	prefill = pool_of_role(subject, services->config, "prefill_pool",
			       service->prefill_pool, POOL_PREFILL, "prefill");
	if (!prefill)
		return false;
	decode = pool_of_role(subject, services->config, "decode_pool",
			      service->decode_pool, POOL_DECODE, "decode");
	if (!decode)
		return false;
	if (!pair_check(subject, services->decode_by_prefill, "prefill_pool",
			service->prefill_pool, service->decode_pool) ||
	    !pair_check(subject, services->prefill_by_decode, "decode_pool",
			service->decode_pool, service->prefill_pool))
		return false;
	if (prefill->kv_bytes_per_token != decode->kv_bytes_per_token)
		return field_refuse(subject, "decode_pool",
				    "kv_bytes_per_token of pool \"%s\" and of "
				    "\"%s\" differ",
				    decode->name, prefill->name);
	return true;
}

/* Checks that the longest request allowed fits into one empty decode runner. */
static bool memory_check(const struct subject *subject,
			 const struct config *config,
			 const struct config_service *service)
{
	const struct config_pool *pool =
		config_pool(config, service->decode_pool);
	uint64_t tokens = (uint64_t)service->prompt_tokens_max +
			  service->output_tokens_max;
	uint64_t pieces =
		(tokens + pool->piece_tokens - 1) / pool->piece_tokens;

	if (pieces <= pool->pieces)
		return true;
	return field_refuse(subject, "prompt_tokens_max",
			    "with output_tokens_max needs %llu pieces, a "
			    "runner of \"%s\" has %u",
			    (unsigned long long)pieces, pool->name,
			    pool->pieces);
}

static bool model_check(const struct subject *subject,
			struct services *services,
			const struct config_service *service)
{
	if (!key_add_unique(services->models, (char *)service->model))
		return field_refuse(subject, "model",
				    "model \"%s\" has a service already",
				    service->model);
	return cell_check(subject, services, service) &&
	       memory_check(subject, services->config, service);
}

static bool prefix_check(const struct subject *subject, const char *prefix)
{
	size_t size = strlen(prefix);

	if (prefix[0] != '/' || strstr(prefix, "//") ||
	    strpbrk(prefix, "?# \t") || (size > 1 && prefix[size - 1] == '/'))
		return field_refuse(subject, "path_prefix",
				    "must start with \"/\", not end with it, "
				    "and have no empty part, query or space");
	for (size_t i = 0; i < G_N_ELEMENTS(reserved_paths); i++) {
		if (strcmp(prefix, reserved_paths[i]) == 0)
			return field_refuse(subject, "path_prefix",
					    "\"%s\" is the path of model "
					    "services",
					    prefix);
	}
	return true;
}

static bool route_check(const struct subject *subject,
			struct services *services,
			const struct config_service *service)
{
	const char *prefix = service->path_prefix;
	g_autofree char *host = NULL;
	const char *field = prefix ? "path_prefix" : "host";

	if (!prefix && !service->host)
		return field_refuse(subject, "path_prefix",
				    "missing, and host too");
	if (prefix && !prefix_check(subject, prefix))
		return false;
	if (service->host && strpbrk(service->host, "/:?# \t"))
		return field_refuse(subject, "host",
				    "a host name without port or path");
	host = g_ascii_strdown(service->host ? service->host : "", -1);
	if (!key_add_unique(services->routes,
			    g_strconcat(host, prefix ? prefix : "/", NULL)))
		return field_refuse(subject, field,
				    "another service has the same host and "
				    "path prefix");
	return true;
}

static bool plain_check(const struct subject *subject,
			struct services *services,
			const struct config_service *service)
{
	if (!pool_of_role(subject, services->config, "pool", service->pool,
			  POOL_PLAIN, "plain"))
		return false;
	return route_check(subject, services, service);
}

static bool targets_check(const struct subject *subject,
			  const struct config_service *service)
{
	for (enum request_class class = 0; class < CLASS_COUNT; class ++) {
		const struct config_targets *targets = &service->targets[class];
		g_autofree char *field = g_strdup_printf(
			"targets.%s.complete_ms", class_label(class));

		if (targets->complete_ms > 0 &&
		    targets->complete_ms < targets->first_token_ms)
			return field_refuse(subject, field,
					    "below first_token_ms");
	}
	return true;
}

static bool limits_check(const struct subject *subject,
			 const struct config_service *service)
{
	if (service->requests_per_s > 0 &&
	    service->organisation_requests_per_s > service->requests_per_s)
		return field_refuse(subject, "organisation_requests_per_s",
				    "above requests_per_s");
	if (service->record_ms < service->deadline_ms)
		return field_refuse(subject, "record_ms",
				    "below deadline_ms: a record would end "
				    "before its request");
	return true;
}

static void defaults_set(const struct subject *subject,
			 struct config_service *service)
{
	/* Calls of a plain service may have side effects, so by default they
	 * are not repeated. */
	if (!field_given(subject, "idempotent"))
		service->idempotent = service->kind == SERVICE_MODEL;
	if (!field_given(subject, "class"))
		service->class = CLASS_DEFERRABLE;
}

static bool service_check(struct services *services, const struct check *check,
			  struct config_service *service, const char *path)
{
	bool model = service->kind == SERVICE_MODEL;
	struct subject subject = {
		.check = check,
		.path = path,
		.kind_label = model ? "a service of kind model"
				    : "a service of kind plain",
		.kind = 1u << service->kind,
		.object = service,
	};

	if (!key_add_unique(services->names, (char *)service->name))
		return field_refuse(&subject, "name", "duplicate name \"%s\"",
				    service->name);
	if (!texts_check(&subject, texts, G_N_ELEMENTS(texts)) ||
	    !flags_check(&subject, flags, G_N_ELEMENTS(flags)) ||
	    !numbers_check(&subject, numbers, G_N_ELEMENTS(numbers)))
		return false;
	defaults_set(&subject, service);
	if (!targets_check(&subject, service) ||
	    !limits_check(&subject, service))
		return false;
	if (model)
		return model_check(&subject, services, service);
	return plain_check(&subject, services, service);
}

static bool services_walk(struct services *services, const struct check *check)
{
	struct config *config = services->config;

	for (size_t i = 0; i < config->service_count; i++) {
		struct config_service *service =
			(struct config_service *)&config->services[i];
		g_autofree char *path = g_strdup_printf("services[%zu]", i);
		g_autofree char *field = g_strdup_printf("%s.name", path);

		if (!name_check(check, field, service->name) ||
		    !service_check(services, check, service, path))
			return false;
	}
	return true;
}

bool services_check(const struct check *check, struct config *config)
{
	struct services services = {
		.config = config,
		.names = g_hash_table_new(g_str_hash, g_str_equal),
		.models = g_hash_table_new(g_str_hash, g_str_equal),
		.routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
		.decode_by_prefill = g_hash_table_new(g_str_hash, g_str_equal),
		.prefill_by_decode = g_hash_table_new(g_str_hash, g_str_equal),
	};
	bool ok = services_walk(&services, check);

	g_hash_table_destroy(services.names);
	g_hash_table_destroy(services.models);
	g_hash_table_destroy(services.routes);
	g_hash_table_destroy(services.decode_by_prefill);
	g_hash_table_destroy(services.prefill_by_decode);
	return ok;
}
