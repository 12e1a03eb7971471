/*
 * config.h - configuration file: pools, services and the scheduling policy
 *
 * DESCRIPTION
 *	A file is parsed and validated as a whole: first its schema by libcyaml,
 *	then the values. Each error names the file, line, column and path of the
 *	field. A struct config is immutable after parsing. An index of a pool or
 *	service is valid in one config only; its name identifies it across
 *	configs.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct error;

#define CONFIG_FILE_MAX (256u << 10)
#define CONFIG_FORMAT_VERSION 1

enum pool_role {
	POOL_PREFILL,
	POOL_DECODE,
	POOL_PLAIN,
};

enum service_kind {
	SERVICE_MODEL,
	SERVICE_PLAIN,
};

/* Urgent requests are served first. Deferrable ones wait, gain priority with
 * age and are never dropped. */
enum request_class {
	CLASS_URGENT,
	CLASS_DEFERRABLE,
	CLASS_COUNT,
};

struct config_data_centre {
	const char *name;
	const char *region;
};

/* Capacity in one direction between two data centres, or inside one when from
 * equals to. */
struct config_link {
	const char *from;
	const char *to;
	double latency_ms;
	uint64_t bytes_per_s;
};

struct config_pool {
	const char *name;
	enum pool_role role;
	uint32_t piece_tokens; /* tokens per piece of KV cache */
	uint32_t pieces;       /* KV cache of a decode runner, in pieces */
	uint32_t slots;	       /* concurrent requests of a runner */
	uint32_t kv_bytes_per_token;
	/* Per runner: sent by a prefill runner, received by a decode runner. */
	uint64_t link_bytes_per_s;
	uint32_t prefill_tokens_per_s;
	uint32_t decode_tokens_per_s; /* per stream at a full batch */
	uint32_t hold_ms;	      /* retention of a prefill result */
	bool checks_fencing;
	bool swaps_role; /* runners can be ordered to change role */
};

struct config_targets {
	uint32_t first_token_ms; /* 0: no target */
	uint32_t between_tokens_ms;
	uint32_t complete_ms;
};

struct config_service {
	const char *name;
	enum service_kind kind;
	const char *model; /* kind model: the name in requests */
	const char *prefill_pool;
	const char *decode_pool;
	const char *path_prefix; /* kind plain: NULL if routed by host */
	const char *host;
	const char *pool;	  /* kind plain */
	enum request_class class; /* for requests that name none */
	bool idempotent;	  /* for requests that do not state it */
	struct config_targets targets[CLASS_COUNT];
	uint32_t queue_max; /* waiting requests per data centre */
	uint32_t prompt_tokens_max;
	uint32_t output_tokens_max;
	uint32_t body_bytes_max;
	uint32_t deadline_ms;	 /* for requests that name none */
	uint32_t concurrency;	 /* kind plain: calls in flight per server */
	uint32_t requests_per_s; /* of the whole site; 0: no limit */
	uint32_t organisation_requests_per_s; /* of each; 0: no limit */
	uint32_t retry_percent; /* retry budget, as a share of requests */
	uint32_t record_ms;	/* retention of a request key's record */
};

struct config_param {
	const char *name;
	double value;
};

struct config_policy {
	const char *name;
	const struct config_param *params;
	size_t param_count;
};

struct config {
	const char *site;
	const struct config_data_centre *data_centres;
	size_t data_centre_count;
	const struct config_link *links;
	size_t link_count;
	const struct config_pool *pools;
	size_t pool_count;
	const struct config_service *services;
	size_t service_count;
	struct config_policy policy;
};

/* Parses and validates a file's contents; file is its name in errors. Returns
 * NULL and sets err on failure. */
struct config *config_parse(const char *file, const void *data, size_t size,
			    struct error *err);
/* Reads the file and parses it with config_parse(). */
struct config *config_load(const char *file, struct error *err);
/* Reads a file of at most CONFIG_FILE_MAX bytes without parsing it. The caller
 * frees data with g_free(). */
bool config_read(const char *file, char **data, size_t *size,
		 struct error *err);
void config_destroy(struct config *config);

const struct config_pool *config_pool(const struct config *config,
				      const char *name);
const struct config_service *config_service(const struct config *config,
					    const char *name);
/* Returns the service of kind model that serves the model, or NULL. */
const struct config_service *config_model(const struct config *config,
					  const char *model);
/* Returns the service of kind plain for a host and path, or NULL. The host may
 * be NULL and its port is ignored. A service with that host takes precedence
 * over one without a host, then the longest prefix of whole path segments. */
const struct config_service *config_route(const struct config *config,
					  const char *host, const char *path);
bool class_parse(const char *text, size_t size, enum request_class *class);
const char *class_label(enum request_class class);

#endif
