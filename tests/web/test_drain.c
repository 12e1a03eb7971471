/*
 * What a server that shuts down does with requests that it has received, in
 * whole or in part. Guards against requests that are handled and cannot be
 * answered.
 */
#include <string.h>
#include <unistd.h>

#include "h2.h"

#define DRAIN_USEC (2 * USEC_PER_MSEC)
#define COUNTED "GET /counted HTTP/1.1\r\nhost: a\r\n\r\n"

static void counted(void *ctx, struct web_request *request)
{
	int *count = ctx;

	++*count;
	web_reply(request, 200, "text/plain", "counted\n", 8);
}

/* A connection on which one request was handled and another was sent that the
 * server has not read. */
static int unread_open(struct world *world, int *count)
{
	int fd = raw_connect(web_server_address(world->server));

	web_server_handle(world->server, "/counted", counted, count);
	raw_send(fd, COUNTED, strlen(COUNTED));
	g_string_free(raw_read_until(world, fd, "counted\n"), TRUE);
	raw_send(fd, COUNTED, strlen(COUNTED));
	return fd;
}

/* Guards against requests that are handled on connections which a graceful
 * shutdown has closed. */
static void test_unread(struct world *world, gconstpointer data)
{
	int count = 0;
	int fd = unread_open(world, &count);
	GString *got;

	web_server_drain(world->server);
	got = raw_read_until(world, fd, NULL);
	world_iterate(world, 10);
	g_assert_cmpint(count, ==, 2);
	g_assert_nonnull(strstr(got->str, "counted\n"));
	g_assert_nonnull(strstr(got->str, "Connection: close"));
	g_string_free(got, TRUE);
	close(fd);
}

/* A request that has arrived in part when the shutdown begins is answered when
 * the rest has come, on a new connection and on a kept one. */
static void test_half_read(struct world *world, gconstpointer data)
{
	static const char half[] = "GET /counted HTTP/1.1\r\n";
	static const char rest[] = "host: a\r\n\r\n";
	int fds[2] = {raw_connect(web_server_address(world->server)),
		      raw_connect(web_server_address(world->server))};
	int count = 0;

	web_server_handle(world->server, "/counted", counted, &count);
	raw_send(fds[1], COUNTED, strlen(COUNTED));
	g_string_free(raw_read_until(world, fds[1], "counted\n"), TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		raw_send(fds[i], half, sizeof(half) - 1);
	world_iterate(world, 10);
	web_server_drain(world->server);
	world_iterate(world, 10);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		GString *got;

		raw_send(fds[i], rest, sizeof(rest) - 1);
		got = raw_read_until(world, fds[i], NULL);
		g_assert_nonnull(strstr(got->str, "Connection: close"));
		g_assert_true(g_str_has_suffix(got->str, "counted\n"));
		g_string_free(got, TRUE);
		close(fds[i]);
	}
}

struct late_drain {
	struct world *world;
	struct timer timer;
	struct loop_deferred sleep;
	int drained;
};

static void on_drain_timer(struct timer *timer, void *ctx)
{
	struct late_drain *late = ctx;

	web_server_drain(late->world->server);
	late->drained = 1;
}

static void on_sleep(void *ctx)
{
	g_usleep(DRAIN_USEC);
}

/* The same when the shutdown begins while the request is being read: a timer
 * that has become due fires in the first callback of an iteration. */
static void test_in_request(struct world *world, gconstpointer data)
{
	struct late_drain late = {.world = world};
	int count = 0;
	int fd = unread_open(world, &count);
	GString *got;

	timer_init(&late.timer, world->clock, on_drain_timer, &late);
	timer_start(&late.timer, DRAIN_USEC);
	loop_defer(world->loop, &late.sleep, on_sleep, NULL);
	world_run(world, &late.drained);
	got = raw_read_until(world, fd, NULL);
	g_assert_cmpint(count, ==, 2);
	g_assert_nonnull(strstr(got->str, "counted\n"));
	g_string_free(got, TRUE);
	close(fd);
}

/* The same when the server is destroyed. */
static void test_destroy(struct world *world, gconstpointer data)
{
	int count = 0;
	int fd = unread_open(world, &count);

	web_server_destroy(world->server);
	world->server = NULL;
	g_assert_cmpint(count, ==, 1);
	/* The connection has ended. */
	g_string_free(raw_read_until(world, fd, NULL), TRUE);
	close(fd);
}

/* The same over HTTP/2. */
static void test_destroy_h2(struct world *world, gconstpointer data)
{
	struct h2 *h2 =
		h2_create(raw_connect(web_server_address(world->server)));
	int count = 0;

	web_server_handle(world->server, "/counted", counted, &count);
	h2_request(h2, "GET", "/counted", 0);
	h2_run(world, h2, &h2->closed, 1);
	h2_request(h2, "GET", "/counted", 0);
	h2_send(h2);
	web_server_destroy(world->server);
	world->server = NULL;
	g_assert_cmpint(count, ==, 1);
	h2_destroy(h2);
}

/* Begins an answer that the test ends. */
static void reply_begin(void *ctx, struct web_request *request)
{
	*(struct web_request **)ctx = request;
	web_reply_start(request, 200, "text/plain");
	web_reply_piece(request, "some", 4);
}

/* Guards against connections that stay open after answers which were begun
 * before the shutdown. */
static void test_answer(struct world *world, gconstpointer data)
{
	static const char text[] = "GET /kept HTTP/1.1\r\nhost: a\r\n\r\n";
	int fd = raw_connect(web_server_address(world->server));
	struct web_request *request = NULL;
	GString *got;

	web_server_handle(world->server, "/kept", reply_begin, &request);
	raw_send(fd, text, sizeof(text) - 1);
	g_string_free(raw_read_until(world, fd, "some"), TRUE);
	web_server_drain(world->server);
	web_reply_end(request);
	got = raw_read_until(world, fd, NULL);
	g_assert_true(g_str_has_suffix(got->str, "0\r\n\r\n"));
	g_string_free(got, TRUE);
	close(fd);
}

#define TEST(name, fn)                                                         \
	g_test_add("/web/drain/" name, struct world, NULL, world_setup, fn,    \
		   world_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	TEST("unread", test_unread);
	TEST("half-read", test_half_read);
	TEST("in-request", test_in_request);
	TEST("answer", test_answer);
	TEST("destroy", test_destroy);
	TEST("destroy-h2", test_destroy_h2);
	return g_test_run();
}
