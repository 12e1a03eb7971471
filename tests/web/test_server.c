/* The server: whole and streamed answers, limits, pipelines, drain. */
#include <string.h>
#include <unistd.h>

#include "world.h"

static void echo(void *ctx, struct web_request *request)
{
	struct web_text body = web_request_body(request);
	char value[32] = "";

	web_request_param(request, "x", value, sizeof(value));
	web_reply_header(request, "X-Param", value);
	web_reply(request, 200, "text/plain", body.data, body.size);
}

static void pieces(void *ctx, struct web_request *request)
{
	char text[8];

	web_reply_start(request, 200, "text/plain");
	for (int i = 0; i < 1000; i++) {
		g_snprintf(text, sizeof(text), "%04d\n", i);
		web_reply_piece(request, text, 5);
	}
	web_reply_end(request);
}

static void test_whole(struct world *world, gconstpointer data)
{
	web_server_handle(world->server, "/", echo, NULL);
	world_call(world, (struct web_call_spec){.method = "POST",
						 .path = "/?x=a%20b",
						 .body = "hello",
						 .body_size = 5});
	world_run(world, &world->done);
	g_assert_true(world->result.ok);
	g_assert_cmpint(world->status, ==, 200);
	g_assert_cmpstr(world->body->str, ==, "hello");
	g_assert_nonnull(strstr(world->heads->str, "x-param: a b\n"));
}

static void test_pieces(struct world *world, gconstpointer data)
{
	web_server_handle(world->server, "/", pieces, NULL);
	world_get(world, "GET", "/");
	g_assert_true(world->result.ok);
	g_assert_cmpuint(world->body->len, ==, 5000);
	g_assert_true(g_str_has_suffix(world->body->str, "0999\n"));
	/* Pieces of one turn are sent together. */
	g_assert_cmpuint(world->pieces, <=, 3);
}

#define TEST(name, fn)                                                         \
	g_test_add("/web/server/" name, struct world, NULL, world_setup, fn,   \
		   world_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	TEST("whole", test_whole);
	TEST("pieces", test_pieces);
	return g_test_run();
}
