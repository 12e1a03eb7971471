/*
 * document.h - the file as libcyaml loads it, before and after its checks
 *
 * DESCRIPTION
 *	Private to config/. The schema writes straight into a struct config;
 *	the version of the file's format is read and dropped.
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

/* What a check needs: the file's outline and where to put the error. */
struct check {
	const struct outline *outline;
	struct error *err;
};

/* Loads the shape; strings and lists belong to the document. */
struct document *document_load(const struct outline *outline, const void *data,
			       size_t size, struct error *err);
void document_free(struct document *document);

/* Each fills in defaults and refuses what has no meaning. */
bool document_check(const struct check *check, struct document *document);
bool pools_check(const struct check *check, struct config *config);
bool services_check(const struct check *check, struct config *config);

#endif
