#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#define ITERATIONS_MAX 20000
#define STEP_USEC (20 * USEC_PER_MSEC)

static void on_iteration(void *ctx, int64_t gap_us)
{
	struct world *world = ctx;

	if (!world->goal || *world->goal)
		loop_stop(world->loop);
}

void world_setup(struct world *world, gconstpointer data)
{
	static const struct web_limits limits = {
		.body_bytes = 1 << 20,
		.bodies_bytes = 16 << 20,
		.replies_bytes = 20 << 20,
		.connections = 64,
		.idle_usec = 5 * USEC_PER_SEC,
		.request_usec = 5 * USEC_PER_SEC,
	};
	struct error err = {0};

	/* Ends a test that hangs. */
	alarm(120);
	world->clock = clock_create_system();
	world->loop = loop_create(world->clock);
	loop_on_iteration(world->loop, on_iteration, world);
	world->server =
		web_server_create(world->loop, "127.0.0.1:0", &limits, &err);
	g_assert_cmpstr(err.text, ==, "");
	world->client = web_client_create(world->loop);
	world->body = g_string_new(NULL);
	world->heads = g_string_new(NULL);
}

void world_teardown(struct world *world, gconstpointer data)
{
	web_client_destroy(world->client);
	web_server_destroy(world->server);
	loop_destroy(world->loop);
	clock_destroy(world->clock);
	g_string_free(world->body, TRUE);
	g_string_free(world->heads, TRUE);
}

void world_run(struct world *world, const int *goal)
{
	world->goal = goal;
	if (!*goal)
		loop_run(world->loop);
	g_assert_true(*goal);
}

void world_run_within(struct world *world, const int *goal, int64_t limit_usec)
{
	int64_t end = clock_now(world->clock) + limit_usec;
	int64_t last = g_get_monotonic_time();

	world->goal = NULL;
	while (!*goal) {
		int64_t now;

		loop_run_h2o(world->loop, 1);
		now = g_get_monotonic_time();
		clock_advance(world->clock, clock_now(world->clock) +
						    MIN(now - last, STEP_USEC));
		last = now;
		g_assert_cmpint(clock_now(world->clock), <, end);
	}
}

void world_iterate(struct world *world, int iterations)
{
	world->goal = NULL;
	while (iterations-- > 0)
		loop_run_h2o(world->loop, 0);
}

static void on_head(void *ctx, int status, const struct web_header *headers,
		    size_t count)
{
	struct world *world = ctx;

	world->status = status;
	for (size_t i = 0; i < count; i++)
		g_string_append_printf(
			world->heads, "%.*s: %.*s\n", (int)headers[i].name.size,
			headers[i].name.data, (int)headers[i].value.size,
			headers[i].value.data);
}

static void on_body(void *ctx, const void *data, size_t size)
{
	struct world *world = ctx;

	world->pieces++;
	g_string_append_len(world->body, data, (gssize)size);
	if (world->cancel)
		web_call_cancel(world->cancel);
	world->cancel = NULL;
}

static void on_done(void *ctx, const struct web_result *result)
{
	struct world *world = ctx;

	g_assert_false(world->done);
	world->done = 1;
	world->result = *result;
	loop_stop(world->loop);
}

struct web_call *world_call(struct world *world, struct web_call_spec spec)
{
	static const struct web_call_ops ops = {on_head, on_body, on_done};

	if (!spec.address)
		spec.address = web_server_address(world->server);
	if (!spec.method)
		spec.method = "GET";
	if (!spec.path)
		spec.path = "/";
	world->done = 0;
	world->status = 0;
	world->pieces = 0;
	g_string_set_size(world->body, 0);
	g_string_set_size(world->heads, 0);
	return web_call(world->client, &spec, &ops, world);
}

void world_get(struct world *world, const char *method, const char *path)
{
	world_call(world,
		   (struct web_call_spec){.method = method, .path = path});
	world_run(world, &world->done);
}

static struct sockaddr_in address_of(const char *text)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)atoi(strchr(text, ':') + 1));
	return address;
}

int raw_connect(const char *address)
{
	struct sockaddr_in peer = address_of(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&peer, sizeof(peer)), ==,
			0);
	return fd;
}

int raw_connect_start(const char *address)
{
	struct sockaddr_in peer = address_of(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (connect(fd, (struct sockaddr *)&peer, sizeof(peer)) != 0)
		g_assert_cmpint(errno, ==, EINPROGRESS);
	return fd;
}

void raw_send(int fd, const void *data, size_t size)
{
	g_assert_cmpint(send(fd, data, size, MSG_NOSIGNAL), ==, (ssize_t)size);
}

void raw_push(struct world *world, int fd, const char *data, size_t size)
{
	for (int i = 0; i < ITERATIONS_MAX && size > 0; i++) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno != EAGAIN)
			return;
		if (n > 0) {
			data += n;
			size -= (size_t)n;
		}
		loop_run_h2o(world->loop, 0);
	}
}

GString *raw_read_until(struct world *world, int fd, const char *text)
{
	GString *all = g_string_new(NULL);
	char buf[4096];

	for (int i = 0; i < ITERATIONS_MAX; i++) {
		ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

		if (n == 0 || (n < 0 && errno == ECONNRESET))
			return all;
		if (n > 0)
			g_string_append_len(all, buf, n);
		if (text && memmem(all->str, all->len, text, strlen(text)))
			return all;
		loop_run_h2o(world->loop, n > 0 ? 0 : 1);
	}
	g_error("no \"%s\" in \"%s\"", text ? text : "close", all->str);
}

int raw_listen(char *address, size_t size)
{
	struct sockaddr_in self = address_of(":0");
	socklen_t len = sizeof(self);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&self, len), ==, 0);
	g_assert_cmpint(listen(fd, 16), ==, 0);
	getsockname(fd, (struct sockaddr *)&self, &len);
	g_snprintf(address, size, "127.0.0.1:%u", ntohs(self.sin_port));
	return fd;
}
