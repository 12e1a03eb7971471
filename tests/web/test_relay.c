/* Calls through a relay: failures of its own, cancelled calls, large bodies. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay_handler.h"

/* A read of the client when little has arrived. */
#define READ_BYTES ((size_t)4096)
#define BODY_BYTES ((size_t)1 << 20)
#define FDS_MAX 256
#define STALL_USEC (3 * USEC_PER_MSEC)

struct site {
	struct world world; /* the caller's client, and the relay */
	struct relay_handler handler;
	struct web_server *backend;
	char path[64];
	char *backend_address;
	int arrived;
	struct web_request *pending;
};

static void site_setup(struct site *site, gconstpointer data)
{
	static const struct web_limits limits = {
		.body_bytes = BODY_BYTES,
		.bodies_bytes = 4 * BODY_BYTES,
		.connections = 8,
		.idle_usec = 5 * USEC_PER_SEC,
		.request_usec = 5 * USEC_PER_SEC,
	};
	struct error err = {0};

	world_setup(&site->world, data);
	relay_handler_setup(&site->handler, &site->world);
	site->backend = web_server_create(site->world.loop, "127.0.0.1:0",
					  &limits, &err);
	g_assert_cmpstr(err.text, ==, "");
	site->backend_address = g_strdup(web_server_address(site->backend));
	(void)g_snprintf(site->path, sizeof(site->path), "/%s",
			 site->backend_address);
}

static void site_teardown(struct site *site, gconstpointer data)
{
	relay_handler_teardown(&site->handler, &site->world);
	web_server_destroy(site->backend);
	g_free(site->backend_address);
	world_teardown(&site->world, data);
}

static struct web_call *site_call(struct site *site, struct web_call_spec spec)
{
	spec.address = site->backend_address;
	if (!spec.relay)
		spec.relay = web_server_address(site->world.server);
	spec.relay_path = site->path;
	return world_call(&site->world, spec);
}

static void echo(void *ctx, struct web_request *request)
{
	struct web_text body = web_request_body(request);

	web_reply(request, 200, NULL, body.data, body.size);
}

static void on_gone(void *ctx)
{
	struct site *site = ctx;

	site->pending = NULL;
}

/* Starts an answer and leaves it open. */
static void begin(void *ctx, struct web_request *request)
{
	struct site *site = ctx;

	site->arrived++;
	site->pending = request;
	web_request_on_gone(request, on_gone, site);
	web_reply_start(request, 200, "text/plain");
	web_reply_piece(request, "some", 4);
}

static void test_large(struct site *site, gconstpointer data)
{
	g_autofree char *body = g_strnfill(BODY_BYTES, 'x');

	web_server_handle(site->backend, "/", echo, NULL);
	site_call(site, (struct web_call_spec){.method = "POST",
					       .body = body,
					       .body_size = BODY_BYTES});
	world_run(&site->world, &site->world.done);
	g_assert_true(site->world.result.ok);
	g_assert_cmpint(site->world.result.relay_status, ==, 101);
	g_assert_cmpstr(site->world.body->str, ==, body);
}

static void not_sent_check(const struct site *site, int status)
{
	g_assert_false(site->world.result.ok);
	g_assert_false(site->world.result.sent);
	g_assert_cmpint(site->world.result.relay_status, ==, status);
}

/* The relay cannot connect to the server. */
static void test_refused(struct site *site, gconstpointer data)
{
	web_server_destroy(site->backend);
	site->backend = NULL;
	site_call(site, (struct web_call_spec){0});
	world_run(&site->world, &site->world.done);
	not_sent_check(site, 502);
}

static void test_no_relay(struct site *site, gconstpointer data)
{
	char address[32];

	close(raw_listen(address, sizeof(address)));
	site_call(site, (struct web_call_spec){.relay = address});
	world_run(&site->world, &site->world.done);
	not_sent_check(site, 0);
	site_call(site, (struct web_call_spec){.relay = "nowhere"});
	world_run(&site->world, &site->world.done);
	not_sent_check(site, 0);
}

/* A paused relay: its kernel accepts the connection, but nobody answers. */
static void test_silent_relay(struct site *site, gconstpointer data)
{
	char address[32];
	int listener = raw_listen(address, sizeof(address));

	site_call(site,
		  (struct web_call_spec){.relay = address,
					 .connect_usec = 150 * USEC_PER_MSEC});
	world_run(&site->world, &site->world.done);
	not_sent_check(site, 0);
	g_assert_true(site->world.result.timed_out);
	close(listener);
}

/* A server that is no relay answers. */
static void test_other_server(struct site *site, gconstpointer data)
{
	web_server_handle(site->backend, "/", echo, NULL);
	site_call(site, (struct web_call_spec){.relay = site->backend_address});
	world_run(&site->world, &site->world.done);
	not_sent_check(site, 200);
}

/* The server notices at once that the caller has cancelled. */
static void test_cancel(struct site *site, gconstpointer data)
{
	struct web_call *call;

	web_server_handle(site->backend, "/", begin, site);
	call = site_call(site, (struct web_call_spec){0});
	world_run(&site->world, &site->arrived);
	world_iterate(&site->world, 20);
	g_assert_cmpuint(web_relays_count(site->handler.relays), ==, 1);
	web_call_cancel(call);
	world_iterate(&site->world, 20);
	g_assert_null(site->pending);
	g_assert_cmpuint(web_relays_count(site->handler.relays), ==, 0);
	g_assert_false(site->world.done);
}

/* Cancelled at each iteration until the answer begins. */
static void test_cancel_early(struct site *site, gconstpointer data)
{
	web_server_handle(site->backend, "/", begin, site);
	for (int i = 0; i < 30; i++) {
		struct web_call *call =
			site_call(site, (struct web_call_spec){0});

		world_iterate(&site->world, i);
		web_call_cancel(call);
		world_iterate(&site->world, 20);
		g_assert_null(site->pending);
		g_assert_cmpuint(web_relays_count(site->handler.relays), ==, 0);
	}
	g_assert_cmpint(site->arrived, >, 0);
}

static void on_stall(struct timer *timer, void *ctx)
{
	g_usleep(STALL_USEC);
	timer_start(timer, 0);
}

/* The process is stalled in each iteration of the loop, before it reads its
 * sockets, so that each time-out expires just before a callback of its call. */
static void test_stalled(struct site *site, gconstpointer data)
{
	struct timer stall;

	web_server_handle(site->backend, "/", echo, NULL);
	timer_init(&stall, site->world.clock, on_stall, NULL);
	timer_start(&stall, 0);
	for (int64_t msec = 1; msec < 80; msec++) {
		site->handler.connect_usec = msec * USEC_PER_MSEC;
		site_call(site,
			  (struct web_call_spec){.connect_usec = USEC_PER_SEC});
		world_run(&site->world, &site->world.done);
		site->handler.connect_usec = USEC_PER_SEC;
		site_call(site, (struct web_call_spec){
					.connect_usec = msec * USEC_PER_MSEC});
		world_run(&site->world, &site->world.done);
		g_assert_true(site->world.result.ok ||
			      site->world.result.timed_out);
	}
	timer_stop(&stall);
}

/* The relay's process stops: the call fails, and the server notices. */
static void test_relay_stops(struct site *site, gconstpointer data)
{
	web_server_handle(site->backend, "/", begin, site);
	site_call(site, (struct web_call_spec){0});
	world_run(&site->world, &site->arrived);
	world_iterate(&site->world, 20);
	relay_handler_teardown(&site->handler, &site->world);
	world_run(&site->world, &site->world.done);
	g_assert_false(site->world.result.ok);
	g_assert_true(site->world.result.sent);
	world_iterate(&site->world, 20);
	g_assert_null(site->pending);
	site->handler.relays = NULL;
}

/* Sends half of an answer without a length through the relay; returns the
 * server's socket. */
static int unframed_begin(struct site *site)
{
	static const char half[] = "HTTP/1.1 200 OK\r\n\r\nhal";
	char address[32];
	char path[64];
	int listener = raw_listen(address, sizeof(address));
	int fd = -1;

	(void)g_snprintf(path, sizeof(path), "/%s", address);
	world_call(&site->world,
		   (struct web_call_spec){
			   .address = address,
			   .path = "/",
			   .fresh = true,
			   .relay = web_server_address(site->world.server),
			   .relay_path = path,
		   });
	for (int i = 0; i < 1000 && fd < 0; i++) {
		world_iterate(&site->world, 1);
		fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	}
	g_assert_cmpint(fd, >=, 0);
	close(listener);
	g_string_free(raw_read_until(&site->world, fd, "\r\n\r\n"), TRUE);
	raw_send(fd, half, sizeof(half) - 1);
	while (site->world.body->len < 3)
		world_iterate(&site->world, 1);
	return fd;
}

/* The server's orderly close is passed on. */
static void test_unframed(struct site *site, gconstpointer data)
{
	int fd = unframed_begin(site);

	raw_send(fd, "f", 1);
	close(fd);
	world_run(&site->world, &site->world.done);
	g_assert_true(site->world.result.ok);
	g_assert_cmpint(site->world.result.body_end, ==, WEB_BODY_CLOSED);
	g_assert_cmpstr(site->world.body->str, ==, "half");
}

/* A reset that arrives together with the last bytes of a read is not lost. */
static void test_unframed_reset(struct site *site, gconstpointer data)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
	static const struct linger reset = {.l_onoff = 1};
	g_autofree char *text = g_strnfill(3 * READ_BYTES, 'x');

	memcpy(text, head, sizeof(head) - 1);
	for (size_t size = READ_BYTES - 32; size < 3 * READ_BYTES; size++) {
		char address[32];
		int listener = raw_listen(address, sizeof(address));
		int fd;

		site->world.done = 0;
		world_call(&site->world,
			   (struct web_call_spec){.address = address,
						  .path = "/",
						  .fresh = true});
		while ((fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK)) < 0)
			world_iterate(&site->world, 1);
		close(listener);
		g_string_free(raw_read_until(&site->world, fd, "\r\n\r\n"),
			      TRUE);
		raw_send(fd, text, size);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		close(fd);
		world_run(&site->world, &site->world.done);
		g_assert_false(site->world.result.ok);
		if (size % READ_BYTES == 32)
			size += READ_BYTES - 64;
	}
}

/* The relay's process stops: its close is not the server's. */
static void test_unframed_relay_stops(struct site *site, gconstpointer data)
{
	int fd = unframed_begin(site);

	relay_handler_teardown(&site->handler, &site->world);
	world_run(&site->world, &site->world.done);
	g_assert_false(site->world.result.ok);
	site->handler.relays = NULL;
	close(fd);
}

static int option(int fd, int level, int name)
{
	socklen_t size = sizeof(int);
	int value = -1;

	g_assert_cmpint(getsockopt(fd, level, name, &value, &size), ==, 0);
	return value;
}

/* TCP_USER_TIMEOUT also decides when keep-alive probes give up, whatever their
 * number, so on no connection may the two differ. */
static void test_keepalive(struct site *site, gconstpointer data)
{
	int connections = 0;

	web_server_handle(site->backend, "/", begin, site);
	site_call(site, (struct web_call_spec){0});
	world_run(&site->world, &site->arrived);
	world_iterate(&site->world, 20);
	for (int fd = 0; fd < FDS_MAX; fd++) {
		struct sockaddr_storage peer = {0};
		socklen_t size = sizeof(peer);
		int probes_sec;

		if (getpeername(fd, (struct sockaddr *)&peer, &size) != 0 ||
		    peer.ss_family != AF_INET)
			continue;
		connections++;
		g_assert_cmpint(option(fd, SOL_SOCKET, SO_KEEPALIVE), ==, 1);
		probes_sec = option(fd, IPPROTO_TCP, TCP_KEEPIDLE) +
			     option(fd, IPPROTO_TCP, TCP_KEEPINTVL) *
				     option(fd, IPPROTO_TCP, TCP_KEEPCNT);
		g_assert_cmpint(option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT), ==,
				probes_sec * 1000);
	}
	/* Both ends of the caller's connection to the relay, and of the
	 * relay's to the server. */
	g_assert_cmpint(connections, ==, 4);
}

#define TEST(name, fn)                                                         \
	g_test_add("/web/relay/" name, struct site, NULL, site_setup, fn,      \
		   site_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	TEST("large", test_large);
	TEST("refused", test_refused);
	TEST("no-relay", test_no_relay);
	TEST("silent-relay", test_silent_relay);
	TEST("other-server", test_other_server);
	TEST("cancel", test_cancel);
	TEST("cancel-early", test_cancel_early);
	TEST("relay-stops", test_relay_stops);
	TEST("unframed", test_unframed);
	TEST("unframed-reset", test_unframed_reset);
	TEST("unframed-relay-stops", test_unframed_relay_stops);
	TEST("stalled", test_stalled);
	TEST("keepalive", test_keepalive);
	return g_test_run();
}
