#include "golden.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

bool golden_same(const char *path, const char *text)
{
	g_autofree char *expected = NULL;

	if (g_getenv("JT_GOLDEN_WRITE"))
		g_assert_true(g_file_set_contents(path, text, -1, NULL));
	if (g_file_get_contents(path, &expected, NULL, NULL) &&
	    strcmp(expected, text) == 0)
		return true;
	fprintf(stderr, "%s\n--- expected\n%s--- got\n%s", path,
		expected ? expected : "(no golden file)\n", text);
	return false;
}
