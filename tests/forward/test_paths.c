/* Runs each script of paths.txt and compares the output with paths.golden. */
#include <glib.h>
#include <string.h>

#include "../golden/golden.h"
#include "paths_world.h"

#define PATHS SOURCE_ROOT "/tests/forward/paths.txt"
#define GOLDEN SOURCE_ROOT "/tests/forward/paths.golden"

static void line_run(GString *out, char *line)
{
	char *colon = strchr(line, ':');
	GString *result;

	if (line[0] == '#' || !colon)
		return;
	*colon = '\0';
	g_string_append_printf(out, "%s:\n", line);
	result = paths_run(colon + 1);
	g_string_append(out, result->str);
	g_string_free(result, TRUE);
}

static void test_paths(void)
{
	g_autofree char *text = NULL;
	g_autoptr(GString) out = g_string_new(NULL);
	g_auto(GStrv) lines = NULL;

	g_assert_true(g_file_get_contents(PATHS, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i]; i++)
		line_run(out, lines[i]);
	g_assert_true(golden_same(GOLDEN, out->str));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/paths", test_paths);
	return g_test_run();
}
