/* The client, against a scripted server and against web_server. */
#include <string.h>
#include <unistd.h>

#include "relay_handler.h"
#include "script.h"
#include "world.h"

struct answer_case {
	const char *name;
	const char *method;
	const char *answer; /* sent after the request was read */
	enum conn_end end;
	bool ok;
	bool timed_out;
	int status;
	const char *body;
};

#define HEAD "HTTP/1.1 200 OK\r\n"

static const struct answer_case answer_cases[] = {
	{"length", "GET", HEAD "content-length: 5\r\n\r\nhello", CONN_KEEP,
	 true, false, 200, "hello"},
	{"length, close", "GET",
	 HEAD "connection: close\r\ncontent-length: 5\r\n\r\nhello", CONN_CLOSE,
	 true, false, 200, "hello"},
	{"empty", "GET", HEAD "content-length: 0\r\n\r\n", CONN_KEEP, true,
	 false, 200, ""},
	{"chunks", "POST",
	 HEAD "transfer-encoding: chunked\r\n\r\n"
	      "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
	 CONN_KEEP, true, false, 200, "hello"},
	{"chunks, close", "GET",
	 HEAD "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	 CONN_CLOSE, true, false, 200, "hello"},
	{"until close", "GET", HEAD "\r\nhello", CONN_CLOSE, true, false, 200,
	 "hello"},
	{"length that is none", "GET", HEAD "content-length: 5x\r\n\r\nhello",
	 CONN_KEEP, false, false, 0, ""},
	{"negative length", "GET", HEAD "Content-Length: -1\r\n\r\nhello",
	 CONN_KEEP, false, false, 0, ""},
	{"unknown encoding", "GET", HEAD "Transfer-Encoding: gzip\r\n\r\nhello",
	 CONN_KEEP, false, false, 0, ""},
	{"bad length after continue", "GET",
	 "HTTP/1.1 100 Continue\r\n\r\n" HEAD "content-length: \r\n\r\n",
	 CONN_KEEP, false, false, 0, ""},
	{"coding in capitals", "GET",
	 HEAD "Transfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	 CONN_KEEP, true, false, 200, "hello"},
	{"coding with a space after it", "GET",
	 HEAD "Transfer-Encoding: chunked \r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	 CONN_KEEP, true, false, 200, "hello"},
	{"coding on a folded line", "GET",
	 HEAD "Transfer-Encoding:\r\n chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	 CONN_KEEP, true, false, 200, "hello"},
	{"coding repeated in capitals", "GET",
	 HEAD "transfer-encoding: chunked\nTransfer-Encoding: Chunked\n\n"
	      "5\r\nhello\r\n0\r\n\r\n",
	 CONN_KEEP, true, false, 200, "hello"},
	{"coding identity in capitals", "GET",
	 HEAD "Transfer-Encoding: Identity\r\n\r\nhello", CONN_CLOSE, true,
	 false, 200, "hello"},
	{"parameter of a coding", "GET",
	 HEAD "Transfer-Encoding: chunked;q=1\r\n\r\n0\r\n\r\n", CONN_KEEP,
	 false, false, 0, ""},
	{"length with a space after it", "GET",
	 HEAD "Content-Length: 5 \r\n\r\nhello", CONN_KEEP, true, false, 200,
	 "hello"},
	{"equal lengths", "GET",
	 HEAD "Content-Length: 5, 5\r\nContent-Length:5\r\n\r\nhello",
	 CONN_KEEP, true, false, 200, "hello"},
	{"two lengths", "GET",
	 HEAD "content-length: 5\r\ncontent-length: 4\r\n\r\nhello", CONN_KEEP,
	 false, false, 0, ""},
	{"chunks and a length", "GET",
	 HEAD "transfer-encoding: chunked\r\ncontent-length: 99\r\n\r\n"
	      "5\r\nhello\r\n0\r\n\r\n",
	 CONN_KEEP, true, false, 200, "hello"},
	{"length of 20 digits", "GET",
	 HEAD "content-length: 99999999999999999999\r\n\r\nhello", CONN_KEEP,
	 false, false, 0, ""},
	{"control character", "GET",
	 HEAD "x-a: \001\r\ncontent-length: 5\r\n\r\nhello", CONN_KEEP, false,
	 false, 0, ""},
	{"head", "HEAD", HEAD "content-length: 5\r\n\r\n", CONN_KEEP, true,
	 false, 200, ""},
	{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", CONN_KEEP,
	 true, false, 204, ""},
	{"not modified", "GET",
	 "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", CONN_KEEP,
	 true, false, 304, ""},
	{"continue", "POST",
	 "HTTP/1.1 100 Continue\r\n\r\n" HEAD "content-length: 5\r\n\r\nhello",
	 CONN_KEEP, true, false, 200, "hello"},
	{"error status", "GET",
	 "HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nno", CONN_KEEP, true,
	 false, 503, "no"},
	{"highest status", "GET",
	 "HTTP/1.1 599 Failed\r\ncontent-length: 2\r\n\r\nno", CONN_KEEP, true,
	 false, 599, "no"},
	{"status 000", "GET",
	 "HTTP/1.1 000 None\r\ncontent-length: 5\r\n\r\nhello", CONN_KEEP,
	 false, false, 0, ""},
	{"status 099", "GET",
	 "HTTP/1.1 099 None\r\ncontent-length: 5\r\n\r\nhello", CONN_KEEP,
	 false, false, 0, ""},
	{"status 600", "GET",
	 "HTTP/1.1 600 None\r\ncontent-length: 5\r\n\r\nhello", CONN_KEEP,
	 false, false, 0, ""},
	{"status 999", "GET",
	 "HTTP/1.1 999 None\r\ncontent-length: 5\r\n\r\nhello", CONN_KEEP,
	 false, false, 0, ""},
	{"status of four digits", "GET",
	 "HTTP/1.1 2000 None\r\ncontent-length: 5\r\n\r\nhello", CONN_KEEP,
	 false, false, 0, ""},
	{"switching unasked", "GET",
	 "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\nhello",
	 CONN_CLOSE, false, false, 0, ""},
	{"closed at once", "GET", "", CONN_CLOSE_UNREAD, false, false, 0, ""},
	{"closed unanswered", "GET", "", CONN_CLOSE, false, false, 0, ""},
	{"reset unanswered", "GET", "", CONN_RESET, false, false, 0, ""},
	{"closed in the head", "GET", "HTTP/1.1 200 O", CONN_CLOSE, false,
	 false, 0, ""},
	{"closed in the body", "GET", HEAD "content-length: 9\r\n\r\nhello",
	 CONN_CLOSE, false, false, 200, "hello"},
	{"closed in the chunks", "GET",
	 HEAD "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", CONN_CLOSE,
	 false, false, 200, "hello"},
	{"no answer", "GET", "nonsense\r\n\r\n", CONN_KEEP, false, false, 0,
	 ""},
	{"bad chunk", "GET", HEAD "transfer-encoding: chunked\r\n\r\nzz\r\n",
	 CONN_KEEP, false, false, 200, ""},
	{"no head in time", "GET", "HTTP/1.1 200 OK\r\n", CONN_KEEP, false,
	 true, 0, ""},
	{"no more body in time", "GET", HEAD "content-length: 9\r\n\r\nhello",
	 CONN_KEEP, false, true, 200, "hello"},
};

/* Accepts a pending connection, and answers a request that has arrived. */
static void script_step(struct script *script, const char *answer,
			enum conn_end end)
{
	if (!script_receive(script, end))
		return;
	script->answered = true;
	raw_send(script->fd, answer, strlen(answer));
	script_close(script, end);
}

/* Runs until the call is done; advances the clock only after the answer. */
static void script_run(struct world *world, struct script *script,
		       const char *answer, enum conn_end end)
{
	for (int i = 0; i < 5000 && !world->done; i++) {
		script_step(script, answer, end);
		world_iterate(world, 1);
		if (script->answered && i % 50 == 49)
			clock_advance(world->clock,
				      clock_now(world->clock) + USEC_PER_SEC);
	}
	g_assert_true(world->done);
}

/* relay: "IP:port" of the relay, or NULL. */
static void answer_check(struct world *world, const struct answer_case *c,
			 const char *relay)
{
	g_autofree char *path = NULL;
	struct script script;

	script_setup(&script);
	path = g_strconcat("/", script.address, NULL);
	world_call(world, (struct web_call_spec){.address = script.address,
						 .method = c->method,
						 .head_usec = 10 * USEC_PER_SEC,
						 .idle_usec = USEC_PER_SEC,
						 .relay = relay,
						 .relay_path = path});
	g_assert_false(world->done);
	script_run(world, &script, c->answer, c->end);
	g_assert_true(world->result.ok == c->ok);
	g_assert_true(world->result.sent);
	g_assert_true(world->result.timed_out == c->timed_out);
	g_assert_true((world->result.text == NULL) == c->ok);
	g_assert_cmpint(world->status, ==, c->status);
	g_assert_cmpstr(world->body->str, ==, c->body);
	script_teardown(&script);
}

static void test_answer(struct world *world, gconstpointer data)
{
	answer_check(world, data, NULL);
}

static void head_cut_check(struct world *world, const char *head, size_t size,
			   enum conn_end end, const char *relay)
{
	g_autofree char *part = g_strndup(head, size);
	const struct answer_case c = {part,  "GET", part, end,
				      false, false, 0,	  ""};

	answer_check(world, &c, relay);
}

/* Guards against an answer whose connection ends in the middle of its head and
 * that is taken for a whole one. */
static void test_head_cuts(struct world *world, gconstpointer data)
{
	static const char *const heads[] = {
		HEAD "content-length: 0\r\n\r\n",
		HEAD "content-length: 10\r\n\r\n",
		HEAD "transfer-encoding: chunked\r\n\r\n",
		HEAD "content-type: text/plain\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" HEAD "x-a: b\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
	};
	const char *address = web_server_address(world->server);
	struct relay_handler relay;

	relay_handler_setup(&relay, world);
	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		for (size_t size = 1; size < strlen(heads[i]); size++) {
			head_cut_check(world, heads[i], size, CONN_CLOSE, NULL);
			head_cut_check(world, heads[i], size, CONN_RESET, NULL);
			head_cut_check(world, heads[i], size, CONN_CLOSE,
				       address);
		}
	}
	relay_handler_teardown(&relay, world);
}

/* A call through a relay ends as a direct one does. */
static void test_relayed_answer(struct world *world, gconstpointer data)
{
	struct relay_handler relay;

	relay_handler_setup(&relay, world);
	answer_check(world, data, web_server_address(world->server));
	relay_handler_teardown(&relay, world);
}

/* A body without length ends when its connection closes; a reset is an error.
 */
static void test_reset_body(struct world *world, gconstpointer data)
{
	struct script script;

	script_setup(&script);
	world_call(world, (struct web_call_spec){.address = script.address,
						 .fresh = true});
	for (int i = 0; i < 5000 && world->body->len < 5; i++) {
		script_step(&script, HEAD "\r\nhello", CONN_KEEP);
		world_iterate(world, 1);
	}
	g_assert_cmpstr(world->body->str, ==, "hello");
	world_iterate(world, 2);
	script_close(&script, CONN_RESET);
	world_run(world, &world->done);
	g_assert_false(world->result.ok);
	g_assert_nonnull(world->result.text);
	script_teardown(&script);
}

/* Calls that fail before any byte is written. */
static void test_unsent(struct world *world, gconstpointer data)
{
	static const struct web_header split = {{"x-a", 3}, {"b\r\nc: d", 7}};
	char refused[32];
	const struct web_call_spec specs[] = {
		{.address = refused},
		{.address = "nowhere"},
		{.address = "127.0.0.1:99999"},
		{.address = "localhost:80"},
		{.address = "255.255.255.255:1"},
		{.address = refused, .fresh = true},
		{.method = "GET /"},
		{.path = "/a b"},
		{.path = "/\r\nx: y"},
		{.headers = &split, .header_count = 1},
	};

	close(raw_listen(refused, sizeof(refused)));
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		world_call(world, specs[i]);
		g_assert_false(world->done);
		world_run(world, &world->done);
		g_assert_false(world->result.ok);
		g_assert_false(world->result.sent);
		g_assert_nonnull(world->result.text);
	}
}

/* A listener with a full queue accepts no connection. */
static void test_connect_timeout(struct world *world, gconstpointer data)
{
	int fds[8];
	char address[32];
	int listener = raw_listen(address, sizeof(address));

	listen(listener, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = raw_connect_start(address);
	world_iterate(world, 10);
	world_call(world, (struct web_call_spec){.address = address});
	world_iterate(world, 10);
	g_assert_false(world->done);
	clock_advance(world->clock, clock_now(world->clock) + 2 * USEC_PER_SEC);
	g_assert_false(world->done);
	clock_advance(world->clock, clock_now(world->clock) + 2 * USEC_PER_SEC);
	g_assert_true(world->done);
	g_assert_false(world->result.ok);
	g_assert_false(world->result.sent);
	g_assert_true(world->result.timed_out);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	close(listener);
}

/* Which calls reuse a connection. */
static void test_reuse(struct world *world, gconstpointer data)
{
	static const char answer[] = HEAD "content-length: 2\r\n\r\nok";
	static const struct {
		bool fresh;
		enum conn_end end;
		int accepted; /* after it */
	} steps[] = {
		{false, CONN_KEEP, 1},	{false, CONN_KEEP, 1},
		{true, CONN_KEEP, 2},	{true, CONN_KEEP, 3},
		{false, CONN_CLOSE, 4}, {false, CONN_KEEP, 5},
		{false, CONN_KEEP, 5},
	};
	struct script script;

	script_setup(&script);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		world_call(world,
			   (struct web_call_spec){.address = script.address,
						  .fresh = steps[i].fresh});
		script_run(world, &script, answer, steps[i].end);
		g_assert_true(world->result.ok);
		g_assert_cmpint(script.accepted, ==, steps[i].accepted);
	}
	script_teardown(&script);
}

/* On a kept connection an answer may arrive before the loop runs; its head is
 * not left to h2o, which would end the process. */
static void test_early_answer(struct world *world, gconstpointer data)
{
	static const char *const answers[] = {
		HEAD "content-length: 5\r\n\r\nhello",
		HEAD
		"Transfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		HEAD "Content-Length: 5 \r\n\r\nhello",
	};
	struct script script;

	script_setup(&script);
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		world_call(world,
			   (struct web_call_spec){.address = script.address});
		script_run(world, &script, answers[i], CONN_KEEP);
		g_assert_true(world->result.ok);
		g_assert_cmpstr(world->body->str, ==, "hello");
		g_assert_cmpint(script.accepted, ==, 1);
	}
	script_teardown(&script);
}

static void streamed(void *ctx, struct web_request *request)
{
	web_reply_start(request, 200, "text/plain");
	web_reply_piece(request, "some", 4);
}

static void echo(void *ctx, struct web_request *request)
{
	struct web_text body = web_request_body(request);

	web_reply(request, 200, NULL, body.data, body.size);
}

static void test_cancel(struct world *world, gconstpointer data)
{
	struct web_call *call;

	web_server_handle(world->server, "/", streamed, NULL);
	call = world_call(world, (struct web_call_spec){0});
	web_call_cancel(call);
	world_iterate(world, 50);
	g_assert_false(world->done);
	g_assert_cmpint(world->status, ==, 0);
	/* Cancelled in the callback of the first piece. */
	call = world_call(world, (struct web_call_spec){0});
	world->cancel = call;
	for (int i = 0; i < 5000 && world->pieces == 0; i++)
		world_iterate(world, 1);
	world_iterate(world, 50);
	g_assert_cmpstr(world->body->str, ==, "some");
	g_assert_false(world->done);
	/* The server has noticed the disconnect. */
	g_assert_cmpuint(web_server_pending(world->server), ==, 0);
	/* In flight when the client is destroyed. */
	world_call(world, (struct web_call_spec){0});
	world_iterate(world, 50);
	g_assert_cmpstr(world->body->str, ==, "some");
	g_assert_false(world->done);
}

static void test_big_request(struct world *world, gconstpointer data)
{
	char *body = g_strnfill(1 << 20, 'x');

	web_server_handle(world->server, "/", echo, NULL);
	world_call(world, (struct web_call_spec){.method = "POST",
						 .body = body,
						 .body_size = 1 << 20});
	world_run(world, &world->done);
	g_assert_true(world->result.ok);
	g_assert_cmpstr(world->body->str, ==, body);
	g_free(body);
}

struct fetched {
	int done;
	bool ok;
	int status;
	GString *body;
};

static void on_fetched(void *ctx, const struct web_result *result, int status,
		       const void *body, size_t size)
{
	struct fetched *fetched = ctx;

	fetched->done++;
	fetched->ok = result->ok;
	fetched->status = status;
	fetched->body = g_string_new_len(body, (gssize)size);
}

static void test_fetch(struct world *world, gconstpointer data)
{
	static const struct {
		size_t limit;
		bool ok;
	} cases[] = {{100, true}, {5, true}, {4, false}, {0, false}};
	struct web_call_spec spec = {
		.address = web_server_address(world->server),
		.method = "POST",
		.path = "/",
		.body = "hello",
		.body_size = 5,
	};

	web_server_handle(world->server, "/", echo, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fetched fetched = {0};

		web_fetch(world->client, &spec, cases[i].limit, on_fetched,
			  &fetched);
		world_run(world, &fetched.done);
		g_assert_true(fetched.ok == cases[i].ok);
		g_assert_cmpint(fetched.status, ==, 200);
		if (fetched.ok)
			g_assert_cmpstr(fetched.body->str, ==, "hello");
		g_string_free(fetched.body, TRUE);
	}
	web_call_cancel(web_fetch(world->client, &spec, 10, on_fetched, NULL));
}

#define TEST(name, fn)                                                         \
	g_test_add("/web/client/" name, struct world, NULL, world_setup, fn,   \
		   world_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		char *path = g_strdup_printf("/web/client/answer/%s",
					     answer_cases[i].name);

		g_test_add(path, struct world, &answer_cases[i], world_setup,
			   test_answer, world_teardown);
		g_free(path);
		path = g_strdup_printf("/web/client/relayed/%s",
				       answer_cases[i].name);
		g_test_add(path, struct world, &answer_cases[i], world_setup,
			   test_relayed_answer, world_teardown);
		g_free(path);
	}
	TEST("reset-body", test_reset_body);
	TEST("unsent", test_unsent);
	TEST("connect-timeout", test_connect_timeout);
	TEST("reuse", test_reuse);
	TEST("early-answer", test_early_answer);
	TEST("cancel", test_cancel);
	TEST("big-request", test_big_request);
	TEST("head-cuts", test_head_cuts);
	TEST("fetch", test_fetch);
	return g_test_run();
}
