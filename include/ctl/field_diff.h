/*
 * field_diff.h - what differs between two files, field by field
 *
 * DESCRIPTION
 *	Entries of a list are paired by name (a link by its two ends), so that
 *	an entry that moved is no difference. Only what the files say is
 *	compared: a default that is written out is a difference.
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

/* Changes sorted by path; NULL when a file is no YAML. */
GPtrArray *field_diff(const char *before_name, const char *before,
		      size_t before_size, const char *after_name,
		      const char *after, size_t after_size, struct error *err);

#endif
