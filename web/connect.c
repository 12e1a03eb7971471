#include "web/connect.h"

#include <glib.h>
#include <stdbool.h>

#include "common/address.h"
#include "common/clock.h"
#include "keepalive.h"
#include "web/loop.h"

struct web_connect {
	struct loop *loop;
	h2o_socket_t *sock;
	struct timer timer;
	struct loop_deferred fail;
	web_connect_fn fn;
	void *ctx;
	bool busy; /* in a callback of h2o */
	bool cancelled;
};

static void connect_free(struct web_connect *connect)
{
	timer_stop(&connect->timer);
	loop_defer_cancel(&connect->fail);
	g_free(connect);
}

static void connect_end(struct web_connect *connect,
			enum web_connect_result result, h2o_socket_t *sock)
{
	web_connect_fn fn = connect->fn;
	void *ctx = connect->ctx;

	connect_free(connect);
	fn(ctx, result, (struct web_connection *)sock);
}

static void on_timeout(struct timer *timer, void *ctx)
{
	struct web_connect *connect = ctx;

	h2o_socket_close(connect->sock);
	connect_end(connect, WEB_CONNECT_TIMED_OUT, NULL);
}

static void on_connected(h2o_socket_t *sock, const char *err)
{
	struct web_connect *connect = sock->data;

	timer_stop(&connect->timer);
	/* Timers that are due may cancel the attempt. */
	connect->busy = true;
	loop_enter(connect->loop);
	connect->busy = false;
	if (connect->cancelled) {
		web_connect_cancel(connect);
		return;
	}
	if (err) {
		h2o_socket_close(sock);
		connect_end(connect, WEB_CONNECT_REFUSED, NULL);
		return;
	}
	keepalive_enable(h2o_socket_get_fd(sock));
	connect_end(connect, WEB_CONNECTED, sock);
}

static void on_refused(void *ctx)
{
	connect_end(ctx, WEB_CONNECT_REFUSED, NULL);
}

struct web_connect *web_connect(struct loop *loop, const char *address,
				int64_t timeout_usec, web_connect_fn fn,
				void *ctx)
{
	struct web_connect *connect = g_new0(struct web_connect, 1);
	struct sockaddr_storage to;
	socklen_t size;

	connect->loop = loop;
	connect->fn = fn;
	connect->ctx = ctx;
	timer_init(&connect->timer, loop_clock(loop), on_timeout, connect);
	if (address_parse(address, &to, &size, NULL))
		connect->sock = h2o_socket_connect(loop_h2o(loop),
						   (struct sockaddr *)&to, size,
						   on_connected);
	if (!connect->sock) {
		loop_defer(loop, &connect->fail, on_refused, connect);
		return connect;
	}
	connect->sock->data = connect;
	timer_start(&connect->timer, timeout_usec);
	return connect;
}

void web_connect_cancel(struct web_connect *connect)
{
	connect->cancelled = true;
	if (connect->busy)
		return;
	if (connect->sock)
		h2o_socket_close(connect->sock);
	connect_free(connect);
}

void web_connection_close(struct web_connection *connection)
{
	h2o_socket_close((h2o_socket_t *)connection);
}
