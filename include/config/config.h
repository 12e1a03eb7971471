/*
 * config.h - the operators' file: pools, services and the policy in force
 *
 * DESCRIPTION
 *	A file is read whole and checked whole: shape by libcyaml, which names
 *	line, column and the path of the field, then meaning, each error naming
 *	file, line and field. A struct config is immutable once made. Pools and
 *	services are found by index; indexes hold for one config only, names
 *	across configs.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct error;

#define CONFIG_FILE_MAX (256u << 10)
#define CONFIG_FORMAT 1

enum pool_role {
	POOL_PREFILL,
	POOL_DECODE,
	POOL_PLAIN,
};

enum service_kind {
	SERVICE_MODEL,
	SERVICE_PLAIN,
};

/* Urgent goes first; deferrable waits, ages and is never dropped. */
enum request_class {
	CLASS_URGENT,
	CLASS_DEFERRABLE,
	CLASS_COUNT,
};

struct config_data_centre {
	const char *name;
	const char *region;
};

/* Capacity between two data centres, one way; from may equal to. */
struct config_link {
	const char *from;
	const char *to;
	double latency_ms;
	uint64_t bytes_per_s;
};

struct config_pool {
	const char *name;
	enum pool_role role;
	uint32_t piece_tokens; /* tokens in a piece of engine memory */
	uint32_t pieces;       /* pieces of decode memory a runner has */
	uint32_t slots;	       /* requests a runner takes at once */
	uint32_t kv_bytes_per_token;
	uint64_t link_bytes_per_s; /* out of (prefill) or into (decode) a runner
				    */
	uint32_t prefill_tokens_per_s;
	uint32_t decode_tokens_per_s; /* for one stream at full batch */
	uint32_t hold_ms;	      /* how long a prefill's result is kept */
	bool checks_fencing;
	bool swaps_role; /* its runners accept orders to change role */
};

struct config_targets {
	uint32_t first_token_ms; /* 0: no target */
	uint32_t between_tokens_ms;
	uint32_t complete_ms;
};

struct config_service {
	const char *name;
	enum service_kind kind;
	const char *model; /* kind model: the name callers give */
	const char *prefill_pool;
	const char *decode_pool;
	const char *path_prefix; /* kind plain: NULL when chosen by host */
	const char *host;
	const char *pool;	  /* kind plain */
	enum request_class class; /* when the request names none */
	bool idempotent;	  /* when the request does not say */
	struct config_targets targets[CLASS_COUNT];
	uint32_t queue_max; /* waiting requests a data centre */
	uint32_t prompt_tokens_max;
	uint32_t output_tokens_max;
	uint32_t body_bytes_max;
	uint32_t deadline_ms;	 /* when the request names none */
	uint32_t concurrency;	 /* plain: calls in flight a server */
	uint32_t requests_per_s; /* over the whole site; 0: no limit */
	uint32_t organisation_requests_per_s; /* each; 0: no limit */
	uint32_t retry_percent; /* retries as a share of requests */
	uint32_t record_ms;	/* how long a key's record is kept */
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

/* Parses and checks a whole file; file names it in errors only. */
struct config *config_parse(const char *file, const void *data, size_t size,
			    struct error *err);
/* Reads the file, then as config_parse(). */
struct config *config_load(const char *file, struct error *err);
/* Reads a file of at most CONFIG_FILE_MAX bytes, unchecked; free with g_free().
 */
bool config_read(const char *file, char **data, size_t *size,
		 struct error *err);
void config_destroy(struct config *config);

const struct config_pool *config_pool(const struct config *config,
				      const char *name);
const struct config_service *config_service(const struct config *config,
					    const char *name);
/* The service of kind model for the model's name, or NULL. */
const struct config_service *config_model(const struct config *config,
					  const char *model);
/* The service of kind plain for host (may be NULL; a port is ignored) and path:
 * one that names the host goes before one that names none, then the longest
 * prefix of whole path segments wins. */
const struct config_service *config_route(const struct config *config,
					  const char *host, const char *path);
bool class_parse(const char *text, size_t size, enum request_class *class);
const char *class_label(enum request_class class);

#endif
