/* Text, levels and bounds of log lines. */
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/log.h"

static const struct {
	const char *name;
	const char *value;
	const char *text;
} quoting[] = {
	{"plain", "10.0.0.1:80", "10.0.0.1:80"},
	{"empty", "", "\"\""},
	{"null", NULL, "\"\""},
	{"space", "a b", "\"a b\""},
	{"quote", "a\"b", "\"a\\\"b\""},
	{"backslash", "a\\b", "\"a\\\\b\""},
	{"equals", "a=b", "\"a=b\""},
	{"newline", "a\nevent=forged", "\"a\\nevent=forged\""},
	{"tab", "a\tb", "\"a\\tb\""},
	{"control", "\x1b[0m\x7f", "\"\\x1b[0m\\x7f\""},
	{"utf8", "\xc3\xa5", "\xc3\xa5"},
};

static void test_quoting(void)
{
	log_setup(NULL, NULL, LOG_DEBUG);
	for (size_t i = 0; i < G_N_ELEMENTS(quoting); i++) {
		struct log_field fields[] = {LOG_S("k", quoting[i].value),
					     {.kind = LOG_KIND_END}};
		GString *line = g_string_new(NULL);
		char *want = g_strdup_printf(
			"<6>time=0 level=info event=e k=%s\n", quoting[i].text);

		log_format(line, LOG_INFO, "e", fields);
		g_test_message("%s", quoting[i].name);
		g_assert_cmpstr(line->str, ==, want);
		g_string_free(line, TRUE);
		g_free(want);
	}
}

static void test_line(void)
{
	struct clock *clock = clock_create(1700000000 * USEC_PER_SEC);
	struct log_field fields[] = {
		LOG_D("offset", -12),
		LOG_X("id", 0xabcULL),
		LOG_F("share", 0.25),
		{.kind = LOG_KIND_END},
	};
	GString *line = g_string_new(NULL);

	clock_advance(clock, 1500);
	log_setup(clock, "entry", LOG_INFO);
	log_format(line, LOG_ERR, "lease_lost", fields);
	g_assert_cmpstr(line->str, ==,
			"<3>time=1700000000.001500 level=err event=lease_lost "
			"program=entry offset=-12 id=0000000000000abc "
			"share=0.25\n");
	log_setup(NULL, NULL, LOG_INFO);
	g_string_free(line, TRUE);
	clock_destroy(clock);
}

/* Lines go to standard error, except those above the configured level. */
static void test_write(void)
{
	if (g_test_subprocess()) {
		log_setup(NULL, "t", LOG_WARNING);
		log_event(LOG_INFO, "quiet");
		log_event(LOG_WARNING, "loud", LOG_D("n", 1));
		return;
	}
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_passed();
	g_test_trap_assert_stderr(
		"<4>time=0 level=warning event=loud program=t n=1\n");
	g_test_trap_assert_stderr_unmatched("*quiet*");
}

static void test_level(void)
{
	struct error err;
	int level = -1;

	g_assert_true(log_level_parse("notice", &level, &err));
	g_assert_cmpint(level, ==, LOG_NOTICE);
	g_assert_false(log_level_parse("loud", &level, &err));
	g_assert_cmpint(err.code, ==, RESULT_BAD_SETTING);
	g_assert_false(log_level_parse(NULL, &level, &err));
	g_assert_cmpint(level, ==, LOG_NOTICE);
}

static char *pipe_read(int fd)
{
	GString *text = g_string_new(NULL);
	char part[4096];
	ssize_t n;

	for (;;) {
		log_flush();
		n = read(fd, part, sizeof(part));
		if (n <= 0)
			return g_string_free(text, FALSE);
		g_string_append_len(text, part, n);
	}
}

static guint lines_count(const char *text, const char *mark)
{
	guint count = 0;

	for (const char *at = text; (at = strstr(at, mark)); at++)
		count++;
	return count;
}

/* When the reader stops, writes do not block. Lines are dropped, those of level
 * info first, and their number is logged. */
static void test_bounded(void)
{
	struct clock *clock = clock_create(0);
	g_autofree char *text = NULL;
	g_autofree char *later = NULL;
	int fds[2];
	int64_t dropped = 0;

	g_assert_cmpint(pipe2(fds, O_NONBLOCK), ==, 0);
	log_setup(clock, "p", LOG_INFO);
	log_redirect(fds[1]);
	for (int i = 0; i < 20000; i++)
		log_event(LOG_INFO, "often", LOG_D("i", i));
	for (int i = 0; i < 100; i++)
		log_event(LOG_NOTICE, "failure", LOG_D("i", i));
	text = pipe_read(fds[0]);
	g_assert_cmpuint(strlen(text), <=, 600 << 10);
	g_assert_cmpuint(lines_count(text, "event=failure"), ==, 100);
	g_assert_cmpuint(lines_count(text, "event=often"), <, 20000);
	dropped = 20000 - lines_count(text, "event=often");
	g_assert_cmpint(
		g_ascii_strtoll(strstr(text, " lines=") + strlen(" lines="),
				NULL, 10),
		==, dropped);
	clock_advance(clock, 10 * USEC_PER_SEC);
	log_event(LOG_INFO, "again");
	later = pipe_read(fds[0]);
	g_assert_cmpuint(lines_count(later, "event=again"), ==, 1);
	log_setup(NULL, NULL, LOG_DEBUG);
	clock_destroy(clock);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/quoting", test_quoting);
	g_test_add_func("/log/line", test_line);
	g_test_add_func("/log/write", test_write);
	g_test_add_func("/log/level", test_level);
	/* Must be the last test: it redirects all further lines to a pipe. */
	g_test_add_func("/log/bounded", test_bounded);
	return g_test_run();
}
