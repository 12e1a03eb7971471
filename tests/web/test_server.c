/* The server: complete and streamed answers, routes, limits and pipelining. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h2.h"

#define FDS_MAX 256

static void echo(void *ctx, struct web_request *request)
{
	struct web_text body = web_request_body(request);
	char value[32] = "";

	web_request_param(request, "x", value, sizeof(value));
	web_reply_header(request, "X-Param", value);
	web_reply_header(request, "Date", "today");
	web_reply_header(request, "content-length", "77");
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

static void big(void *ctx, struct web_request *request)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < 1000000; i++)
		g_string_append_printf(text, "%07d\n", i);
	web_reply(request, 200, "text/plain", text->str, text->len);
	g_string_free(text, TRUE);
}

static void status(void *ctx, struct web_request *request)
{
	char value[8] = "200";

	web_request_param(request, "s", value, sizeof(value));
	web_reply(request, atoi(value), "text/plain", "body\n", 5);
}

static void named(void *ctx, struct web_request *request)
{
	web_reply(request, 200, NULL, ctx, strlen(ctx));
}

static void reply_truncated(void *ctx, struct web_request *request)
{
	web_reply_start(request, 200, "text/plain");
	web_reply_piece(request, "some", 4);
	web_reply_abort(request);
}

/* Leaves the answer open. */
static void reply_opened(void *ctx, struct web_request *request)
{
	web_reply_start(request, 200, "text/plain");
	web_reply_piece(request, "some", 4);
}

static void reply_aborted(void *ctx, struct web_request *request)
{
	web_reply_abort(request);
}

static void headers(void *ctx, struct web_request *request)
{
	const struct web_header *list;
	size_t count = web_request_headers(request, &list);
	struct web_text one = web_request_header(request, "x-one");
	struct web_text none = web_request_header(request, "x-none");
	GString *text = g_string_new(NULL);

	g_assert_null(none.data);
	for (size_t i = 0; i < count; i++)
		g_string_append_printf(
			text, "%.*s=%.*s;", (int)list[i].name.size,
			list[i].name.data, (int)list[i].value.size,
			list[i].value.data);
	g_string_append_printf(text, " one %.*s", (int)one.size, one.data);
	web_reply(request, 200, NULL, text->str, text->len);
	g_string_free(text, TRUE);
}

static void handle_all(struct world *world)
{
	static const struct {
		const char *prefix;
		web_handler_fn fn;
	} routes[] = {
		{"/", echo},
		{"/pieces", pieces},
		{"/big", big},
		{"/status", status},
		{"/cut", reply_truncated},
		{"/cut/0", reply_aborted},
		{"/headers", headers},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		web_server_handle(world->server, routes[i].prefix, routes[i].fn,
				  NULL);
}

static void test_whole(struct world *world, gconstpointer data)
{
	web_server_handle(world->server, "/", echo, NULL);
	world_call(world, (struct web_call_spec){.method = "POST",
						 .path = "/?y=1&x=a%20b",
						 .body = "hello",
						 .body_size = 5});
	world_run(world, &world->done);
	g_assert_true(world->result.ok);
	g_assert_cmpint(world->status, ==, 200);
	g_assert_cmpstr(world->body->str, ==, "hello");
	g_assert_nonnull(strstr(world->heads->str, "x-param: a b\n"));
	g_assert_nonnull(strstr(world->heads->str, "content-length: 5\n"));
	/* Headers that the server sets itself are not duplicated. */
	g_assert_null(strstr(world->heads->str, "today"));
	g_assert_null(strstr(world->heads->str, "77"));
}

static void test_pieces(struct world *world, gconstpointer data)
{
	handle_all(world);
	world_get(world, "GET", "/pieces");
	g_assert_true(world->result.ok);
	g_assert_cmpuint(world->body->len, ==, 5000);
	g_assert_true(g_str_has_suffix(world->body->str, "0999\n"));
	/* Pieces queued in one iteration of the loop are sent together. */
	g_assert_cmpuint(world->pieces, <=, 3);
}

static void test_big(struct world *world, gconstpointer data)
{
	struct h2 *h2 =
		h2_create(raw_connect(web_server_address(world->server)));

	handle_all(world);
	world_get(world, "GET", "/big");
	g_assert_true(world->result.ok);
	g_assert_cmpuint(world->body->len, ==, 8000000);
	g_assert_cmpint(memcmp(world->body->str + 7999992, "0999999\n", 8), ==,
			0);
	h2_request(h2, "GET", "/big", 0);
	h2_run(world, h2, &h2->closed, 1);
	g_assert_cmpuint(h2->body->len, ==, 8000000);
	g_assert_true(g_string_equal(h2->body, world->body));
	h2_destroy(h2);
}

static void test_routes(struct world *world, gconstpointer data)
{
	static char *prefixes[] = {"/a", "/", "/a/b", "/ab/"};
	static const struct {
		const char *path;
		const char *prefix;
	} cases[] = {
		{"/a", "/a"},	   {"/a/", "/a"},	 {"/a/c?x", "/a"},
		{"/a?/a/b", "/a"}, {"/ab", "/"},	 {"/ab/x", "/ab/"},
		{"/a/b", "/a/b"},  {"/a/b/c/d", "/a/b"}, {"/a/bc", "/a"},
		{"/", "/"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(prefixes); i++)
		web_server_handle(world->server, prefixes[i], named,
				  prefixes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_get(world, "GET", cases[i].path);
		g_assert_cmpstr(world->body->str, ==, cases[i].prefix);
	}
}

static void test_no_route(struct world *world, gconstpointer data)
{
	web_server_handle(world->server, "/a", echo, NULL);
	world_get(world, "GET", "/b");
	g_assert_cmpint(world->status, ==, 404);
}

/* Served only when the request before it certainly ends before it. */
#define SMUGGLED "GET /?x=end HTTP/1.1\r\nhost: a\r\n\r\n"

/* Raw requests, and what the answer contains. */
struct wire_case {
	const char *name;
	const char *text;
	size_t zeroes;	      /* sent after the text */
	const char *answer;   /* read until this */
	const char *contains; /* expected in the answer; may be NULL */
	const char *lacks;    /* not expected in it; may be NULL */
};

static const struct wire_case wire_cases[] = {
	{"pipelined",
	 "GET /?x=1 HTTP/1.1\r\nhost: a\r\n\r\n"
	 "GET /status?s=404 HTTP/1.1\r\nhost: a\r\n\r\n",
	 0, "404 Not Found", "x-param: 1", NULL},
	{"chunked",
	 "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
	 "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
	 0, "abcde", "Content-Length: 5", NULL},
	{"continue",
	 "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
	 "content-length: 3\r\n\r\nabc",
	 0, "abc", "100 Continue", NULL},
	{"declared too large",
	 "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1048577\r\n\r\n", 0,
	 "413", NULL, "200 OK"},
	{"chunks too large",
	 "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
	 "110000\r\n",
	 1 << 20, "413", NULL, "200 OK"},
	{"headers too large", "GET / HTTP/1.1\r\nx-long: ", 450000,
	 "400 Bad Request", NULL, "200 OK"},
	{"no request", "nonsense\r\n\r\n", 0, "400 Bad Request", NULL, NULL},
	{"bad length", "POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n", 0,
	 "400 Invalid Request", NULL, "200 OK"},
	{"request after a length and chunks",
	 "POST / HTTP/1.1\r\ncontent-length: 80\r\nhost: a\r\n"
	 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" SMUGGLED,
	 0, NULL, "400 Bad Request", "x-param: end"},
	{"request after the first of two lengths",
	 "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
	 "Content-Length: 80\r\n\r\nabc" SMUGGLED,
	 0, NULL, "400 Bad Request", "x-param: end"},
	{"request after chunks of another coding",
	 "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n"
	 "transfer-encoding: chunked\r\n\r\n0\r\n\r\n" SMUGGLED,
	 0, NULL, "400 Bad Request", "x-param: end"},
	{"request after two equal lengths",
	 "\r\nPOST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
	 "content-length: 3\r\n\r\nabc" SMUGGLED,
	 0, "x-param: end", "200 OK", "400"},
	{"header lookup",
	 "GET /headers HTTP/1.1\r\nhost: a\r\nX-One: 1\r\nx-two: b c\r\n\r\n",
	 0, "one 1", "x-one=1;x-two=b c;", NULL},
	{"head",
	 "HEAD /status HTTP/1.1\r\nhost: a\r\n\r\n"
	 "GET /?x=end HTTP/1.1\r\nhost: a\r\n\r\n",
	 0, "x-param: end", "Content-Length: 5", "body"},
	{"no content",
	 "GET /status?s=204 HTTP/1.1\r\nhost: a\r\n\r\n"
	 "GET /?x=end HTTP/1.1\r\nhost: a\r\n\r\n",
	 0, "x-param: end", "204 No Content", "body"},
	{"http 1.0", "GET /pieces HTTP/1.0\r\n\r\n", 0, NULL, "0999\n",
	 "chunked"},
	{"cut short", "GET /cut HTTP/1.1\r\nhost: a\r\n\r\n", 0, NULL, "some",
	 "\r\n0\r\n\r\n"},
	{"cut at once", "GET /cut/0 HTTP/1.1\r\nhost: a\r\n\r\n", 0, NULL, NULL,
	 "HTTP"},
};

static void test_wire(struct world *world, gconstpointer data)
{
	char *zeroes = g_strnfill(1 << 20, '0');

	handle_all(world);
	for (size_t i = 0; i < G_N_ELEMENTS(wire_cases); i++) {
		const struct wire_case *c = &wire_cases[i];
		int fd = raw_connect(web_server_address(world->server));
		GString *got;

		g_test_message("case: %s", c->name);
		raw_send(fd, c->text, strlen(c->text));
		raw_push(world, fd, zeroes, c->zeroes);
		got = raw_read_until(world, fd, c->answer);
		g_test_message("got: %.200s", got->str);
		if (c->answer)
			g_assert_nonnull(strstr(got->str, c->answer));
		if (c->contains)
			g_assert_nonnull(strstr(got->str, c->contains));
		if (c->lacks)
			g_assert_null(strstr(got->str, c->lacks));
		g_string_free(got, TRUE);
		close(fd);
	}
	g_free(zeroes);
}

/* Reads until the connection ends; returns 0 for an orderly close, or the
 * error. */
static int end_read(struct world *world, int fd)
{
	char data[4096];
	ssize_t n;

	do {
		world_iterate(world, 1);
		n = recv(fd, data, sizeof(data), MSG_DONTWAIT);
	} while (n > 0 || (n < 0 && errno == EAGAIN));
	return n < 0 ? errno : 0;
}

/* To a caller of HTTP/1.0 only a reset shows that an answer was cut off. */
static void test_unframed(struct world *world, gconstpointer data)
{
	static const struct {
		const char *request;
		int end;
	} cases[] = {
		{"GET /pieces HTTP/1.0\r\n\r\n", 0},
		{"GET /cut HTTP/1.0\r\n\r\n", ECONNRESET},
		{"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n", 0},
	};

	handle_all(world);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int fd = raw_connect(web_server_address(world->server));

		raw_send(fd, cases[i].request, strlen(cases[i].request));
		g_assert_cmpint(end_read(world, fd), ==, cases[i].end);
		close(fd);
	}
}

/* The same when the server is destroyed in the middle of the answer. */
static void test_unframed_stop(struct world *world, gconstpointer data)
{
	static const char request[] = "GET /open HTTP/1.0\r\n\r\n";
	int fd = raw_connect(web_server_address(world->server));

	web_server_handle(world->server, "/open", reply_opened, NULL);
	raw_send(fd, request, sizeof(request) - 1);
	g_string_free(raw_read_until(world, fd, "some"), TRUE);
	web_server_destroy(world->server);
	world->server = NULL;
	g_assert_cmpint(end_read(world, fd), ==, ECONNRESET);
	close(fd);
}

static void last_slice(void *ctx, struct web_request *request)
{
	const size_t *size = ctx;
	g_autofree char *text = g_strnfill(*size, 'x');

	web_reply_start(request, 200, "text/plain");
	web_reply_piece(request, text, *size);
	web_reply_end(request);
}

/* Whether the kernel would reset the caller's connection if the process ended.
 */
static bool reset_at_end(int caller)
{
	struct sockaddr_in own = {0};
	socklen_t size = sizeof(own);

	getsockname(caller, (struct sockaddr *)&own, &size);
	for (int fd = 0; fd < FDS_MAX; fd++) {
		struct sockaddr_in peer = {0};
		struct linger linger = {0};

		size = sizeof(peer);
		if (getpeername(fd, (struct sockaddr *)&peer, &size) != 0 ||
		    peer.sin_port != own.sin_port)
			continue;
		size = sizeof(linger);
		getsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, &size);
		return linger.l_onoff != 0 && linger.l_linger == 0;
	}
	return false;
}

/* The same when the process is killed while the last slice is sent. */
static void test_unframed_last_slice(struct world *world, gconstpointer data)
{
	static const char request[] = "GET /last HTTP/1.0\r\n\r\n";
	size_t size;
	int blocked = 0;

	web_server_handle(world->server, "/last", last_slice, &size);
	for (size = 64 << 10; size < 8 << 20; size += 64 << 10) {
		int fd = raw_connect(web_server_address(world->server));

		raw_send(fd, request, sizeof(request) - 1);
		world_iterate(world, 30);
		if (web_server_pending(world->server) > 0) {
			blocked++;
			g_assert_true(reset_at_end(fd));
		}
		g_assert_cmpint(end_read(world, fd), ==, 0);
		close(fd);
	}
	g_assert_cmpint(blocked, >, 0);
}

static void test_h2(struct world *world, gconstpointer data)
{
	static const struct {
		const char *method;
		const char *path;
		size_t zeroes;
		int status;
		size_t body;
		uint32_t code;
	} cases[] = {
		{"GET", "/pieces", 0, 200, 5000, NGHTTP2_NO_ERROR},
		{"POST", "/", 70000, 200, 70000, NGHTTP2_NO_ERROR},
		{"POST", "/", (1 << 20) + 1, 0, 0, NGHTTP2_REFUSED_STREAM},
		{"HEAD", "/status", 0, 200, 0, NGHTTP2_NO_ERROR},
		{"GET", "/status?s=204", 0, 204, 0, NGHTTP2_NO_ERROR},
		{"GET", "/cut", 0, 200, 4, NGHTTP2_PROTOCOL_ERROR},
		{"GET", "/cut/0", 0, 500, 0, NGHTTP2_PROTOCOL_ERROR},
	};

	handle_all(world);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct h2 *h2 = h2_create(
			raw_connect(web_server_address(world->server)));

		h2_request(h2, cases[i].method, cases[i].path, cases[i].zeroes);
		h2_run(world, h2, &h2->closed, 1);
		g_test_message("%s %d code %u", cases[i].path, h2->status,
			       h2->code);
		g_assert_cmpint(h2->status, ==, cases[i].status);
		g_assert_cmpuint(h2->code, ==, cases[i].code);
		if (cases[i].status == 200)
			g_assert_cmpuint(h2->body->len, ==, cases[i].body);
		h2_destroy(h2);
	}
}

static void test_upgrade(struct world *world, gconstpointer data)
{
	static const char text[] =
		"GET /pieces HTTP/1.1\r\nhost: a\r\nconnection: upgrade, "
		"http2-settings\r\nupgrade: h2c\r\n"
		"http2-settings: AAMAAABkAAQAAP__\r\n\r\n"
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
		"\0\0\0\4\0\0\0\0\0";
	int fd = raw_connect(web_server_address(world->server));
	GString *got;

	handle_all(world);
	raw_send(fd, text, sizeof(text) - 1);
	got = raw_read_until(world, fd, "0999\n");
	g_assert_nonnull(strstr(got->str, "101 Switching Protocols"));
	g_string_free(got, TRUE);
	close(fd);
}

static void test_connections(struct world *world, gconstpointer data)
{
	int fds[64];
	int extra;
	GString *got;

	handle_all(world);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = raw_connect(web_server_address(world->server));
	extra = raw_connect(web_server_address(world->server));
	got = raw_read_until(world, extra, NULL);
	g_assert_cmpuint(got->len, ==, 0);
	g_string_free(got, TRUE);
	close(extra);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	world_iterate(world, 100);
	world_get(world, "GET", "/status");
	g_assert_cmpint(world->status, ==, 200);
}

static void test_bind(struct world *world, gconstpointer data)
{
	static const struct {
		const char *address;
		enum result_code code;
	} cases[] = {
		{NULL, RESULT_BAD_SETTING},
		{"", RESULT_BAD_SETTING},
		{"127.0.0.1", RESULT_BAD_SETTING},
		{"127.0.0.1:", RESULT_BAD_SETTING},
		{"127.0.0.1:65536", RESULT_BAD_SETTING},
		{"localhost:80", RESULT_BAD_SETTING},
		{"[::1:0", RESULT_BAD_SETTING},
		{"192.0.2.1:0", RESULT_IO},
	};
	static const struct web_limits limits = {0};
	struct error err = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_assert_null(web_server_create(world->loop, cases[i].address,
						&limits, &err));
		g_assert_cmpint(err.code, ==, cases[i].code);
	}
	g_assert_null(web_server_create(
		world->loop, web_server_address(world->server), &limits, &err));
	g_assert_cmpint(err.code, ==, RESULT_IO);
}

#define TEST(name, fn)                                                         \
	g_test_add("/web/server/" name, struct world, NULL, world_setup, fn,   \
		   world_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	TEST("whole", test_whole);
	TEST("pieces", test_pieces);
	TEST("big", test_big);
	TEST("routes", test_routes);
	TEST("no-route", test_no_route);
	TEST("wire", test_wire);
	TEST("unframed", test_unframed);
	TEST("unframed-stop", test_unframed_stop);
	TEST("unframed-last-slice", test_unframed_last_slice);
	TEST("h2", test_h2);
	TEST("upgrade", test_upgrade);
	TEST("connections", test_connections);
	TEST("bind", test_bind);
	return g_test_run();
}
