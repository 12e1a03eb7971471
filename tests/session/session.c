#include "session.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "golden.h"
#include "web/client.h"
#include "web/loop.h"

#define CONDITION_POLL_USEC (5 * USEC_PER_MSEC)

static bool file_write(struct session *session, int argc, char **argv);

static const struct step {
	const char *name;
	bool (*run)(struct session *session, int argc, char **argv);
} steps[] = {
	{"start", process_start},   {"spawn", process_spawn},
	{"run", process_run},	    {"wait", process_wait},
	{"signal", process_signal}, {"log", process_log},
	{"call", http_call},	    {"await", http_await},
	{"answer", http_answer},    {"hang-up", http_hang_up},
	{"poll", http_poll},	    {"set", http_set},
	{"answers", http_answers},  {"read", http_read},
	{"same", http_same},	    {"relay", relay_start},
	{"cut", relay_switch},	    {"mend", relay_switch},
	{"write", file_write},
};

static bool script_run(struct session *session, const char *file);

struct wait {
	struct session *session;
	session_predicate fn;
	void *ctx;
	struct timer poll_timer;
	int64_t end;
	bool done;
};

static void wait_poll(struct timer *timer, void *ctx)
{
	struct wait *wait = ctx;

	wait->done = wait->fn(wait->ctx);
	if (wait->done || clock_now(wait->session->clock) >= wait->end)
		loop_stop(wait->session->loop);
	else
		timer_start(timer, CONDITION_POLL_USEC);
}

bool session_wait_until(struct session *session, session_predicate fn,
			void *ctx)
{
	struct wait wait = {
		.session = session,
		.fn = fn,
		.ctx = ctx,
		.end = clock_now(session->clock) +
		       SESSION_TIMEOUT_SEC * USEC_PER_SEC,
	};

	timer_init(&wait.poll_timer, session->clock, wait_poll, &wait);
	timer_start(&wait.poll_timer, 0);
	loop_run(session->loop);
	return wait.done;
}

bool session_fail(struct session *session, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	g_string_append_printf(session->out, "  FAILED: %s\n", text);
	g_free(text);
	return false;
}

void session_show(struct session *session, const char *text)
{
	char *normalised = text_normalise(session, text);
	char **lines = g_strsplit(normalised, "\n", -1);

	for (char **line = lines; *line != NULL; line++)
		if (**line != '\0')
			g_string_append_printf(session->out, "  %s\n",
					       g_strchomp(*line));
	g_strfreev(lines);
	g_free(normalised);
}

/* Replaces each ${NAME} by its value; NULL when a variable is not set. */
static char *variables_expand(struct session *session, const char *line)
{
	GString *out = g_string_new(NULL);
	const char *at;
	const char *end;

	while ((at = strstr(line, "${")) != NULL &&
	       (end = strchr(at, '}')) != NULL) {
		char *name = g_strndup(at + 2, (gsize)(end - at - 2));
		const char *value =
			g_hash_table_lookup(session->variables, name);

		if (value == NULL) {
			session_fail(session, "%s is not set", name);
			g_free(name);
			g_string_free(out, TRUE);
			return NULL;
		}
		g_free(name);
		g_string_append_len(out, line, at - line);
		g_string_append(out, value);
		line = end + 1;
	}
	g_string_append(out, line);
	return g_string_free(out, FALSE);
}

static bool step_run(struct session *session, int argc, char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++)
		if (strcmp(steps[i].name, argv[0]) == 0)
			return steps[i].run(session, argc, argv);
	return session_fail(session, "no such step");
}

/* write NAME TEXT: replaces the file NAME in the folder of the run. */
static bool file_write(struct session *session, int argc, char **argv)
{
	char *path = argc == 3 ? g_build_filename(session->dir, argv[1], NULL)
			       : NULL;
	bool ok = path && g_file_set_contents(path, argv[2], -1, NULL);

	g_free(path);
	return ok || session_fail(session, "write NAME TEXT");
}

static bool filter_set(struct session *session, const char *pattern)
{
	if (session->filter != NULL)
		g_regex_unref(session->filter);
	session->filter = g_regex_new(pattern, 0, 0, NULL);
	return session->filter != NULL;
}

/* Runs the directives of the script itself; all other lines are steps. */
static bool directive_run(struct session *session, int argc, char **argv)
{
	if (strcmp(argv[0], "include") == 0 && argc == 2)
		return script_run(session, argv[1]);
	if (strcmp(argv[0], "let") == 0 && argc == 3) {
		g_hash_table_replace(session->variables, g_strdup(argv[1]),
				     g_strdup(argv[2]));
		return true;
	}
	if (strcmp(argv[0], "filter") == 0 && argc == 2) {
		return filter_set(session, argv[1]);
	}
	return step_run(session, argc, argv);
}

static bool line_run(struct session *session, const char *line)
{
	char *text = variables_expand(session, line);
	GError *error = NULL;
	char **argv = NULL;
	int argc = 0;
	bool ok;

	if (text == NULL)
		return false;
	if (g_shell_parse_argv(text, &argc, &argv, &error)) {
		ok = directive_run(session, argc, argv);
	} else {
		ok = session_fail(session, "%s", error->message);
		g_error_free(error);
	}
	g_strfreev(argv);
	g_free(text);
	return ok;
}

/* Splits into lines; a trailing backslash continues a line on the next. */
static char **lines_split(char *text)
{
	char **parts = g_strsplit(text, "\\\n", -1);
	char *joined = g_strjoinv("", parts);
	char **lines = g_strsplit(joined, "\n", -1);

	g_strfreev(parts);
	g_free(joined);
	return lines;
}

static bool script_run(struct session *session, const char *file)
{
	char *path =
		g_build_filename(session->source, "tests/session", file, NULL);
	char *text = NULL;
	char **lines;
	bool ok = true;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		g_free(path);
		return session_fail(session, "%s: cannot read", file);
	}
	g_free(path);
	lines = lines_split(text);
	for (char **line = lines; ok && *line != NULL; line++) {
		g_strstrip(*line);
		if (**line == '\0' || **line == '#')
			continue;
		g_string_append_printf(session->out, "%s\n", *line);
		ok = line_run(session, *line);
	}
	g_strfreev(lines);
	g_free(text);
	return ok;
}

static void session_open(struct session *session)
{
	session->clock = clock_create_system();
	log_setup(session->clock, "session", LOG_ERR);
	session->loop = loop_create(session->clock);
	session->client = web_client_create(session->loop);
	session->dir = g_dir_make_tmp("session.XXXXXX", NULL);
	session->out = g_string_new(NULL);
	session->variables =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	session->processes = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, process_free);
	session->calls =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, call_free);
	session->relays = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						relay_free);
	g_hash_table_insert(session->variables, g_strdup("source"),
			    g_strdup(session->source));
	g_hash_table_insert(session->variables, g_strdup("dir"),
			    g_strdup(session->dir));
}

static void dir_remove(const char *dir, bool show)
{
	GDir *files = g_dir_open(dir, 0, NULL);
	const char *name;

	while (files != NULL && (name = g_dir_read_name(files)) != NULL) {
		char *path = g_build_filename(dir, name, NULL);
		char *text = NULL;

		if (show && g_file_get_contents(path, &text, NULL, NULL))
			fprintf(stderr, "--- %s\n%s", name, text);
		g_free(text);
		g_unlink(path);
		g_free(path);
	}
	if (files != NULL)
		g_dir_close(files);
	g_rmdir(dir);
}

static void session_close(struct session *session, bool failed)
{
	g_hash_table_destroy(session->calls);
	g_hash_table_destroy(session->processes);
	g_hash_table_destroy(session->relays);
	g_hash_table_destroy(session->variables);
	if (session->filter != NULL)
		g_regex_unref(session->filter);
	web_client_destroy(session->client);
	loop_destroy(session->loop);
	clock_destroy(session->clock);
	dir_remove(session->dir, failed);
	g_free(session->dir);
	g_string_free(session->out, TRUE);
}

static bool golden_compare(const struct session *session, const char *script)
{
	char *base = g_strndup(script, strlen(script) - strlen(".session"));
	char *path = g_strdup_printf("%s/tests/session/%s.golden",
				     session->source, base);
	bool same = golden_same(path, session->out->str);

	g_free(path);
	g_free(base);
	return same;
}

int main(int argc, char **argv)
{
	struct session session = {0};
	bool ok;

	if (argc != 4 || !g_str_has_suffix(argv[3], ".session")) {
		fprintf(stderr, "usage: session BUILD SOURCE NAME.session\n");
		return 2;
	}
	session.build = argv[1];
	session.source = argv[2];
	session_open(&session);
	ok = script_run(&session, argv[3]);
	ok = golden_compare(&session, argv[3]) && ok;
	session_close(&session, !ok);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
