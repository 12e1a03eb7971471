/*
 * Injects every fault at every step of a request. paths.txt has a row for each
 * pair of step and fault, paths.golden the calls expected from the request
 * side. At the end of each row every caller has been answered exactly once or
 * has disconnected, and no grant, engine stream or request is left.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "entry/request.h"
#include "fakes.h"
#include "golden.h"

#define PATHS SOURCE_ROOT "/tests/requests/paths"

static struct web_request callers[2];
static int caller_count;

static void header_add(struct web_request *web, const char *name,
		       const char *value)
{
	web->headers[web->header_count++] = (struct web_header){
		.name = {name, strlen(name)}, .value = {value, strlen(value)}};
}

/* model|plain [stream] [key] [once] [deferrable] [other] */
static void step_begin(char **words, bool model)
{
	struct web_request *web = &callers[caller_count++];
	bool stream = false;

	g_assert_cmpint(caller_count, <=, (int)G_N_ELEMENTS(callers));
	memset(web, 0, sizeof(*web));
	web->method = "POST";
	web->path = model ? "/v1/completions" : "/s/book";
	web->body = "{\"x\":1}";
	for (int i = 1; words[i]; i++) {
		stream |= strcmp(words[i], "stream") == 0;
		if (strncmp(words[i], "key", 3) == 0)
			header_add(web, "idempotency-key", words[i]);
		if (strcmp(words[i], "once") == 0)
			header_add(web, "jt-idempotent", "false");
		if (strcmp(words[i], "deferrable") == 0)
			header_add(web, "jt-class", "deferrable");
		if (strcmp(words[i], "other") == 0)
			web->body = "{\"x\":2}";
	}
	if (model)
		web->body = stream ? "{\"model\":\"m\",\"prompt\":\"a b\","
				     "\"max_tokens\":9,\"stream\":true}"
				   : "{\"model\":\"m\",\"prompt\":\"a b\","
				     "\"max_tokens\":9}";
	if (model)
		handler_completions(fakes.entry.requests, web);
	else
		handler_plain(fakes.entry.requests, web);
}

static void step_grant(bool adopted, bool plain)
{
	struct ledger_grant grant = {
		.request = fakes.submitted,
		.attempt = fakes.attempt,
		.prefill = adopted || plain ? 0 : 10,
		.decode = plain ? 0 : 11,
	};

	fakes.grants++;
	requests_granted(fakes.entry.requests, &grant);
}

static enum result_code code_of(const char *label)
{
#define X(name, number, text, outcome, status)                                 \
	if (strcmp(label, text) == 0)                                          \
		return name;
	RESULT_CODES(X)
#undef X
	g_assert_not_reached();
}

static void step_duplicate(char **words)
{
	struct ledger_duplicate duplicate = {
		.request = fakes.submitted,
		.state = strcmp(words[1], "running") == 0 ? RECORD_RUNNING
			 : strcmp(words[1], "done") == 0  ? RECORD_DONE
							  : RECORD_FAILED,
		.owner = {.instance = 2, .incarnation = 1},
		.owner_alive = strcmp(words[2], "alive") == 0,
		.decode = 11,
		.stream = "s0",
	};

	fakes.peer_alive = duplicate.owner_alive;
	requests_duplicate(fakes.entry.requests, &duplicate);
}

static void step_elsewhere(void)
{
	struct ledger_duplicate duplicate = {.request = fakes.submitted,
					     .state = RECORD_ELSEWHERE,
					     .data_centre = "b"};

	requests_duplicate(fakes.entry.requests, &duplicate);
}

static void step_level(const char *level)
{
	fakes_level(strcmp(level, "free") == 0	 ? CELL_FREE
		    : strcmp(level, "busy") == 0 ? CELL_BUSY
						 : CELL_FULL);
}

static void step_engine_done(const char *label)
{
	const struct engine_ops *ops = fakes.engine_ops;
	enum result_code code = code_of(label);

	g_assert_nonnull(ops);
	fakes.engine_ops = NULL;
	if (code == RESULT_OK || code == RESULT_NOT_FOUND)
		fakes.streams = 0;
	ops->done(fakes.engine_ctx, code, "");
}

static void step_prefilled(void)
{
	const struct engine_ops *ops = fakes.engine_ops;
	struct engine_prefilled result = {
		.handle = "h", .computed_tokens = 2, .hold_ms = 800};

	fakes.engine_ops = NULL;
	ops->prefilled(fakes.engine_ctx, &result);
}

static void step_stream(const char *name)
{
	fakes.streams = 1;
	fakes.engine_ops->stream(fakes.engine_ctx, name);
}

static void step_cancelled(bool confirmed)
{
	engine_cancel_fn fn;

	clock_advance(fakes.entry.clock, clock_now(fakes.entry.clock));
	fn = fakes.cancel_fn;
	g_assert_nonnull(fn);
	fakes.cancel_fn = NULL;
	if (confirmed)
		fakes.streams = 0;
	fn(fakes.cancel_ctx, confirmed);
}

static void step_called(char **words)
{
	const struct web_call_ops *ops = fakes.call_ops;
	bool ok = strcmp(words[1], "ok") == 0;
	bool refused = strcmp(words[1], "refused") == 0;
	bool missing = strcmp(words[1], "missing") == 0;
	struct web_header not_run = {{"jt-not-run", 10}, {"1", 1}};
	struct web_result result = {
		.ok = ok || refused || missing,
		.sent = strcmp(words[1], "unsent") != 0,
		.timed_out = strcmp(words[1], "timeout") == 0,
		.text = "",
	};

	g_assert_nonnull(ops);
	fakes.call_ops = NULL;
	if (result.ok)
		ops->head(fakes.call_ctx,
			  ok	    ? 200
			  : refused ? 503
				    : 404,
			  &not_run, refused);
	if (ok)
		ops->body(fakes.call_ctx, "yes", 3);
	ops->done(fakes.call_ctx, &result);
}

static void step_gone(int index)
{
	struct web_request *web = &callers[index];

	web->ended++;
	fakes_note("gone");
	if (web->gone)
		web->gone(web->gone_ctx);
}

static void step_run(char **words)
{
	struct requests *requests = fakes.entry.requests;
	const char *verb = words[0];
	struct owner other = {.instance = 2, .incarnation = 1};

	if (strcmp(verb, "model") == 0 || strcmp(verb, "plain") == 0)
		step_begin(words, verb[0] == 'm');
	else if (strcmp(verb, "grant") == 0)
		step_grant(words[1] && strcmp(words[1], "adopted") == 0,
			   words[1] && strcmp(words[1], "plain") == 0);
	else if (strcmp(verb, "refuse") == 0)
		requests_refused(requests, &(struct ledger_refusal){
						   .request = fakes.submitted,
						   .code = code_of(words[1])});
	else if (strcmp(verb, "duplicate") == 0)
		step_duplicate(words);
	else if (strcmp(verb, "elsewhere") == 0)
		step_elsewhere();
	else if (strcmp(verb, "level") == 0)
		step_level(words[1]);
	else if (strcmp(verb, "cut") == 0)
		fakes.peer_alive = false;
	else if (strcmp(verb, "revoke") == 0) {
		fakes.grants = 0;
		fakes.streams = 0;
		requests_revoked(requests, fakes.submitted, fakes.attempt);
	} else if (strcmp(verb, "refuted") == 0) {
		/* Grants of plain services are kept: their calls continue. */
		if (strcmp(callers[0].path, "/s/book") != 0)
			fakes.grants = 0;
		fakes.streams = 0;
		requests_refuted(requests);
	} else if (strcmp(verb, "paused") == 0) {
		fakes.streams =
			0; /* the home ends the streams of released grants */
		requests_paused(requests);
	} else if (strcmp(verb, "claimed") == 0)
		requests_claimed(requests, fakes.submitted, code_of(words[1]),
				 &other);
	else if (strcmp(verb, "prefilled") == 0)
		step_prefilled();
	else if (strcmp(verb, "stream") == 0)
		step_stream(words[1]);
	else if (strcmp(verb, "started") == 0)
		fakes.engine_ops->started(fakes.engine_ctx);
	else if (strcmp(verb, "token") == 0)
		fakes.engine_ops->token(fakes.engine_ctx,
					(uint32_t)atoi(words[1]), "t ", 2);
	else if (strcmp(verb, "done") == 0)
		step_engine_done(words[1]);
	else if (strcmp(verb, "cancelled") == 0)
		step_cancelled(!words[1]);
	else if (strcmp(verb, "called") == 0)
		step_called(words);
	else if (strcmp(verb, "gone") == 0)
		step_gone(words[1] ? atoi(words[1]) : 0);
	else if (strcmp(verb, "wait") == 0)
		clock_advance(fakes.entry.clock,
			      clock_now(fakes.entry.clock) +
				      atoi(words[1]) * USEC_PER_MSEC);
	else
		g_error("unknown step: %s", verb);
}

static void invariants_check(const char *row)
{
	g_test_message("%s: %s", row, fakes.events->str);
	for (int i = 0; i < caller_count; i++)
		g_assert_cmpint(callers[i].ended, ==, 1);
	g_assert_cmpuint(requests_count(fakes.entry.requests), ==, 0);
	g_assert_cmpuint(fakes.grants, ==, 0);
	g_assert_cmpuint(fakes.streams, ==, 0);
	g_assert_null(fakes.engine_ops);
	g_assert_null(fakes.call_ops);
}

/* "name: step; step; ..." */
static void row_run(const char *row, GString *out)
{
	char **parts = g_strsplit(row, ": ", 2);
	char **steps = g_strsplit(parts[1], "; ", -1);

	fakes_setup();
	caller_count = 0;
	for (int i = 0; steps[i]; i++) {
		char **words = g_strsplit(g_strstrip(steps[i]), " ", -1);

		step_run(words);
		g_strfreev(words);
	}
	invariants_check(parts[0]);
	g_string_append_printf(out, "%s: %s\n", parts[0], fakes.events->str);
	fakes_teardown();
	g_strfreev(steps);
	g_strfreev(parts);
}

static void test_paths(void)
{
	GString *out = g_string_new(NULL);
	char *script;
	char **rows;

	g_assert_true(g_file_get_contents(PATHS ".txt", &script, NULL, NULL));
	rows = g_strsplit(script, "\n", -1);
	for (int i = 0; rows[i]; i++)
		if (rows[i][0] && rows[i][0] != '#')
			row_run(rows[i], out);
	g_assert_true(golden_same(PATHS ".golden", out->str));
	g_strfreev(rows);
	g_free(script);
	g_string_free(out, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/requests/paths", test_paths);
	return g_test_run();
}
