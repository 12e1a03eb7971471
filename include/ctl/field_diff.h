/*
 * field_diff.h - compares two configuration files field by field
 *
 * DESCRIPTION
 *	List entries are paired by name (links by their two ends), so an entry
 *	that moved within its list is no difference. Defaults are not filled in:
 *	a field that states its default differs from one left out.
 */
#ifndef CTL_FIELD_DIFF_H
#define CTL_FIELD_DIFF_H

#include <glib.h>

#include "common/error.h"

struct field_change {
	char *path;
	char *before; /* NULL: added */
	char *after;  /* NULL: removed */
};

/* The struct field_change of all fields that differ, sorted by path; NULL when
 * a file is not valid YAML. */
GPtrArray *field_diff(const char *before_name, const char *before,
		      size_t before_size, const char *after_name,
		      const char *after, size_t after_size, struct error *err);

#endif
