/* Settings from a file, the environment and flags. */
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../fake/rows.h"
#include "common/clock.h"
#include "common/error.h"
#include "forward/settings.h"

#define WHOLE                                                                  \
	"name=a\ndata-centre=b\nlisten=127.0.0.1:1\n"                          \
	"health-listen=127.0.0.1:2\npeer-listen=127.0.0.1:3\n"                 \
	"platform=127.0.0.1:4\n"

static bool file_read(struct forward_settings *settings, const char *text,
		      int argc, char **argv, struct error *err)
{
	g_autofree char *name = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &name, NULL);
	bool good;

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	g_assert_true(g_file_set_contents(name, text, -1, NULL));
	good = forward_settings_read(settings, name, argc, argv, err);
	g_unlink(name);
	return good;
}

struct refused {
	const char *name;
	const char *text;
	const char *reason;
};

static const struct refused rows[] = {
	{"missing", "name=a\n", "data-centre"},
	{"address", WHOLE "listen=nowhere\n", ":7: listen: 'nowhere'"},
	{"number", WHOLE "\n# x\nretry-ratio=much\n", ":9: retry-ratio"},
	{"range", WHOLE "grace-s=0\n", ":7: grace-s"},
	{"heartbeat", WHOLE "heartbeat-ms=0\n", ":7: heartbeat-ms"},
	{"level", WHOLE "log-level=loud\n", ":7: log-level"},
	{"name", WHOLE "name=a b\n", ":7: name"},
	{"seed", WHOLE "seed=127.0.0.1:5,here\n", ":7: seed: 'here'"},
	{"region", WHOLE "region=a:b,c\n", ":7: region: 'c'"},
	{"region of a space", WHOLE "region=a:b c\n", ":7: region: 'a:b c'"},
	{"plain queue", WHOLE "plain-queue=maybe\n",
	 "plain-queue: 'maybe' is not off, on or auto"},
	{"line", WHOLE "retry\n", ":7: not NAME=VALUE"},
};

static void test_refused(gconstpointer data)
{
	static char *argv[] = {(char *)"jtforward", NULL};
	const struct refused *row = data;
	struct forward_settings settings = {.grace_sec = 5};
	struct error err = {0};

	g_assert_false(file_read(&settings, row->text, 1, argv, &err));
	g_assert_cmpint(err.code, ==, RESULT_BAD_SETTING);
	g_assert_nonnull(strstr(err.text, row->reason));
	/* Invalid settings leave the earlier ones unchanged. */
	g_assert_cmpfloat(settings.grace_sec, ==, 5);
}

static void test_order(void)
{
	static char *argv[] = {(char *)"jtforward", (char *)"--grace-s",
			       (char *)"3", NULL};
	struct forward_settings settings;
	struct error err = {0};

	g_setenv("JT_RETRY_SLACK", "17", TRUE);
	g_assert_true(file_read(&settings,
				WHOLE
				"grace-s=9\nretry-slack=54\nretry-ratio=\n"
				"heartbeat-ms=3000\nunknown=1\nplain-queue="
				"on\nregion=x-1:north,x-2:south\n",
				3, argv, &err));
	g_unsetenv("JT_RETRY_SLACK");
	g_assert_cmpint(settings.plain_queue, ==, PLAIN_QUEUE_ON);
	g_assert_cmpstr(settings.name, ==, "a");
	g_assert_cmpfloat(settings.grace_sec, ==, 3);
	g_assert_cmpfloat(settings.retry_slack, ==, 17);
	g_assert_cmpfloat(settings.retry_ratio, ==, 0.2);
	g_assert_cmpint(settings.heartbeat_usec, ==, 3 * USEC_PER_SEC);
	g_assert_cmpuint(settings.region_count, ==, 2);
	g_assert_cmpstr(settings.regions[1].data_centre, ==, "x-2");
	g_assert_cmpstr(settings.regions[1].region, ==, "south");
}

static void test_no_file(void)
{
	static char *argv[] = {(char *)"jtforward", NULL};
	struct forward_settings settings;
	struct error err = {0};

	g_assert_false(
		forward_settings_read(&settings, "/nowhere/s", 1, argv, &err));
	g_assert_nonnull(strstr(err.text, "/nowhere/s"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/forward/settings/refused/", rows, test_refused);
	g_test_add_func("/forward/settings/order", test_order);
	g_test_add_func("/forward/settings/no-file", test_no_file);
	return g_test_run();
}
