#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "session.h"

struct process {
	char *name;
	char *log; /* standard error */
	char *out;
	GPid pid;
	int status;
	bool ended;
};

static const struct {
	const char *name;
	const char *path;
	unsigned int roles; /* number of addresses that it listens on */
	bool log_on_stdout;
} programs[] = {
	{"jtentry", "entry/jtentry", 3, true},
	{"jtctl", "ctl/jtctl", 1, false},
	{"jtload", "load/jtload", 1, false},
	{"jtengine", "standin/jtengine", 1, false},
	{"jtservice", "standin/jtservice", 1, false},
	{"jtplatform", "standin/jtplatform", 1, false},
	{"jtforward", "platform/jtforward", 3, true},
	{"jtforward-links", "tests/session/jtforward-links", 3, true},
	{"jtsite", "tests/platform/jtsite", 1, false},
};

static const struct {
	const char *name;
	int number;
} signals[] = {
	{"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP},
	{"CONT", SIGCONT}, {"HUP", SIGHUP},
};

static char *program_path(const struct session *session, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(programs); i++)
		if (strcmp(programs[i].name, name) == 0)
			return g_build_filename(session->build,
						programs[i].path, NULL);
	return g_find_program_in_path(name);
}

static bool program_logs_on_stdout(const char *program)
{
	for (size_t i = 0; i < G_N_ELEMENTS(programs); i++)
		if (strcmp(programs[i].name, program) == 0)
			return programs[i].log_on_stdout;
	return false;
}

/* Runs in the child, which must not outlive the session. */
static void child_setup(gpointer data)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static bool process_open(struct session *session, struct process *process,
			 char **argv)
{
	int flags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
	char *program = argv[0];
	bool on_stdout = program_logs_on_stdout(program);
	int out = open(on_stdout ? process->log : process->out, flags, 0600);
	int log = open(on_stdout ? process->out : process->log, flags, 0600);
	GError *error = NULL;
	gboolean ok;

	argv[0] = program_path(session, program);
	ok = argv[0] != NULL &&
	     g_spawn_async_with_fds(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				    child_setup, NULL, &process->pid, -1, out,
				    log, &error);
	g_free(argv[0]);
	argv[0] = program;
	close(out);
	close(log);
	if (ok)
		return true;
	session_fail(session, "%s: %s", program,
		     error ? error->message : "no such program");
	g_clear_error(&error);
	return false;
}

static struct process *process_create(struct session *session, const char *name,
				      char **argv)
{
	struct process *process = g_new0(struct process, 1);

	process->name = g_strdup(name);
	process->log = g_strdup_printf("%s/%s.log", session->dir, name);
	process->out = g_strdup_printf("%s/%s.out", session->dir, name);
	process->ended = true;
	g_hash_table_replace(session->processes, process->name, process);
	if (!process_open(session, process, argv))
		return NULL;
	process->ended = false;
	return process;
}

static bool process_ended(void *ctx)
{
	struct process *process = ctx;

	if (!process->ended)
		process->ended = waitpid(process->pid, &process->status,
					 WNOHANG) == process->pid;
	return process->ended;
}

void process_free(void *data)
{
	struct process *process = data;

	if (!process_ended(process)) {
		kill(process->pid, SIGKILL);
		while (waitpid(process->pid, NULL, 0) < 0 && errno == EINTR)
			continue;
	}
	g_free(process->name);
	g_free(process->log);
	g_free(process->out);
	g_free(process);
}

static char *file_read(const char *file)
{
	char *text = NULL;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return g_strdup("");
	return text;
}

/* Value of key in a line of key=value pairs; NULL when the key is missing. */
static char *line_value(const char *line, const char *key)
{
	char *mark = g_strdup_printf(" %s=", key);
	const char *at = strstr(line, mark);
	char *value = NULL;

	if (at != NULL) {
		at += strlen(mark);
		value = g_strndup(at, strcspn(at, " \n"));
	}
	g_free(mark);
	return value;
}

/* Sets a variable for each address that the process logged as listening;
 * returns their number. */
static unsigned int addresses_read(struct session *session,
				   const struct process *process)
{
	char *text = file_read(process->log);
	char **lines = g_strsplit(text, "\n", -1);
	unsigned int found = 0;

	for (char **line = lines; *line != NULL; line++) {
		char *address = line_value(*line, "address");
		char *role = line_value(*line, "role");

		if (address == NULL || !strstr(*line, "event=listening")) {
			g_free(address);
			g_free(role);
			continue;
		}
		g_hash_table_replace(session->variables,
				     g_strconcat(process->name,
						 role ? "." : NULL, role, NULL),
				     address);
		g_free(role);
		found++;
	}
	g_strfreev(lines);
	g_free(text);
	return found;
}

struct listening_wait {
	struct session *session;
	struct process *process;
	unsigned int expected;
};

static bool is_listening(void *ctx)
{
	struct listening_wait *wait = ctx;

	return addresses_read(wait->session, wait->process) >= wait->expected ||
	       process_ended(wait->process);
}

bool process_start(struct session *session, int argc, char **argv)
{
	struct listening_wait wait = {.session = session, .expected = 1};
	char *log;

	if (argc < 3)
		return session_fail(session, "start NAME PROGRAM ARG...");
	for (size_t i = 0; i < G_N_ELEMENTS(programs); i++)
		if (strcmp(argv[2], programs[i].name) == 0)
			wait.expected = programs[i].roles;
	wait.process = process_create(session, argv[1], argv + 2);
	if (wait.process == NULL)
		return false;
	if (session_wait_until(session, is_listening, &wait) &&
	    !wait.process->ended)
		return true;
	log = file_read(wait.process->log);
	session_fail(session, "%s does not listen:\n%s", argv[1], log);
	g_free(log);
	return false;
}

bool process_spawn(struct session *session, int argc, char **argv)
{
	if (argc < 3)
		return session_fail(session, "spawn NAME PROGRAM ARG...");
	return process_create(session, argv[1], argv + 2) != NULL;
}

static void output_show(struct session *session, const char *file)
{
	char *text = file_read(file);
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line != NULL; line++) {
		if (**line == '\0')
			continue;
		if (session->filter == NULL ||
		    g_regex_match(session->filter, *line, 0, NULL))
			session_show(session, *line);
	}
	g_strfreev(lines);
	g_free(text);
}

static void status_show(struct session *session, int status)
{
	char *text = WIFSIGNALED(status)
			     ? g_strdup_printf("killed by signal %d",
					       WTERMSIG(status))
			     : g_strdup_printf("exit status %d",
					       WEXITSTATUS(status));

	session_show(session, text);
	g_free(text);
}

static struct process *process_find(struct session *session, const char *name)
{
	struct process *process =
		name ? g_hash_table_lookup(session->processes, name) : NULL;

	if (process == NULL)
		session_fail(session, "no process %s", name ? name : "given");
	return process;
}

bool process_wait(struct session *session, int argc, char **argv)
{
	struct process *process = process_find(session, argv[1]);

	if (process == NULL)
		return false;
	if (!session_wait_until(session, process_ended, process))
		return session_fail(session, "%s does not end", argv[1]);
	output_show(session, process->out);
	if (argc > 2 && strcmp(argv[2], "log") == 0)
		output_show(session, process->log);
	status_show(session, process->status);
	return true;
}

bool process_run(struct session *session, int argc, char **argv)
{
	char *wait[] = {"wait", "run", "log", NULL};

	if (argc < 2)
		return session_fail(session, "run PROGRAM ARG...");
	return process_create(session, "run", argv + 1) != NULL &&
	       process_wait(session, 3, wait);
}

bool process_signal(struct session *session, int argc, char **argv)
{
	struct process *process = process_find(session, argv[1]);

	if (process == NULL)
		return false;
	for (size_t i = 0; argc > 2 && i < G_N_ELEMENTS(signals); i++) {
		if (strcmp(signals[i].name, argv[2]) != 0)
			continue;
		if (!process_ended(process))
			kill(process->pid, signals[i].number);
		return true;
	}
	return session_fail(session, "signal NAME TERM|KILL|STOP|CONT");
}

struct pattern {
	const char *file;
	GRegex *regex;
};

static bool pattern_found(void *ctx)
{
	struct pattern *pattern = ctx;
	char *text = file_read(pattern->file);
	bool seen = g_regex_match(pattern->regex, text, 0, NULL);

	g_free(text);
	return seen;
}

bool process_log(struct session *session, int argc, char **argv)
{
	struct process *process = process_find(session, argv[1]);
	struct pattern pattern;
	bool ok;

	if (process == NULL || argc < 3)
		return session_fail(session, "log NAME PATTERN");
	pattern.file = process->log;
	pattern.regex = g_regex_new(argv[2], 0, 0, NULL);
	ok = pattern.regex != NULL &&
	     session_wait_until(session, pattern_found, &pattern);
	if (pattern.regex != NULL)
		g_regex_unref(pattern.regex);
	return ok || session_fail(session, "log has no %s", argv[2]);
}
