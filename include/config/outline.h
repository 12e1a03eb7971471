/*
 * outline.h - position of each field in a YAML file
 *
 * DESCRIPTION
 *	An outline maps the path of each field ("pools[1].pieces") to its line,
 *	column and text. Validation errors take the position from it, and two
 *	files can be compared field by field. It is built in one pass over
 *	libyaml's events, which refuses YAML that a configuration does not need:
 *	anchors, aliases, duplicate fields, a second document, deep nesting and
 *	field names outside [A-Za-z0-9_-].
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
	uint32_t line;	  /* line and column count from 1 */
	uint32_t column;
};

struct outline;

struct outline *outline_create(const char *file, const void *data, size_t size,
			       struct error *err);
void outline_destroy(struct outline *outline);
/* Returns NULL when the file does not have the field. */
const struct outline_node *outline_find(const struct outline *outline,
					const char *path);
/* Returns all nodes in file order, the root (path "") first. */
const struct outline_node *const *outline_nodes(const struct outline *outline,
						size_t *count);
/* Sets the error "file:line:column: path: text". A field that the file does not
 * have gets the position of its closest ancestor. Always returns false. */
bool outline_refuse(const struct outline *outline, struct error *err,
		    const char *path, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
