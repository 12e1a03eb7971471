/*
 * document.h - the parsed file as libcyaml loads it, and its validation
 *
 * DESCRIPTION
 *	Private to config/. The schema loads directly into a struct config; the
 *	format version is validated but is not part of it.
 */
#ifndef CONFIG_DOCUMENT_H
#define CONFIG_DOCUMENT_H

#include "common/error.h"
#include "config/config.h"
#include "config/outline.h"

#define NAME_MAX_SIZE 63
#define TEXT_MAX_SIZE 255

struct document {
	uint32_t version;
	struct config config;
};

/* Context of a check: the outline that locates fields, and the error to set. */
struct check {
	const struct outline *outline;
	struct error *err;
};

/* Loads the file by the schema; the document owns its strings and lists. */
struct document *document_load(const struct outline *outline, const void *data,
			       size_t size, struct error *err);
void document_free(struct document *document);

/* Validate the values, set defaults and refuse fields that do not apply. */
bool document_check(const struct check *check, struct document *document);
bool pools_check(const struct check *check, struct config *config);
bool services_check(const struct check *check, struct config *config);

#endif
