#include "config/config.h"

#include <glib.h>
#include <string.h>

#include "common/error.h"
#include "config/document.h"

struct config *config_parse(const char *file, const void *data, size_t size,
			    struct error *err)
{
	struct check check = {.err = err};
	struct outline *outline;
	struct document *document;

	if (size > CONFIG_FILE_MAX) {
		error_set(err, RESULT_BAD_CONFIG, "%s: larger than %u bytes",
			  file, CONFIG_FILE_MAX);
		return NULL;
	}
	outline = outline_create(file, data, size, err);
	if (!outline)
		return NULL;
	check.outline = outline;
	document = document_load(outline, data, size, err);
	if (document && !document_check(&check, document)) {
		document_free(document);
		document = NULL;
	}
	outline_destroy(outline);
	return document ? &document->config : NULL;
}

struct config *config_load(const char *file, struct error *err)
{
	struct config *config;
	char *data;
	size_t size;

	if (!config_read(file, &data, &size, err))
		return NULL;
	config = config_parse(file, data, size, err);
	g_free(data);
	return config;
}

void config_destroy(struct config *config)
{
	char *document = (char *)config;

	if (config)
		document_free(
			(void *)(document - offsetof(struct document, config)));
}

const struct config_pool *config_pool(const struct config *config,
				      const char *name)
{
	for (size_t i = 0; name && i < config->pool_count; i++) {
		if (strcmp(config->pools[i].name, name) == 0)
			return &config->pools[i];
	}
	return NULL;
}

const struct config_service *config_service(const struct config *config,
					    const char *name)
{
	for (size_t i = 0; name && i < config->service_count; i++) {
		if (strcmp(config->services[i].name, name) == 0)
			return &config->services[i];
	}
	return NULL;
}

const struct config_service *config_model(const struct config *config,
					  const char *model)
{
	for (size_t i = 0; model && i < config->service_count; i++) {
		const char *given = config->services[i].model;

		if (given && strcmp(given, model) == 0)
			return &config->services[i];
	}
	return NULL;
}

/* Compares host names regardless of case; the port in host is ignored. */
static bool host_matches(const struct config_service *service, const char *host)
{
	size_t size;

	if (!service->host)
		return true;
	if (!host)
		return false;
	size = strcspn(host, ":");
	return strlen(service->host) == size &&
	       g_ascii_strncasecmp(service->host, host, size) == 0;
}

static bool prefix_matches(const char *prefix, const char *path)
{
	size_t size;

	if (!prefix || strcmp(prefix, "/") == 0)
		return true;
	size = strlen(prefix);
	return strncmp(prefix, path, size) == 0 &&
	       (path[size] == '\0' || path[size] == '/');
}

static bool route_better(const struct config_service *a,
			 const struct config_service *b)
{
	size_t a_size = a->path_prefix ? strlen(a->path_prefix) : 0;
	size_t b_size;

	if (!b)
		return true;
	b_size = b->path_prefix ? strlen(b->path_prefix) : 0;
	if ((a->host != NULL) != (b->host != NULL))
		return a->host != NULL;
	return a_size > b_size;
}

const struct config_service *config_route(const struct config *config,
					  const char *host, const char *path)
{
	const struct config_service *best = NULL;

	for (size_t i = 0; i < config->service_count; i++) {
		const struct config_service *service = &config->services[i];

		if (service->kind == SERVICE_PLAIN &&
		    host_matches(service, host) &&
		    prefix_matches(service->path_prefix, path) &&
		    route_better(service, best))
			best = service;
	}
	return best;
}

static const char *const class_labels[CLASS_COUNT] = {
	[CLASS_URGENT] = "urgent",
	[CLASS_DEFERRABLE] = "deferrable",
};

bool class_parse(const char *text, size_t size, enum request_class *class)
{
	for (enum request_class i = 0; i < CLASS_COUNT; i++) {
		if (strlen(class_labels[i]) != size ||
		    memcmp(class_labels[i], text, size) != 0)
			continue;
		*class = i;
		return true;
	}
	return false;
}

const char *class_label(enum request_class class)
{
	return class < CLASS_COUNT ? class_labels[class] : "unknown";
}
