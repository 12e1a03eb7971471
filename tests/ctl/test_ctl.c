/* Compares sessions of jtctl against a scripted daemon with golden files: the
 * output, the exit code, and the requests that the daemon received.
 * JT_GOLDEN_WRITE=1 rewrites the files. */
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "ctl/command.h"
#include "ctl/completion.h"
#include "ctl/ctl.h"
#include "ctl/exit_code.h"
#include "fake_admin.h"
#include "golden.h"
#include "policy/policy.h"
#include "rows.h"
#include "web/client.h"

#define ROOT SOURCE_ROOT "/"
#define TESTS ROOT "tests/ctl/"

/* In the command line, BASE is a valid file, CHANGED an edit of it, BAD and
 * CONTROL files with errors, A and B saved reports, SAVED a file to write. */
struct session {
	const char *name;
	enum fake_mode mode;
	const char *command;
};

static const struct session sessions[] = {
	{"validate", FAKE_OK, "validate BASE"},
	{"validate-json", FAKE_OK, "validate --json BASE"},
	{"validate-remote", FAKE_OK, "validate --remote BASE"},
	{"validate-bad", FAKE_OK, "validate BAD"},
	{"validate-bad-json", FAKE_OK, "--json validate BAD"},
	{"validate-control", FAKE_OK, "validate CONTROL"},
	{"diff-control", FAKE_OK, "diff BASE CONTROL"},
	{"validate-policy", FAKE_OK, "validate POLICY"},
	{"validate-parameter", FAKE_OK, "validate PARAMETER"},
	{"validate-range", FAKE_OK, "validate RANGE"},
	{"validate-missing", FAKE_OK, "validate /nowhere"},
	{"apply", FAKE_OK, "apply --author ana BASE"},
	{"apply-base", FAKE_OK, "apply --base 7 --author a&b BASE"},
	{"apply-author", FAKE_OK,
	 "apply --author "
	 "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa "
	 "BASE"},
	{"apply-first", FAKE_EMPTY, "apply BASE"},
	{"apply-json", FAKE_OK, "apply --json BASE"},
	{"apply-stale", FAKE_STALE, "apply --base 5 BASE"},
	{"apply-bad", FAKE_OK, "apply BAD"},
	{"apply-refused", FAKE_BAD, "apply BASE"},
	{"apply-log-down", FAKE_LOG_DOWN, "apply BASE"},
	{"apply-cut", FAKE_ABORTED, "apply BASE"},
	{"show", FAKE_OK, "show"},
	{"show-empty", FAKE_EMPTY, "show"},
	{"diff", FAKE_OK, "diff BASE CHANGED"},
	{"diff-json", FAKE_OK, "diff --json BASE CHANGED"},
	{"diff-in-force", FAKE_OK, "diff CHANGED"},
	{"diff-same", FAKE_OK, "diff BASE"},
	{"diff-empty", FAKE_EMPTY, "diff BASE"},
	{"explain", FAKE_OK, "explain r1 LOG"},
	{"explain-json", FAKE_OK, "explain --json r1 LOG"},
	{"explain-open", FAKE_OK, "explain r2 LOG"},
	{"explain-work", FAKE_OK, "explain r9 LOG"},
	{"explain-nobody", FAKE_OK, "explain r3 LOG"},
	{"explain-no-file", FAKE_OK, "explain r1 /nowhere"},
	{"explain-no-log", FAKE_OK, "explain r1"},
	{"losses", FAKE_OK, "losses LOSSES"},
	{"losses-json", FAKE_OK, "losses --json LOSSES"},
	{"losses-no-file", FAKE_OK, "losses LOSSES /nowhere"},
	{"losses-no-log", FAKE_OK, "losses"},
	{"history", FAKE_OK, "history"},
	{"history-json", FAKE_OK, "history --json"},
	{"status", FAKE_OK, "status"},
	{"status-next", FAKE_OK, "status --admin 127.0.0.1:1,ADMIN"},
	{"status-unreached", FAKE_OK, "status --admin 127.0.0.1:1"},
	{"status-not-json", FAKE_NOT_JSON, "status"},
	{"measures", FAKE_OK, "measures"},
	{"measures-two", FAKE_OK, "measures --admin ADMIN,ADMIN"},
	{"measures-window", FAKE_OK,
	 "measures --window 0.001 --apply BASE --save SAVED"},
	{"measures-restart", FAKE_RESTART, "measures --window 0.001"},
	{"measures-restart-second", FAKE_RESTART,
	 "measures --admin ADMIN,ADMIN --window 0.001"},
	{"measures-files", FAKE_OK, "measures A B"},
	{"measures-file-bad", FAKE_OK, "measures BASE"},
	{"measures-apply", FAKE_OK, "measures --apply BASE"},
	{"help", FAKE_OK, "--help"},
	{"help-apply", FAKE_OK, "apply --help"},
	{"no-command", FAKE_OK, ""},
	{"unknown-command", FAKE_OK, "remove"},
	{"missing-file", FAKE_OK, "apply"},
	{"bad-base", FAKE_OK, "apply --base x BASE"},
	{"bad-window", FAKE_OK, "measures --window 0"},
	{"completions-other", FAKE_OK, "completions tcsh"},
};

static const char *const substitutions[][2] = {
	{"BASE", ROOT "tests/config/base.yaml"},
	{"CHANGED", TESTS "changed.yaml"},
	{"BAD", TESTS "bad.yaml"},
	{"CONTROL", TESTS "control.yaml"},
	{"POLICY", TESTS "policy.yaml"},
	{"PARAMETER", TESTS "parameter.yaml"},
	{"RANGE", TESTS "range.yaml"},
	{"LOG", TESTS "one.log"},
	{"LOSSES", TESTS "losses.log"},
	{"A", TESTS "before.json"},
	{"B", TESTS "after.json"},
};

struct run {
	struct clock *clock;
	struct loop *loop;
	struct fake_admin *fake;
	char *saved;
};

static char *word_expand(const struct run *run, const char *word)
{
	const char *address = web_server_address(run->fake->server);
	g_auto(GStrv) parts = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(substitutions); i++) {
		if (strcmp(substitutions[i][0], word) == 0)
			return g_strdup(substitutions[i][1]);
	}
	if (strcmp(word, "SAVED") == 0)
		return g_strdup(run->saved);
	parts = g_strsplit(word, "ADMIN", -1);
	return g_strjoinv(address, parts);
}

static char *text_replace(char *text, const char *from, const char *to)
{
	g_auto(GStrv) parts = g_strsplit(text, from, -1);

	g_free(text);
	return g_strjoinv(to, parts);
}

static int ctl_call(struct run *run, const char *command, FILE *out)
{
	g_autofree char *line = g_strdup_printf("jtctl %s", command);
	g_auto(GStrv) argv = g_strsplit(g_strchomp(line), " ", -1);
	g_autofree char **arguments = NULL;
	struct ctl ctl = {
		.loop = run->loop,
		.client = web_client_create(run->loop),
		.out = out,
		.err = out,
		.admin = web_server_address(run->fake->server),
	};
	guint count = g_strv_length(argv);
	int code;

	for (guint i = 0; i < count; i++) {
		char *word = argv[i];

		argv[i] = word_expand(run, word);
		g_free(word);
	}
	/* argp reorders argv. */
	arguments = g_memdup2(argv, (count + 1) * sizeof(*argv));
	code = ctl_run(&ctl, (int)count, arguments);
	web_client_destroy(ctl.client);
	return code;
}

static char *file_append(char *text, const char *file)
{
	g_autofree char *content = NULL;
	char *whole;

	g_assert_true(g_file_get_contents(file, &content, NULL, NULL));
	whole = g_strconcat(text, content, NULL);
	g_free(text);
	return whole;
}

/* The transcript of a session, with what differs between runs replaced. */
static char *session_run(const struct session *session)
{
	struct run run = {.clock = clock_create_system()};
	char *text = NULL;
	size_t size;
	FILE *out = open_memstream(&text, &size);
	int fd = g_file_open_tmp("jtctl-XXXXXX", &run.saved, NULL);
	int code;

	g_close(fd, NULL);
	run.loop = loop_create(run.clock);
	run.fake = fake_admin_create(run.loop, session->mode);
	fprintf(out, "$ jtctl%s%s\n", *session->command ? " " : "",
		session->command);
	code = ctl_call(&run, session->command, out);
	fprintf(out, "exit code %d\n%s", code, run.fake->requests->str);
	fclose(out);
	text = text_replace(text, web_server_address(run.fake->server),
			    "ADMIN");
	text = text_replace(text, SOURCE_ROOT "/", "");
	if (strstr(session->command, "SAVED")) {
		text = text_replace(text, run.saved, "SAVED");
		text = file_append(text, run.saved);
	}
	g_unlink(run.saved);
	g_free(run.saved);
	fake_admin_destroy(run.fake);
	loop_destroy(run.loop);
	clock_destroy(run.clock);
	return text;
}

static void test_session(gconstpointer data)
{
	const struct session *session = data;
	g_autofree char *path =
		g_strdup_printf(TESTS "golden/%s.txt", session->name);
	g_autofree char *text = session_run(session);

	g_assert_true(golden_same(path, text));
}

static void test_completions(void)
{
	static const char *const shells[] = {"bash", "fish", "zsh"};

	for (size_t i = 0; i < G_N_ELEMENTS(shells); i++) {
		g_autofree char *path = g_strdup_printf(
			ROOT "ctl/completions/jtctl.%s", shells[i]);
		char *text = NULL;
		size_t size;
		FILE *out = open_memstream(&text, &size);

		g_assert_true(completion_print(out, shells[i]));
		fclose(out);
		g_assert_true(golden_same(path, text));
		free(text);
	}
}

/* No golden file: the list changes with each policy that is added. */
static void test_policies(void)
{
	static const struct session text_session = {.command = "policies"};
	static const struct session json_session = {.command =
							    "policies --json"};
	g_autofree char *text = session_run(&text_session);
	g_autofree char *json = session_run(&json_session);
	size_t count;
	const struct policy_ops *const *policies = policy_all(&count);

	g_assert_cmpuint(count, >, 1);
	for (size_t i = 0; i < count; i++) {
		g_autofree char *line =
			g_strdup_printf("\n%s ", policies[i]->name);
		g_autofree char *field =
			g_strdup_printf("\"name\": \"%s\"", policies[i]->name);

		g_assert_nonnull(strstr(text, line));
		g_assert_nonnull(strstr(text, policies[i]->summary));
		g_assert_nonnull(strstr(json, field));
		for (size_t k = 0; k < policies[i]->param_count; k++) {
			const char *help = policies[i]->params[k].help;

			g_assert_nonnull(strstr(text, help));
			g_assert_nonnull(strstr(json, help));
		}
	}
	g_assert_nonnull(strstr(json, "exit code 0"));
}

static void test_table(void)
{
	size_t count;
	const struct command *const *commands = command_all(&count);

	for (size_t i = 0; i < count; i++) {
		g_assert_true(command_find(commands[i]->name) == commands[i]);
		if (i > 0)
			g_assert_cmpstr(commands[i - 1]->name, <,
					commands[i]->name);
	}
	g_assert_null(command_find(""));
}

static void test_exit_codes(void)
{
#define X(name, number, label, outcome, status)                                \
	g_assert_cmpint(exit_code_of(name), <, 256);                           \
	g_assert_true((exit_code_of(name) == EXIT_CODE_OK) ==                  \
		      ((name) == RESULT_OK));
	RESULT_CODES(X)
#undef X
	g_assert_cmpint(exit_code_of(RESULT_QUEUE_FULL), ==, EXIT_CODE_REFUSED);
}

/* The row for an exit code in the table of the manual page. */
static char *manual_row(const char *page, enum exit_code code)
{
	g_autofree char *start = g_strdup_printf("|  %d\n", (int)code);
	const char *row = strstr(page, start);
	const char *end;

	g_assert_nonnull(row);
	end = strpbrk(row + 1, "|#");
	return g_strndup(row, end - row);
}

static void test_manual(void)
{
	g_autofree char *page = NULL;

	g_assert_true(
		g_file_get_contents(ROOT "ctl/jtctl.1.scd", &page, NULL, NULL));
	for (int code = 0; code < 1000; code++) {
		enum exit_code exit_code = exit_code_of(code);
		g_autofree char *row = manual_row(page, exit_code);
		g_autofree char *number = g_strdup_printf("\\b%d\\b", code);
		const char *codes = strrchr(row, ':');

		if (exit_code == EXIT_CODE_REFUSED)
			g_assert_nonnull(strstr(codes, "all others"));
		else
			g_assert_true(
				g_regex_match_simple(number, codes, 0, 0));
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_unsetenv("ARGP_HELP_FMT");
	ROWS_ADD("/ctl/", sessions, test_session);
	g_test_add_func("/ctl/completions", test_completions);
	g_test_add_func("/ctl/policies", test_policies);
	g_test_add_func("/ctl/table", test_table);
	g_test_add_func("/ctl/exit-codes", test_exit_codes);
	g_test_add_func("/ctl/manual", test_manual);
	return g_test_run();
}
