/* Helpers of the tests of config/: source files and replacements in them. */
#ifndef TESTS_CONFIG_FILES_H
#define TESTS_CONFIG_FILES_H

#include <glib.h>
#include <string.h>

static inline char *source_file(const char *name)
{
	g_autofree char *path = g_build_filename(SOURCE_ROOT, name, NULL);
	char *text;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return text;
}

/* Replaces the first occurrence of from, which must exist. */
static inline char *text_replace(const char *text, const char *from,
				 const char *to)
{
	g_auto(GStrv) parts = g_strsplit(text, from, 2);

	g_assert_cmpuint(g_strv_length(parts), ==, 2);
	return g_strjoinv(to, parts);
}

#endif
