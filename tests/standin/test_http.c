/*
 * Tests of the stand-ins' HTTP interfaces. Two engines, a plain service, a fake
 * platform that only records registrations, and their callers share one event
 * loop and talk over loopback.
 */
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/model_text.h"
#include "common/table.h"
#include "standin/engine_http.h"
#include "standin/engine_prefill.h"
#include "standin/engine_stream.h"
#include "standin/register.h"
#include "standin/service.h"
#include "web/client.h"
#include "web/loop.h"
#include "web/server.h"

#define REQUEST_FIELDS                                                         \
	"\"request\": \"00000000000000aa\", \"owner\": \"00000000000000bb\", " \
	"\"incarnation\": \"00000000000000cc\""

/* Enough tokens that a late event loop does not end the stream early. */
#define LONG_STREAM_TOKENS 400

struct world {
	struct clock *clock;
	struct loop *loop;
	struct web_client *client;
	struct web_server *servers[4];
	struct engine_model *prefill_engine;
	struct engine_model *decode_engine;
	struct engine_http *http[2];
	struct service *service;
	GString *entries; /* requests that the fake platform got */
	bool (*until)(struct world *world);
	struct timer poll;
	int ended; /* calls of registration_removed() */
};

enum {
	PREFILL,
	DECODE,
	SERVICE,
	PLATFORM,
};

/* A call and its outcome. */
struct call {
	struct web_call *call;
	int status;
	GString *body;
	bool done;
	bool ok;
};

static void on_head(void *ctx, int status, const struct web_header *headers,
		    size_t count)
{
	((struct call *)ctx)->status = status;
}

static void on_body(void *ctx, const void *data, size_t size)
{
	g_string_append_len(((struct call *)ctx)->body, data, (gssize)size);
}

static void on_done(void *ctx, const struct web_result *result)
{
	struct call *call = ctx;

	call->done = true;
	call->ok = result->ok;
}

static void call_start(struct world *w, struct call *call, int server,
		       const char *method, const char *path, const char *body)
{
	static const struct web_call_ops ops = {on_head, on_body, on_done};
	const struct web_header key = {{"idempotency-key", 15}, {"k", 1}};
	struct web_call_spec spec = {
		.address = web_server_address(w->servers[server]),
		.method = method,
		.path = path,
		.headers = &key,
		.header_count = 1,
		.body = body ? body : "",
		.body_size = body ? strlen(body) : 0,
	};

	*call = (struct call){.body = g_string_new(NULL)};
	call->call = web_call(w->client, &spec, &ops, call);
}

static void call_free(struct call *call)
{
	g_string_free(call->body, TRUE);
}

static void poll_due(struct timer *timer, void *ctx)
{
	struct world *w = ctx;

	if (w->until(w))
		loop_stop(w->loop);
	else
		timer_start(timer, USEC_PER_MSEC);
}

static void run_until(struct world *w, bool (*until)(struct world *w))
{
	w->until = until;
	timer_start(&w->poll, 0);
	loop_run(w->loop);
	g_assert_true(until(w));
}

/* The call that call_wait() waits for. */
static struct call *awaited;

static bool call_done(struct world *w)
{
	return awaited->done;
}

static void call_wait(struct world *w, struct call *call)
{
	awaited = call;
	run_until(w, call_done);
}

/* Makes a call, checks the status (0: cut off) and that the body contains part
 * if that is not NULL, and returns the body. */
static char *call_expect(struct world *w, int server, const char *method,
			 const char *path, const char *body, int status,
			 const char *part)
{
	struct call call;

	call_start(w, &call, server, method, path, body);
	call_wait(w, &call);
	g_test_message("%s %s %s: %d %s", method, path, body ? body : "",
		       call.status, call.body->str);
	g_assert_cmpint(call.ok, ==, status != 0);
	if (status)
		g_assert_cmpint(call.status, ==, status);
	if (part)
		g_assert_nonnull(strstr(call.body->str, part));
	return g_string_free(call.body, FALSE);
}

static void call_check(struct world *w, int server, const char *method,
		       const char *path, const char *body, int status,
		       const char *part)
{
	g_free(call_expect(w, server, method, path, body, status, part));
}

static void handle_entry(void *ctx, struct web_request *request)
{
	struct world *w = ctx;
	struct web_text method = web_request_method(request);
	struct web_text path = web_request_path(request);
	struct web_text body = web_request_body(request);

	g_string_append_printf(w->entries, "%.*s %.*s %.*s\n", (int)method.size,
			       method.data, (int)path.size, path.data,
			       (int)body.size, body.data);
	web_reply(request, 200, NULL, "", 0);
}

static struct engine_model *engine_new(struct clock *clock,
				       enum engine_role role)
{
	const struct engine_params params = {
		.role = role,
		.pieces = 100,
		.piece_tokens = 1000,
		.slots = 2,
		.queue = 2,
		.prefill_tokens_per_s = 1e6,
		.decode_tokens_per_s = 2000,
		.kv_bytes_per_token = 1000,
		.link_bytes_per_s = 1e9,
		.hold_usec = 30 * USEC_PER_SEC,
		.checks_fencing = true,
		.cache_blocks = 4,
		.time_scale = 1,
	};

	return engine_create(clock, &params);
}

static void world_setup(struct world *w, gconstpointer data)
{
	static const struct web_limits limits = {
		.body_bytes = 1 << 20,
		.connections = 64,
		.idle_usec = 30 * USEC_PER_SEC,
		.request_usec = 30 * USEC_PER_SEC,
	};

	/* Kills a test that hangs. */
	alarm(60);
	w->clock = clock_create_system();
	w->loop = loop_create(w->clock);
	timer_init(&w->poll, w->clock, poll_due, w);
	w->client = web_client_create(w->loop);
	for (size_t i = 0; i < G_N_ELEMENTS(w->servers); i++) {
		w->servers[i] = web_server_create(w->loop, "127.0.0.1:0",
						  &limits, NULL);
		g_assert_nonnull(w->servers[i]);
	}
	w->prefill_engine = engine_new(w->clock, ENGINE_PREFILL);
	w->decode_engine = engine_new(w->clock, ENGINE_DECODE);
	w->http[0] = engine_http_create(w->prefill_engine, w->servers[PREFILL],
					w->client);
	w->http[1] = engine_http_create(w->decode_engine, w->servers[DECODE],
					w->client);
	w->service = service_create(w->clock, w->servers[SERVICE],
				    1 * USEC_PER_MSEC);
	w->entries = g_string_new(NULL);
	web_server_handle(w->servers[PLATFORM], "/instances", handle_entry, w);
}

static void world_teardown(struct world *w, gconstpointer data)
{
	for (size_t i = 0; i < G_N_ELEMENTS(w->servers); i++)
		web_server_destroy(w->servers[i]);
	engine_destroy(w->prefill_engine);
	engine_destroy(w->decode_engine);
	engine_http_destroy(w->http[0]);
	engine_http_destroy(w->http[1]);
	service_destroy(w->service);
	web_client_destroy(w->client);
	loop_destroy(w->loop);
	clock_destroy(w->clock);
	g_string_free(w->entries, TRUE);
}

/* Sent in this order; each answer depends on the state that the calls before it
 * left. */
static const struct {
	int server;
	const char *method;
	const char *path;
	const char *body;
	int status;
	const char *part;
} requests[] = {
	{PREFILL, "POST", "/prefill", "", 400, "not a JSON object"},
	{PREFILL, "POST", "/prefill", "[]", 400, "not a JSON object"},
	{PREFILL, "POST", "/prefill", "{}", 400, "malformed prefill"},
	{PREFILL, "POST", "/prefill", "{" REQUEST_FIELDS "}", 400,
	 "malformed prefill"},
	{PREFILL, "POST", "/prefill", "{" REQUEST_FIELDS ", \"prompt\": 5}",
	 400, NULL},
	{PREFILL, "POST", "/prefill",
	 "{" REQUEST_FIELDS ", \"prompt\": \"a\", \"prompt_tokens\": -1}", 400,
	 NULL},
	{PREFILL, "POST", "/prefill",
	 "{" REQUEST_FIELDS ", \"prompt\": \"a\", \"blocks\": [\"x\"]}", 400,
	 NULL},
	{PREFILL, "POST", "/decode", "{" REQUEST_FIELDS "}", 400,
	 "malformed decode"},
	{PREFILL, "POST", "/decode",
	 "{" REQUEST_FIELDS ", \"source\": \"a\", \"handle\": \"b\"}", 503,
	 "\"role\""},
	{DECODE, "POST", "/prefill", "{" REQUEST_FIELDS ", \"prompt\": \"a\"}",
	 503, "\"refused\":\"role\""},
	{DECODE, "POST", "/decode",
	 "{" REQUEST_FIELDS ", \"source\": \"127.0.0.1:1\", \"handle\": \"b\"}",
	 200, "{\"error\": \"the source does not answer\"}"},
	{DECODE, "GET", "/streams/x?offset=0", NULL, 404, NULL},
	{DECODE, "GET", "/streams", NULL, 200, "{\"streams\":[]}"},
	{DECODE, "DELETE", "/streams/x", NULL, 200, "{\"freed\":0}"},
	{PREFILL, "GET", "/handles/x", NULL, 404, NULL},
	{PREFILL, "GET", "/handles", NULL, 404, NULL},
	{PREFILL, "DELETE", "/handles/x", NULL, 200, "{\"dropped\":false}"},
	{PREFILL, "POST", "/orders", "{}", 400, "malformed order"},
	{PREFILL, "POST", "/orders", "{\"order\": \"role\"}", 400, NULL},
	{PREFILL, "POST", "/orders",
	 "{\"order\": \"load\", \"model\": \"m\", \"fence\": 5}", 200, "{}"},
	{PREFILL, "POST", "/orders",
	 "{\"order\": \"role\", \"role\": \"decode\", \"fence\": 4}", 409,
	 NULL},
	{PREFILL, "POST", "/faults",
	 "{\"fault\": \"lose_answer\", \"times\": 1}", 200, NULL},
	{PREFILL, "POST", "/orders",
	 "{\"order\": \"load\", \"model\": \"n\", \"fence\": 6}", 0, NULL},
	{PREFILL, "GET", "/ledger", NULL, 200,
	 "\"fences\":[5,6],\"refused_fences\":1,\"loaded\":\"n\""},
	{PREFILL, "GET", "/faults", NULL, 405, NULL},
	{PREFILL, "POST", "/faults", "{\"fault\": \"x\"}", 400, "unknown"},
	{PREFILL, "POST", "/faults", "{\"fault\": \"leaving\"}", 200, NULL},
	{PREFILL, "POST", "/prefill", "{" REQUEST_FIELDS ", \"prompt\": \"a\"}",
	 503, "\"refused\":\"leaving\""},
	{PREFILL, "GET", "/load", NULL, 200, "\"role\":\"prefill\""},
	{SERVICE, "PUT", "/a/b?c", "text", 200,
	 "{\"ran\":1,\"method\":\"PUT\",\"path\":\"/a/b\",\"body\":\"text\"}"},
	{SERVICE, "POST", "/-/faults",
	 "{\"fault\": \"lose_answer\", \"times\": 1}", 200, NULL},
	{SERVICE, "PUT", "/a", NULL, 0, NULL},
	{SERVICE, "POST", "/-/faults", "{\"fault\": \"fail\", \"times\": 1}",
	 200, NULL},
	{SERVICE, "PUT", "/a", NULL, 500, NULL},
	{SERVICE, "POST", "/-/faults", "{\"fault\": \"refuse\", \"times\": 1}",
	 200, NULL},
	{SERVICE, "PUT", "/a", NULL, 503, "\"refused\":\"full\""},
	{SERVICE, "POST", "/-/faults",
	 "{\"fault\": \"late_answer\", \"value\": 5, \"times\": 1}", 200, NULL},
	{SERVICE, "GET", "/", NULL, 200, "{\"ran\":4"},
	{SERVICE, "GET", "/-/ledger", NULL, 200,
	 "{\"runs\":4,\"keys\":{\"k\":4}}"},
	{SERVICE, "POST", "/-/faults", "{\"fault\": \"leaving\"}", 200, NULL},
	{SERVICE, "GET", "/", NULL, 503, "\"refused\":\"leaving\""},
	{SERVICE, "GET", "/-/load", NULL, 200,
	 "{\"leaving\":true,\"running\":0,\"age_ms\":0}"},
};

static void test_requests(struct world *w, gconstpointer data)
{
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
		call_check(w, requests[i].server, requests[i].method,
			   requests[i].path, requests[i].body,
			   requests[i].status, requests[i].part);
}

static char *prefill(struct world *w, const char *prompt)
{
	char *body = g_strdup_printf("{" REQUEST_FIELDS ", \"prompt\": \"%s\"}",
				     prompt);
	char *answer = call_expect(w, PREFILL, "POST", "/prefill", body, 200,
				   "{\"handle\":\"p");
	char **words = g_strsplit(answer, "\"", 5);
	char *handle = g_strdup(words[3]);

	g_strfreev(words);
	g_free(answer);
	g_free(body);
	return handle;
}

/* Starts a decode of up to max tokens whose output begins at an offset. */
static void decode(struct world *w, struct call *call, const char *handle,
		   unsigned int max, unsigned int from)
{
	char *body = g_strdup_printf(
		"{" REQUEST_FIELDS
		", \"prompt_tokens\": 1, \"output_tokens_max\": %u, "
		"\"output_from\": %u, \"source\": \"%s\", \"handle\": \"%s\"}",
		max, from, web_server_address(w->servers[PREFILL]), handle);

	call_start(w, call, DECODE, "POST", "/decode", body);
	g_free(body);
}

static void lines_add(GString *lines, const char *prompt, uint32_t from,
		      uint32_t to)
{
	char text[MODEL_TOKEN_SIZE + 1];

	for (uint32_t k = from; k < to; k++) {
		model_token(id_of(prompt), k, text);
		g_string_append_printf(lines, "{\"o\": %u, \"t\": \"%s\"}\n", k,
				       text);
	}
}

static void test_complete_stream(struct world *w, gconstpointer data)
{
	char *handle = prefill(w, "hello #130");
	GString *lines = g_string_new("{\"started\": true}\n");
	struct call call;

	decode(w, &call, handle, 200, 3);
	call_wait(w, &call);
	lines_add(lines, "hello #130", 3, 130);
	g_string_append(lines, "{\"end\": \"stop\", \"tokens\": 130}\n");
	g_assert_true(g_str_has_prefix(call.body->str, "{\"stream\": \"s"));
	g_assert_cmpstr(strchr(call.body->str, '\n') + 1, ==, lines->str);
	call_check(w, DECODE, "GET", "/ledger", NULL, 200,
		   "\"decodes\":1,\"tokens\":127");
	call_check(w, PREFILL, "GET", "/ledger", NULL, 200,
		   "\"wasted_tokens\":0");
	call_free(&call);
	g_string_free(lines, TRUE);
	g_free(handle);
}

static bool computing(struct world *w)
{
	return w->prefill_engine->computing != NULL;
}

static bool not_computing(struct world *w)
{
	return w->prefill_engine->computing == NULL;
}

static void test_prefill_hang_up(struct world *w, gconstpointer data)
{
	struct call call;

	call_start(w, &call, PREFILL, "POST", "/prefill",
		   "{" REQUEST_FIELDS ", \"prompt\": \"@1000000000 x\"}");
	run_until(w, computing);
	web_call_cancel(call.call);
	run_until(w, not_computing);
	g_assert_cmpuint(table_count(w->prefill_engine->prefills), ==, 0);
	g_assert_cmpuint(
		engine_request_stats(w->prefill_engine, 0xaa)->cancelled, ==,
		1);
	g_assert_cmpuint(w->prefill_engine->ledger.wasted_tokens, ==,
			 w->prefill_engine->ledger.prefill_tokens);
	call_free(&call);
}

static bool nothing_held(struct world *w)
{
	return table_count(w->prefill_engine->prefills) == 0;
}

static bool result_held(struct world *w)
{
	return table_count(w->prefill_engine->prefills) == 1 &&
	       !w->prefill_engine->computing;
}

/* The caller disconnects before a late answer, so nobody knows the handle of
 * the result and it must be dropped. */
static void test_late_hang_up(struct world *w, gconstpointer data)
{
	struct call call;

	call_check(
		w, PREFILL, "POST", "/faults",
		"{\"fault\": \"late_answer\", \"value\": 60000, \"times\": 1}",
		200, NULL);
	call_start(w, &call, PREFILL, "POST", "/prefill",
		   "{" REQUEST_FIELDS ", \"prompt\": \"a b\"}");
	run_until(w, result_held);
	web_call_cancel(call.call);
	run_until(w, nothing_held);
	g_assert_cmpuint(w->prefill_engine->ledger.wasted_tokens, ==, 2);
	call_free(&call);
}

static struct stream *only_stream(struct world *w)
{
	uint32_t cursor = 0;
	uint64_t handle;

	return table_next(w->decode_engine->streams, &cursor, &handle);
}

static bool stream_runs(struct world *w)
{
	struct stream *s = only_stream(w);

	return s && s->offset >= 5;
}

static bool no_reader(struct world *w)
{
	return only_stream(w)->ops == NULL;
}

static void test_resume(struct world *w, gconstpointer data)
{
	char *handle = prefill(w, "long");
	GString *lines = g_string_new(NULL);
	struct call first;
	struct call second;
	char *path;
	char *rest;

	decode(w, &first, handle, LONG_STREAM_TOKENS, 0);
	run_until(w, stream_runs);
	web_call_cancel(first.call);
	run_until(w, no_reader);
	call_check(
		w, DECODE, "GET", "/streams", NULL, 200,
		"\"request\":\"00000000000000aa\",\"owner\":"
		"\"00000000000000bb\","
		"\"incarnation\":\"00000000000000cc\",\"attempt\":0,\"pieces\":"
		"1");
	path = g_strdup_printf("/streams/%s?offset=2", only_stream(w)->name);
	call_start(w, &second, DECODE, "GET", path, NULL);
	rest = call_expect(w, DECODE, "GET", path, NULL, 200, NULL);
	/* The newest reader gets the whole rest; the earlier one is cut off. */
	call_wait(w, &second);
	g_assert_false(second.ok);
	lines_add(lines, "long", 2, LONG_STREAM_TOKENS);
	g_string_append(lines, "{\"end\": \"length\", \"tokens\": 400}\n");
	g_assert_cmpstr(rest, ==, lines->str);
	call_check(w, DECODE, "GET", path, NULL, 404, NULL);
	g_free(path);
	g_free(rest);
	g_free(handle);
	g_string_free(lines, TRUE);
	call_free(&first);
	call_free(&second);
}

static bool fetch_runs(struct world *w)
{
	const struct prefill *p;
	uint32_t fetches = 0;
	uint32_t cursor = 0;
	uint64_t handle;

	while ((p = table_next(w->prefill_engine->prefills, &cursor, &handle)))
		fetches += p->fetches;
	return fetches == 1;
}

static bool stream_computed(struct world *w)
{
	return only_stream(w)->done;
}

static void decode_long(struct world *w, struct call *call, unsigned int max)
{
	char *handle = prefill(w, "long");

	decode(w, call, handle, max, 0);
	g_free(handle);
}

static void step_transfer(struct world *w, struct call *call)
{
	call_check(w, PREFILL, "POST", "/faults",
		   "{\"fault\": \"stall_transfer\", \"times\": 1}", 200, NULL);
	decode_long(w, call, 500);
	run_until(w, fetch_runs);
}

static void step_decode(struct world *w, struct call *call)
{
	decode_long(w, call, 90000);
	run_until(w, stream_runs);
}

static void step_unread(struct world *w, struct call *call)
{
	decode_long(w, call, LONG_STREAM_TOKENS);
	run_until(w, stream_runs);
	web_call_cancel(call->call);
	call->done = true;
	run_until(w, stream_computed);
}

/* A cancel takes effect at once at every step, even if its answer is lost or
 * late. */
static const struct {
	void (*reach)(struct world *w, struct call *call);
	const char *fault;
	int status;
} cancels[] = {
	{step_transfer, "lose_answer", 0}, {step_transfer, "late_answer", 200},
	{step_decode, "lose_answer", 0},   {step_decode, "late_answer", 200},
	{step_unread, "lose_answer", 0},   {step_unread, "late_answer", 200},
};

static void check_cancel(struct world *w, size_t row)
{
	struct call call;
	char *fault = g_strdup_printf(
		"{\"fault\": \"%s\", \"value\": 5, \"times\": 1}",
		cancels[row].fault);
	char *path;

	cancels[row].reach(w, &call);
	path = g_strdup_printf("/streams/%s", only_stream(w)->name);
	call_check(w, DECODE, "POST", "/faults", fault, 200, NULL);
	call_check(w, DECODE, "DELETE", path, NULL, cancels[row].status, NULL);
	g_assert_cmpuint(w->decode_engine->pieces_used, ==, 0);
	call_check(w, DECODE, "DELETE", path, NULL, 200, "{\"freed\":0}");
	call_wait(w, &call);
	g_assert_false(call.ok);
	call_free(&call);
	g_free(path);
	g_free(fault);
}

static void test_cancel(struct world *w, gconstpointer data)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cancels); i++)
		check_cancel(w, i);
}

static bool fetch_ended(struct world *w)
{
	return !fetch_runs(w);
}

/* After a stalled transfer is cancelled, its source still holds the result. */
static void test_transfer(struct world *w, gconstpointer data)
{
	char *handle = prefill(w, "@10 #2");
	struct call call;
	char *path;

	call_check(w, PREFILL, "POST", "/faults",
		   "{\"fault\": \"stall_transfer\", \"times\": 1}", 200, NULL);
	decode(w, &call, handle, 10, 0);
	run_until(w, fetch_runs);
	path = g_strdup_printf("/streams/%s", only_stream(w)->name);
	call_check(w, DECODE, "DELETE", path, NULL, 200, "{\"freed\":1}");
	run_until(w, fetch_ended);
	call_free(&call);
	decode(w, &call, handle, 10, 0);
	call_wait(w, &call);
	g_assert_nonnull(strstr(call.body->str, "\"end\": \"stop\""));
	g_assert_cmpuint(w->prefill_engine->ledger.wasted_tokens, ==, 0);
	call_free(&call);
	/* The result was fetched, so a third decode does not find it. */
	decode(w, &call, handle, 10, 0);
	call_wait(w, &call);
	g_assert_nonnull(strstr(call.body->str, "holds no such result"));
	g_assert_cmpuint(w->decode_engine->pieces_used, ==, 0);
	call_free(&call);
	g_free(handle);
	g_free(path);
}

static void registration_removed(void *ctx)
{
	((struct world *)ctx)->ended++;
}

static bool entry_live(struct world *w)
{
	return strstr(w->entries->str, "live") != NULL;
}

static bool entry_leaving(struct world *w)
{
	return strstr(w->entries->str, "leaving") != NULL;
}

static bool entry_ended(struct world *w)
{
	return w->ended > 0;
}

static void test_register(struct world *w, gconstpointer data)
{
	const struct registration_spec spec = {
		.platform = web_server_address(w->servers[PLATFORM]),
		.name = "r1",
		.kind = "runner",
		.pool = "pool",
		.data_centre = "norte",
		.address = "127.0.0.1:7",
		.incarnation = 0xfe,
	};
	struct registration *registration =
		registration_create(w->loop, w->client, &spec);

	run_until(w, entry_live);
	registration_set_leaving(registration);
	run_until(w, entry_leaving);
	registration_remove(registration, registration_removed, w);
	run_until(w, entry_ended);
	registration_destroy(registration);
	g_assert_cmpint(w->ended, ==, 1);
#define ENTRY_PUT                                                              \
	"PUT /instances/r1 {\"name\":\"r1\",\"kind\":\"runner\","              \
	"\"pool\":\"pool\",\"data_centre\":\"norte\","                         \
	"\"address\":\"127.0.0.1:7\",\"incarnation\":\"00000000000000fe\","    \
	"\"state\":"
	g_assert_cmpstr(w->entries->str, ==,
			ENTRY_PUT "\"live\"}\n" ENTRY_PUT
				  "\"leaving\"}\nDELETE /instances/r1 \n");
	/* Changes during a call are deferred, and only the last one is sent. */
	g_string_truncate(w->entries, 0);
	w->ended = 0;
	registration = registration_create(w->loop, w->client, &spec);
	registration_set_leaving(registration);
	registration_remove(registration, registration_removed, w);
	run_until(w, entry_ended);
	registration_destroy(registration);
	g_assert_cmpstr(w->entries->str, ==,
			ENTRY_PUT "\"live\"}\nDELETE /instances/r1 \n");
}

static const struct {
	const char *name;
	void (*run)(struct world *w, gconstpointer data);
} tests[] = {
	{"answers", test_requests},
	{"whole", test_complete_stream},
	{"prefill_hang_up", test_prefill_hang_up},
	{"late_hang_up", test_late_hang_up},
	{"resume", test_resume},
	{"cancel", test_cancel},
	{"transfer", test_transfer},
	{"register", test_register},
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
		char *path = g_strconcat("/standin/http/", tests[i].name, NULL);

		g_test_add(path, struct world, NULL, world_setup, tests[i].run,
			   world_teardown);
		g_free(path);
	}
	return g_test_run();
}
