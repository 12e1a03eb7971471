#include "ctl/explain.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "ctl/log_file.h"

static void line_free(gpointer data)
{
	struct explain_line *line = data;

	g_free(line->source);
	g_free(line->text);
	g_free(line);
}

void explanation_init(struct explanation *explanation)
{
	explanation->lines = g_ptr_array_new_with_free_func(line_free);
	explanation->cause = NULL;
}

void explanation_clear(struct explanation *explanation)
{
	g_ptr_array_unref(explanation->lines);
	g_free(explanation->cause);
}

char *log_line_value(const char *line, const char *key)
{
	g_autofree char *pattern = g_strdup_printf(" %s=", key);
	const char *at = strstr(line, pattern);
	const char *end;

	if (!at)
		return NULL;
	at += strlen(pattern);
	if (*at != '"')
		return g_strndup(at, strcspn(at, " \r\n"));
	for (end = ++at; *end && *end != '"'; end++)
		if (*end == '\\' && end[1])
			end++;
	return g_strndup(at, (gsize)(end - at));
}

/* Selects lines of one file: those of a request, or the server_ended lines of a
 * request fingerprint (the field work) when request is NULL. */
struct search {
	struct explanation *explanation;
	const char *request;
	const char *fingerprint;
	const char *file;
};

static bool line_matches(const struct search *search, const char *text,
			 const char *event)
{
	g_autofree char *id = log_line_value(text, "request");
	g_autofree char *fingerprint = NULL;

	if (search->request)
		return g_strcmp0(id, search->request) == 0;
	if (!g_str_has_prefix(event, " event=server_ended "))
		return false;
	fingerprint = log_line_value(text, "work");
	return g_strcmp0(fingerprint, search->fingerprint) == 0;
}

static void line_add(void *ctx, const char *text)
{
	const struct search *search = ctx;
	const char *event = strstr(text, " event=");
	const char *time = strstr(text, ">time=");
	struct explain_line *line;

	if (!event || !time || !line_matches(search, text, event))
		return;
	line = g_new0(struct explain_line, 1);
	line->time = g_ascii_strtod(time + strlen(">time="), NULL);
	line->source = g_path_get_basename(search->file);
	line->text = g_strchomp(g_strdup(event + 1));
	g_ptr_array_add(search->explanation->lines, line);
}

bool explanation_read(struct explanation *explanation, const char *request,
		      const char *file, struct error *err)
{
	struct search search = {
		.explanation = explanation, .request = request, .file = file};

	return log_file_read(file, line_add, &search, err);
}

char *explanation_fingerprint(const struct explanation *explanation)
{
	for (guint i = 0; i < explanation->lines->len; i++) {
		const struct explain_line *line = explanation->lines->pdata[i];
		char *fingerprint = log_line_value(line->text, "work");

		if (fingerprint)
			return fingerprint;
	}
	return NULL;
}

bool explanation_read_fingerprint(struct explanation *explanation,
				  const char *fingerprint, const char *file,
				  struct error *err)
{
	struct search search = {.explanation = explanation,
				.fingerprint = fingerprint,
				.file = file};

	return log_file_read(file, line_add, &search, err);
}

static gint line_compare(gconstpointer a, gconstpointer b)
{
	const struct explain_line *x = *(struct explain_line *const *)a;
	const struct explain_line *y = *(struct explain_line *const *)b;

	return (x->time > y->time) - (x->time < y->time);
}

/* The latest line of an event; NULL when there is none. */
static const char *last_line(const struct explanation *explanation,
			     const char *event)
{
	g_autofree char *prefix = g_strconcat("event=", event, " ", NULL);

	for (guint i = explanation->lines->len; i > 0; i--) {
		const struct explain_line *line =
			explanation->lines->pdata[i - 1];

		if (g_str_has_prefix(line->text, prefix))
			return line->text;
	}
	return NULL;
}

static const struct {
	const char *outcome;
	const char *text;
} outcomes[] = {
	{"answered", "a server answered it whole"},
	{"refused", "it was refused and has not run"},
	{"failed", "it failed, and may have run"},
	{"broken", "its stream was broken off midway"},
	{"gone", "its caller hung up"},
	{"denied", "it is not for this site, or malformed"},
};

static const char *outcome_text(const char *outcome)
{
	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++)
		if (g_strcmp0(outcomes[i].outcome, outcome) == 0)
			return outcomes[i].text;
	return "it ended in a way that is not known here";
}

static void step_add(GString *cause, const char *line)
{
	g_autofree char *step = log_line_value(line, "step");
	g_autofree char *backend = log_line_value(line, "backend");
	g_autofree char *why = log_line_value(line, "why");
	g_autofree char *status = log_line_value(line, "status");

	g_string_append_printf(cause, "; before that %s at %s failed: %s",
			       step ? step : "the call",
			       backend ? backend : "a server",
			       why && *why ? why : "no reason");
	if (status && strcmp(status, "0") != 0)
		g_string_append_printf(cause, " (status %s)", status);
}

/* Appends the servers that ended while running a request of the same
 * fingerprint. Each incarnation of a server is listed once. */
static void servers_add(GString *cause, const struct explanation *explanation)
{
	g_autoptr(GHashTable) seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < explanation->lines->len; i++) {
		const struct explain_line *line = explanation->lines->pdata[i];
		g_autofree char *backend =
			log_line_value(line->text, "backend");
		g_autofree char *started_ms =
			log_line_value(line->text, "born");
		char *incarnation;

		if (!g_str_has_prefix(line->text, "event=server_ended "))
			continue;
		incarnation = g_strdup_printf("%s started at %s", backend,
					      started_ms);
		if (!g_hash_table_add(seen, incarnation))
			continue;
		g_string_append_printf(
			cause, "%s%s",
			g_hash_table_size(seen) == 1
				? "; servers that ended under the same work: "
				: ", ",
			g_strcmp0(started_ms, "0") == 0 ? backend
							: incarnation);
	}
}

static char *cause_text(const struct explanation *explanation)
{
	const char *end = last_line(explanation, "request_end");
	const char *step = last_line(explanation, "step_failed");
	GString *cause = g_string_new(NULL);

	if (!step)
		step = last_line(explanation, "send_failed");
	if (!end) {
		g_string_append(cause, "no process logged its end: the process "
				       "died with it, or it is under way");
	} else {
		g_autofree char *outcome = log_line_value(end, "outcome");
		g_autofree char *why = log_line_value(end, "why");
		g_autofree char *status = log_line_value(end, "status");
		g_autofree char *backend = log_line_value(end, "backend");
		g_autofree char *whole_ms = log_line_value(end, "whole_ms");

		g_string_append_printf(cause,
				       "%s: %s (status %s, after %s ms, last "
				       "server %s)",
				       outcome_text(outcome), why ? why : "",
				       status ? status : "?",
				       whole_ms ? whole_ms : "?",
				       backend && *backend ? backend : "none");
	}
	if (step)
		step_add(cause, step);
	servers_add(cause, explanation);
	return g_string_free(cause, FALSE);
}

bool explanation_finish(struct explanation *explanation, const char *request,
			struct error *err)
{
	if (explanation->lines->len == 0)
		return error_set(err, RESULT_NOT_FOUND,
				 "no line of these logs names request %s",
				 request);
	g_ptr_array_sort(explanation->lines, line_compare);
	explanation->cause = cause_text(explanation);
	return true;
}
