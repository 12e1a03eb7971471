/* The output of the example program equals its golden file. */
#include <glib.h>

#include "golden.h"

static void test_embed(void)
{
	char *argv[] = {EMBED_PROGRAM, NULL};
	char *out = NULL;
	int status = -1;

	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
				   NULL, &out, NULL, &status, NULL));
	g_assert_cmpint(status, ==, 0);
	g_assert_true(golden_same(SOURCE_ROOT "/examples/embed.golden", out));
	g_free(out);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/embed/golden", test_embed);
	return g_test_run();
}
