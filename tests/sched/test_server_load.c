/*
 * What a server states of its load. A value that is cut short, negative or
 * absurd must not reach a decision, since a server in trouble may send any
 * bytes.
 */
#include <glib.h>
#include <string.h>

#include "platform/signals.h"

static bool load_read(const char *text, struct server_load *load)
{
	const struct web_text value = {text, strlen(text)};

	return platform_load_read(value, load);
}

static void test_stated(void)
{
	struct server_load load;

	g_assert_true(load_read("3,1,6", &load));
	g_assert_cmpuint(load.running, ==, 3);
	g_assert_cmpuint(load.waiting, ==, 1);
	g_assert_cmpuint(load.slots, ==, 6);
	g_assert_cmpfloat(load.pace, ==, 0.0);
	g_assert_true(load_read("12,0,12,250", &load));
	g_assert_cmpfloat_with_epsilon(load.pace, 2.5, 1e-9);
	/* A later release of the servers may state more. */
	g_assert_true(load_read("1,0,6,100,7", &load));
	g_assert_cmpfloat_with_epsilon(load.pace, 1.0, 1e-9);
}

static void test_rejected(void)
{
	static const char *const rows[] = {
		"",
		"3",
		"3,1",
		"3,1,",
		"3,1,0",
		"-3,1,6",
		"3,1,6,-100",
		"3,1,6,0",
		"3,1,6,0x64",
		"3,1,6,1e9",
		"3;1;6",
		"3,1,6,",
		"3,1,99999999999999999999",
	};
	struct server_load load;

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		if (load_read(rows[i], &load))
			g_error("'%s' was read", rows[i]);
		g_assert_false(load.known);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/server-load/stated", test_stated);
	g_test_add_func("/sched/server-load/rejected", test_rejected);
	return g_test_run();
}
