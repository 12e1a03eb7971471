/* Servers that send without end. Guards against an answer that fills memory or
 * keeps its connection for ever, in each part of an answer. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "endless.h"
#include "relay_handler.h"
#include "world.h"

#define HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED HEAD "transfer-encoding: chunked\r\n\r\n"
#define SIX_BYTES "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n"
#define ANSWER_BYTES_MAX 65536
#define BODY_USEC (500 * USEC_PER_MSEC)
/* A call has to end within this time, although its time-outs are longer. The
 * bounds are one second; the rest is for a busy machine. */
#define END_USEC (5 * USEC_PER_SEC)
#define TIMEOUT_USEC (60 * USEC_PER_SEC)

struct endless_case {
	const char *name;
	struct endless_answer answer;
	int status; /* reported before the call failed; 0: none */
	bool timed_out;
};

static const struct endless_case cases[] = {
	{"status line", {.begin = "HTTP/1.1 200 ", .piece = "aaaa"}, 0, false},
	{"no status line", {.begin = "", .piece = "aaaa"}, 0, false},
	{"header line", {.begin = HEAD "x-a: ", .piece = "aaaa"}, 0, false},
	{"header name", {.begin = HEAD, .piece = "aaaa"}, 0, false},
	{"headers", {.begin = HEAD, .piece = "x-a: b\r\n"}, 0, false},
	{"informational heads",
	 {.begin = "", .piece = "HTTP/1.1 102 Processing\r\n\r\n"},
	 0,
	 false},
	{"body with length",
	 {.begin = HEAD "content-length: 999999999999\r\n\r\n",
	  .piece = "aaaa"},
	 200,
	 false},
	{"body without length",
	 {.begin = HEAD "\r\n", .piece = "aaaa"},
	 200,
	 false},
	{"chunks", {.begin = CHUNKED, .piece = "4\r\naaaa\r\n"}, 200, false},
	{"chunk size", {.begin = CHUNKED, .piece = "0000"}, 200, false},
	{"chunk extension",
	 {.begin = CHUNKED "4;", .piece = "aaaa"},
	 200,
	 false},
	{"trailers",
	 {.begin = CHUNKED "0\r\n", .piece = "x-a: b\r\n"},
	 200,
	 false},
	{"drip in the status line",
	 {.begin = "HTTP/1.1 200 ", .piece = "aaaa", .drips = true},
	 0,
	 true},
	{"drip in the headers",
	 {.begin = HEAD, .piece = "x-a: b\r\n", .drips = true},
	 0,
	 true},
	{"drip in the body",
	 {.begin = HEAD "\r\n", .piece = "aaaa", .drips = true},
	 200,
	 true},
	{"drip in a chunk extension",
	 {.begin = CHUNKED "4;", .piece = "aaaa", .drips = true},
	 200,
	 true},
};

struct fetched {
	struct world *world;
	int done;
	int status;
	struct web_result result;
};

static void on_answer(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	struct fetched *fetched = ctx;

	fetched->done = 1;
	fetched->status = status;
	fetched->result = *result;
	g_assert_cmpuint(size, <=, ANSWER_BYTES_MAX);
	loop_stop(fetched->world->loop);
}

static void case_check(struct world *world, const struct endless_case *c,
		       const char *relay)
{
	struct fetched fetched = {.world = world};
	g_autofree char *path = NULL;
	struct web_call_spec spec = {
		.method = "GET",
		.path = "/",
		.head_usec = TIMEOUT_USEC,
		.idle_usec = TIMEOUT_USEC,
		.body_usec = BODY_USEC,
		.relay = relay,
	};
	struct endless endless;

	endless_start(&endless, &c->answer);
	path = g_strconcat("/", endless.address, NULL);
	spec.address = endless.address;
	spec.relay_path = path;
	web_fetch(world->client, &spec, ANSWER_BYTES_MAX, on_answer, &fetched);
	world_run_within(world, &fetched.done, END_USEC);
	g_assert_false(fetched.result.ok);
	g_assert_true(fetched.result.sent);
	g_assert_cmpint(fetched.status, ==, c->status);
	g_assert_true(fetched.result.timed_out == c->timed_out);
	/* The connection was closed, and is not used again. */
	while (g_atomic_int_get(&endless.closed) == 0)
		world_iterate(world, 1);
	g_assert_cmpint(g_atomic_int_get(&endless.open), ==, 1);
	endless_stop(&endless);
}

static void test_direct(struct world *world, gconstpointer data)
{
	case_check(world, data, NULL);
}

static void test_relayed(struct world *world, gconstpointer data)
{
	struct relay_handler relay;

	relay_handler_setup(&relay, world);
	case_check(world, data, web_server_address(world->server));
	relay_handler_teardown(&relay, world);
}

/* A relay itself that sends without end instead of connecting: the request was
 * not sent. */
static void test_relay_head(struct world *world, gconstpointer data)
{
	static const struct endless_answer answer = {.begin = HEAD,
						     .piece = "x-a: b\r\n"};
	struct fetched fetched = {.world = world};
	struct endless endless;
	const struct web_call_spec spec = {
		.address = "127.0.0.1:9",
		.method = "GET",
		.path = "/",
		.connect_usec = TIMEOUT_USEC,
		.relay = endless.address,
		.relay_path = "/",
	};

	endless_start(&endless, &answer);
	web_fetch(world->client, &spec, ANSWER_BYTES_MAX, on_answer, &fetched);
	world_run_within(world, &fetched.done, END_USEC);
	g_assert_false(fetched.result.ok);
	g_assert_false(fetched.result.sent);
	endless_stop(&endless);
}

/* Servers that are slow and honest keep their time-outs: a long poll waits for
 * its head, also after an informational one, and a body has pauses. */
static void test_slow(struct world *world, gconstpointer data)
{
	static const char *const pieces[] = {"HTTP/1.1 100 Continue\r\n\r\n",
					     SIX_BYTES, "ab", "cd", "ef"};
	char address[32];
	int listener = raw_listen(address, sizeof(address));
	int fd = -1;

	world_call(world, (struct web_call_spec){
				  .address = address,
				  .head_usec = 30 * USEC_PER_SEC,
				  .idle_usec = 30 * USEC_PER_SEC,
			  });
	while (fd < 0) {
		world_iterate(world, 1);
		fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
		int64_t pause = i < 2 ? 14 : 29;

		world_iterate(world, 20);
		clock_advance(world->clock,
			      clock_now(world->clock) + pause * USEC_PER_SEC);
		g_assert_false(world->done);
		raw_send(fd, pieces[i], strlen(pieces[i]));
		world_iterate(world, 20);
	}
	g_assert_true(world->done);
	g_assert_true(world->result.ok);
	g_assert_cmpstr(world->body->str, ==, "abcdef");
	close(fd);
	close(listener);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *direct = g_strconcat("/web/endless/direct/",
						      cases[i].name, NULL);
		g_autofree char *relayed = g_strconcat("/web/endless/relayed/",
						       cases[i].name, NULL);

		g_test_add(direct, struct world, &cases[i], world_setup,
			   test_direct, world_teardown);
		g_test_add(relayed, struct world, &cases[i], world_setup,
			   test_relayed, world_teardown);
	}
	g_test_add("/web/endless/relay", struct world, NULL, world_setup,
		   test_relay_head, world_teardown);
	g_test_add("/web/endless/slow", struct world, NULL, world_setup,
		   test_slow, world_teardown);
	return g_test_run();
}
