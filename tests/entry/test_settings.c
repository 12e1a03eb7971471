/* Settings by flag and environment variable, and the errors of bad values. */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "entry/settings.h"

#define ARGS_MAX 24

struct bad_case {
	const char *args;     /* split at spaces, after the required two */
	const char *variable; /* "NAME=value", or NULL */
	const char *text;
};

#define ADDRESS "is not an address IP:PORT"
#define NAME "is not a name of 1 to 63 letters, digits, '.', '-' or '_'"
#define SEED "is not NAME@DATA_CENTRE@IP:PORT"

static const struct bad_case bad_cases[] = {
	{"--name=", NULL, "--name: '' " NAME},
	{"--name=a/b", NULL, "--name: 'a/b' " NAME},
	{"--data-centre=x@y", NULL, "--data-centre: 'x@y' " NAME},
	{"--listen=localhost:80", NULL, "--listen: 'localhost:80' " ADDRESS},
	{"--listen=127.0.0.1", NULL, "--listen: '127.0.0.1' " ADDRESS},
	{"--admin-listen=1.2.3.4:65536", NULL,
	 "--admin-listen: '1.2.3.4:65536' " ADDRESS},
	{"--peer-listen=[::1:80", NULL, "--peer-listen: '[::1:80' " ADDRESS},
	{"--platform=127.0.0.1:0", NULL, "--platform: '127.0.0.1:0' " ADDRESS},
	{"--seed=a@b", NULL, "--seed: 'a@b' " SEED},
	{"--seed=@b@1.2.3.4:5", NULL, "--seed: '@b@1.2.3.4:5' " SEED},
	{"--seed=a@b@1.2.3.4:0", NULL, "--seed: 'a@b@1.2.3.4:0' " SEED},
	{"--config-file=", NULL, "--config-file: '' is not a file name"},
	{"--random-seed=-1", NULL, "--random-seed: '-1' is not a whole number"},
	{"--random-seed=4294967296", NULL,
	 "--random-seed: 4294967296 is not between 0 and 4294967295"},
	{"--heartbeat-ms=9", NULL,
	 "--heartbeat-ms: 9 is not between 10 and 60000"},
	{"--heartbeat-ms=1s", NULL,
	 "--heartbeat-ms: '1s' is not a whole number"},
	{"--settle-ms=", NULL, "--settle-ms: '' is not a whole number"},
	{"--orphan-grace-ms=60001", NULL,
	 "--orphan-grace-ms: 60001 is not between 0 and 60000"},
	{"--coalesce-ms=1001", NULL,
	 "--coalesce-ms: 1001 is not between 0 and 1000"},
	{"--peer-datagrams=maybe", NULL,
	 "--peer-datagrams: 'maybe' is neither yes nor no"},
	{"",
	 "JT_PEER_DATAGRAMS=", "JT_PEER_DATAGRAMS: '' is neither yes nor no"},
	{"--drain-ms=99999999999999999999", NULL,
	 "--drain-ms: 99999999999999999999 is not between 0 and 86400000"},
	{"--drain-delay-ms=x", NULL,
	 "--drain-delay-ms: 'x' is not a whole number"},
	{"--log-retention-ms=5", NULL,
	 "--log-retention-ms: 5 is not between 1000 and 31622400000"},
	{"--list-ms=0", NULL, "--list-ms: 0 is not between 10 and 3600000"},
	{"--role-dwell-ms=4999", NULL,
	 "--role-dwell-ms: 4999 is not between 5000 and 3600000"},
	{"--poll-ms=0x10", NULL, "--poll-ms: '0x10' is not a whole number"},
	{"--body-bytes-max=1", NULL,
	 "--body-bytes-max: 1 is not between 1024 and 1073741824"},
	{"--connections-max=0", NULL,
	 "--connections-max: 0 is not between 1 and 1000000"},
	{"--requests-max=1000001", NULL,
	 "--requests-max: 1000001 is not between 1 and 1000000"},
	{"--replay-bytes-max=4294967297", NULL,
	 "--replay-bytes-max: 4294967297 is not between 0 and 4294967296"},
	{"extra", NULL, "unexpected argument 'extra'"},
	{"--no-such-flag", NULL,
	 "unknown flag, or one without its value; see --help"},
	{"--poll-ms", NULL,
	 "unknown flag, or one without its value; see --help"},
	{"", "JT_LIST_MS=soon", "JT_LIST_MS: 'soon' is not a whole number"},
	{"", "JT_LISTEN=80", "JT_LISTEN: '80' " ADDRESS},
	{"", "JT_SEEDS=a@b@1.2.3.4:5,c", "JT_SEEDS: 'c' " SEED},
};

static bool args_read(struct settings *settings, const char *required,
		      const char *args, struct error *err)
{
	g_autofree char *line =
		g_strstrip(g_strjoin(" ", "jtentry", required, args, NULL));
	g_auto(GStrv) words = g_strsplit(line, " ", ARGS_MAX);
	char *argv[ARGS_MAX + 1] = {NULL};
	int argc = 0;

	for (char **word = words; *word; word++)
		argv[argc++] = (char *)g_intern_string(*word);
	return settings_read(settings, argc, argv, err);
}

static void test_bad(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
		const struct bad_case *row = &bad_cases[i];
		g_auto(GStrv) pair =
			g_strsplit(row->variable ? row->variable : "=", "=", 2);
		struct settings settings;
		struct error err = {0};

		if (row->variable)
			g_setenv(pair[0], pair[1], TRUE);
		g_assert_false(args_read(&settings,
					 "--name=n1 --data-centre=d1",
					 row->args, &err));
		g_assert_cmpstr(err.text, ==, row->text);
		g_assert_cmpint(err.code, ==, RESULT_BAD_SETTING);
		/* The value is refused without an error argument as well. */
		g_assert_false(args_read(&settings,
					 "--name=n1 --data-centre=d1",
					 row->args, NULL));
		if (row->variable)
			g_unsetenv(pair[0]);
	}
}

static void test_level(void)
{
	struct settings settings;
	struct error err = {0};

	g_assert_false(args_read(&settings, "--name=n1 --data-centre=d1",
				 "--log-level=loud", &err));
	g_assert_cmpint(err.code, ==, RESULT_BAD_SETTING);
	g_assert_true(g_str_has_prefix(err.text, "--log-level: "));
}

static void test_missing(void)
{
	struct settings settings;
	struct error err = {0};

	g_assert_false(args_read(&settings, "--name=n1", "", &err));
	g_assert_cmpstr(err.text, ==,
			"--data-centre (or JT_DATA_CENTRE) is missing");
	g_assert_false(args_read(&settings, "--data-centre=d1", "", &err));
	g_assert_cmpstr(err.text, ==, "--name (or JT_NAME) is missing");
}

static void test_seeds_bounded(void)
{
	GString *args = g_string_new(NULL);
	struct settings settings;
	struct error err = {0};

	for (int i = 0; i <= SETTINGS_SEEDS_MAX; i++)
		g_string_append(args, "a@b@1.2.3.4:5,");
	g_setenv("JT_SEEDS", args->str, TRUE);
	g_assert_false(
		args_read(&settings, "--name=n1 --data-centre=d1", "", &err));
	g_assert_cmpstr(err.text, ==, "JT_SEEDS: more than 16 seeds");
	g_unsetenv("JT_SEEDS");
	g_string_free(args, TRUE);
}

static void test_defaults(void)
{
	struct settings settings;
	struct error err = {0};

	g_assert_true(
		args_read(&settings, "--name=n1 --data-centre=d1", "", &err));
	g_assert_cmpstr(settings.name, ==, "n1");
	g_assert_cmpstr(settings.data_centre, ==, "d1");
	g_assert_cmpstr(settings.listen, ==, "127.0.0.1:8080");
	g_assert_null(settings.platform);
	g_assert_null(settings.config_file);
	g_assert_cmpuint(settings.seed_count, ==, 0);
	g_assert_cmpint(settings.heartbeat_usec, ==, 500 * USEC_PER_MSEC);
	g_assert_cmpint(settings.coalesce_usec, ==, 2 * USEC_PER_MSEC);
	g_assert_true(settings.peer_datagrams);
	g_assert_cmpint(settings.drain_usec, ==, 0);
	g_assert_cmpint(settings.role_dwell_usec, ==, 60 * USEC_PER_SEC);
	g_assert_cmpuint(settings.body_bytes_max, ==, 8u << 20);
}

static void test_flag_wins(void)
{
	struct settings settings;
	struct error err = {0};

	g_setenv("JT_POLL_MS", "77", TRUE);
	g_setenv("JT_LIST_MS", "88", TRUE);
	g_setenv("JT_SEEDS", "a@b@1.2.3.4:5,c@d@[::1]:6", TRUE);
	g_assert_true(args_read(&settings, "--name=n1 --data-centre=d1",
				"--poll-ms=66 --listen=[::1]:0 "
				"--peer-datagrams=no",
				&err));
	g_assert_false(settings.peer_datagrams);
	g_assert_cmpint(settings.poll_usec, ==, 66 * USEC_PER_MSEC);
	g_assert_cmpint(settings.list_usec, ==, 88 * USEC_PER_MSEC);
	g_assert_cmpstr(settings.listen, ==, "[::1]:0");
	g_assert_cmpuint(settings.seed_count, ==, 2);
	g_assert_cmpstr(settings.seeds[1], ==, "c@d@[::1]:6");
	/* A single --seed flag replaces all seeds of the variable. */
	g_assert_true(args_read(&settings, "--name=n1 --data-centre=d1",
				"--seed=e@f@1.2.3.4:7", &err));
	g_assert_cmpuint(settings.seed_count, ==, 1);
	g_unsetenv("JT_POLL_MS");
	g_unsetenv("JT_LIST_MS");
	g_unsetenv("JT_SEEDS");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/bad", test_bad);
	g_test_add_func("/settings/level", test_level);
	g_test_add_func("/settings/missing", test_missing);
	g_test_add_func("/settings/seeds-bounded", test_seeds_bounded);
	g_test_add_func("/settings/defaults", test_defaults);
	g_test_add_func("/settings/flag-wins", test_flag_wins);
	return g_test_run();
}
