/*
 * tunnel.c - calls whose connection is opened by another server, a relay
 */
#include "call.h"
#include "input.h"
#include "keepalive.h"
#include "web/relay.h"

/* Gives the connection to the pool of the server's address, from which h2o
 * takes it for the call. */
static void on_joined(void *ctx)
{
	struct web_call *call = ctx;
	h2o_socket_t *sock = call->tunnel_sock;
	h2o_socketpool_t *pool = call->sockets;

	call->tunnel_sock = NULL;
	call->head_bytes = 0;
	head_clear(&call->head);
	sock->on_close.cb(sock->on_close.data);
	sock->on_close.cb = NULL;
	sock->on_close.data = pool;
	__sync_add_and_fetch(&pool->_shared.count, 1);
	if (h2o_socketpool_return(pool, sock) != 0) {
		call_fail(call, "the relayed connection cannot be used");
		return;
	}
	call_connect(call, pool);
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *http, const char *err,
				       int minor, int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t count,
				       int rlen)
{
	struct web_call *call = http->data;

	call_enter(call);
	call->http = NULL;
	if (err && err != h2o_http1client_error_is_eos)
		call->text = "the relay does not answer";
	else
		call->relay_status = status;
	if (call->relay_status == 101) {
		call->tunnel_sock = h2o_http1client_steal_socket(http);
		h2o_buffer_consume(&call->tunnel_sock->input, (size_t)rlen);
		loop_defer(call->client->loop, &call->joined, on_joined, call);
	} else if (!call->text) {
		call->text = "the relay does not connect";
	}
	(void)call_leave(call);
	return NULL;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *http,
					  const char *err, h2o_iovec_t **vecs,
					  size_t *count, int *is_head)
{
	struct web_call *call = http->data;

	if (err) {
		call->http = NULL;
		call_fail_later(call, "no connection to the relay");
		return NULL;
	}
	keepalive_enable(h2o_socket_get_fd(http->sock));
	/* Until the wrapper is installed, h2o must find nothing to parse. */
	input_own(http->sock);
	call->vec = h2o_iovec_init(call->tunnel->str, call->tunnel->len);
	*vecs = &call->vec;
	*count = 1;
	*is_head = 0;
	call_wrap_later(call);
	return on_head;
}

void tunnel_connect(struct web_call *call, const struct web_call_spec *spec,
		    h2o_socketpool_t *relay, h2o_socketpool_t *sockets)
{
	call->sockets = sockets;
	call->tunnel = g_string_new(NULL);
	g_string_append_printf(call->tunnel,
			       "GET %s HTTP/1.1\r\nhost: %s\r\nconnection: "
			       "upgrade\r\nupgrade: " WEB_RELAY_PROTOCOL
			       "\r\n\r\n",
			       spec->relay_path, spec->relay);
	call_timer_start(call);
	h2o_http1client_connect_with_pool(
		&call->http, call, &call->client->context, relay, on_connect);
}
