/*
 * outline.h - where each field of a YAML file stands
 *
 * DESCRIPTION
 *	An outline maps the path of every field ("pools[1].pieces") to its line,
 *	column and text, so that errors found after parsing can name them, and
 *	so that two files can be compared by field. It is made in one pass over
 *	libyaml's events and refuses what a configuration never needs:
 *	aliases, duplicate fields, a second document, deep nesting, field names
 *	outside [A-Za-z0-9_-].
 *
 * ERRORS
 *	RESULT_BAD_CONFIG, with the text "file:line:column: what".
 */
#ifndef CONFIG_OUTLINE_H
#define CONFIG_OUTLINE_H

#include <stddef.h>
#include <stdint.h>

#include "common/error.h"

#define OUTLINE_DEPTH_MAX 8
#define OUTLINE_NODES_MAX 65536u
#define OUTLINE_KEY_MAX 64u

enum outline_kind {
	OUTLINE_SCALAR,
	OUTLINE_MAPPING,
	OUTLINE_SEQUENCE,
};

struct outline_node {
	const char *path;
	enum outline_kind kind;
	const char *text; /* of a scalar, else NULL */
	uint32_t line;	  /* both from 1 */
	uint32_t column;
};

struct outline;

struct outline *outline_create(const char *file, const void *data, size_t size,
			       struct error *err);
void outline_destroy(struct outline *outline);
/* NULL when the file does not give the field. */
const struct outline_node *outline_find(const struct outline *outline,
					const char *path);
/* All nodes in the order of the file; the root, with path "", is first. */
const struct outline_node *const *outline_nodes(const struct outline *outline,
						size_t *count);
/* Sets "file:line:column: path: text" at the field or, when the file does not
 * give it, at the closest field around it. Always returns false. */
bool outline_refuse(const struct outline *outline, struct error *err,
		    const char *path, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
