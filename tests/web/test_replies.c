/*
 * Complete answers of callers that read slowly. Guards against answers that
 * together take more memory than the server may use.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

#define LARGE_BYTES ((size_t)8 << 20)

static void large(void *ctx, struct web_request *request)
{
	g_autofree char *text = g_strnfill(LARGE_BYTES, 'x');

	if (web_reply_make_room(request, LARGE_BYTES))
		web_reply(request, 200, NULL, text, LARGE_BYTES);
	else
		web_reply(request, 502, NULL, "full", 4);
}

/* Sends a request; a caller that reads slowly has read only the head then. */
static int large_open(struct world *world, int *status)
{
	static const char text[] = "GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
	int fd = raw_connect(web_server_address(world->server));
	char head[16] = "";

	raw_send(fd, text, sizeof(text) - 1);
	for (int i = 0; i < 5000 && recv(fd, head, 12, MSG_DONTWAIT) < 0; i++)
		world_iterate(world, 1);
	*status = atoi(head + strlen("HTTP/1.1 "));
	return fd;
}

static void test_replies(struct world *world, gconstpointer data)
{
	int fds[5];
	int status;

	web_server_handle(world->server, "/large", large, NULL);
	for (size_t i = 0; i < 3; i++) {
		fds[i] = large_open(world, &status);
		g_assert_cmpint(status, ==, i < 2 ? 200 : 502);
	}
	/* An answer that was read makes room. */
	g_string_free(raw_read_until(world, fds[1], "xxxxx"), TRUE);
	for (size_t got = 0; got < LARGE_BYTES - (1 << 20);) {
		char part[65536];
		ssize_t n = recv(fds[1], part, sizeof(part), MSG_DONTWAIT);

		got += (size_t)MAX(n, 0);
		world_iterate(world, 1);
	}
	world_iterate(world, 100);
	fds[3] = large_open(world, &status);
	g_assert_cmpint(status, ==, 200);
	/* So do those that were not read for long. */
	clock_advance(world->clock,
		      clock_now(world->clock) + 11 * USEC_PER_SEC);
	fds[4] = large_open(world, &status);
	g_assert_cmpint(status, ==, 200);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/web/replies", struct world, NULL, world_setup,
		   test_replies, world_teardown);
	return g_test_run();
}
