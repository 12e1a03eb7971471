#include "call.h"

#include <string.h>
#include <sys/socket.h>

#include "head.h"
#include "keepalive.h"

#define HEADERS_MAX 100
#define CONNECT_TIMEOUT_DEFAULT_USEC (3 * USEC_PER_SEC)
#define HEAD_TIMEOUT_DEFAULT_USEC (30 * USEC_PER_SEC)
#define IDLE_TIMEOUT_DEFAULT_USEC (30 * USEC_PER_SEC)

static void call_destroy(struct web_call *call)
{
	timer_stop(&call->timer);
	loop_defer_cancel(&call->fail);
	loop_defer_cancel(&call->wrap);
	loop_defer_cancel(&call->joined);
	if (call->tunnel_sock)
		h2o_socket_close(call->tunnel_sock);
	if (call->tunnel)
		g_string_free(call->tunnel, TRUE);
	g_queue_unlink(&call->client->calls, &call->link);
	if (call->request)
		g_string_free(call->request, TRUE);
	if (call->release)
		call->release(call->ctx);
	if (call->owned_release)
		call->owned_release(call->owned);
	g_free(call);
}

void call_done(struct web_call *call, bool ok)
{
	const struct web_result result = {
		.ok = ok,
		.sent = call->is_connected,
		.timed_out = call->timed_out,
		.relay_status = call->relay_status,
		.text = ok ? NULL : call->text,
	};

	call->busy = true;
	timer_stop(&call->timer);
	if (!call->cancelled)
		call->ops.done(call->ctx, &result);
	call_destroy(call);
}

static void http_cancel(struct web_call *call)
{
	if (call->http)
		h2o_http1client_cancel(call->http);
	call->http = NULL;
}

void call_fail(struct web_call *call, const char *text)
{
	call->text = text;
	if (call->busy)
		return;
	http_cancel(call);
	call_done(call, false);
}

static void on_fail(void *ctx)
{
	call_done(ctx, false);
}

void call_fail_later(struct web_call *call, const char *text)
{
	call->text = text;
	loop_defer(call->client->loop, &call->fail, on_fail, call);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct web_call *call = ctx;
	int64_t limit = call->has_head ? call->idle_usec : call->head_usec;
	int64_t since =
		clock_now(loop_clock(call->client->loop)) - call->last_active;

	/* One of the call's callbacks runs, so bytes have just arrived. */
	if (call->busy)
		since = 0;
	if (!call->is_connected)
		limit = MIN(limit, call->connect_usec);
	if (since < limit) {
		timer_start(timer, limit - since);
		return;
	}
	call->timed_out = true;
	call_fail(call, call->is_connected ? "no answer in time"
					   : "no connection in time");
}

static void activity_record(struct web_call *call)
{
	call->last_active = clock_now(loop_clock(call->client->loop));
}

void call_enter(struct web_call *call)
{
	call->busy = true;
	loop_enter(call->client->loop);
	activity_record(call);
}

bool call_leave(struct web_call *call)
{
	call->busy = false;
	if (!call->cancelled && !call->text)
		return true;
	call->http = NULL;
	call_done(call, false);
	return false;
}

/* Prevents h2o from reusing the connection. */
static void sock_shutdown(h2o_http1client_t *http)
{
	if (http->sock)
		shutdown(h2o_socket_get_fd(http->sock), SHUT_RDWR);
}

/* h2o 2.2 treats a close after any complete chunk as the end of the body. At a
 * proper end the terminating empty chunk was read just now. */
static bool is_truncated(const struct web_call *call)
{
	return (call->is_chunked && call->http->sock->bytes_read == 0) ||
	       call->was_reset;
}

/* h2o 2.2 treats any end of the connection, also a reset, as the end of a body
 * without length. */
static void sock_read(h2o_socket_t *sock, const char *err)
{
	h2o_http1client_t *http = sock->data;
	struct web_call *call = http->data;

	call->was_reset = err && err != h2o_socket_error_closed;
	if (!call->has_head && !err &&
	    !head_is_valid(sock->input->bytes, sock->input->size)) {
		call_fail(call, "invalid content-length or transfer-encoding");
		return;
	}
	call->h2o_read_cb(sock, err);
}

static void sock_wrap(void *ctx);

static void sock_written(h2o_socket_t *sock, const char *err)
{
	h2o_http1client_t *http = sock->data;
	struct web_call *call = http->data;

	loop_defer(call->client->loop, &call->wrap, sock_wrap, call);
	call->h2o_write_cb(sock, err);
}

/* h2o sets its own read callbacks once the request is written and again after
 * it has reported the head, so the wrapper is installed each time. */
static void sock_wrap(void *ctx)
{
	struct web_call *call = ctx;
	h2o_socket_t *sock = call->http ? call->http->sock : NULL;

	if (sock && sock->_cb.read && sock->_cb.read != sock_read) {
		call->h2o_read_cb = sock->_cb.read;
		h2o_socket_read_start(sock, sock_read);
	} else if (sock && sock->_cb.write && sock->_cb.write != sock_written) {
		call->h2o_write_cb = sock->_cb.write;
		sock->_cb.write = sock_written;
	}
}

static void answer_end(struct web_call *call)
{
	if (call->fresh)
		sock_shutdown(call->http);
	call->http = NULL;
	call_done(call, !call->text);
}

static void input_take(struct web_call *call, h2o_http1client_t *http)
{
	h2o_buffer_t *input = http->sock ? http->sock->input : NULL;

	if (!input || input->size == 0)
		return;
	if (call->ops.body && !call->cancelled && !call->text)
		call->ops.body(call->ctx, input->bytes, input->size);
	h2o_buffer_consume(&http->sock->input, http->sock->input->size);
}

static int on_body(h2o_http1client_t *http, const char *err)
{
	struct web_call *call = http->data;

	call_enter(call);
	if (err && err != h2o_http1client_error_is_eos) {
		call->http = NULL;
		call->text = err;
		call_done(call, false);
		return -1;
	}
	input_take(call, http);
	if (err && is_truncated(call))
		call->text = "the answer was cut off";
	if (err) {
		answer_end(call);
		return 0;
	}
	return call_leave(call) ? 0 : -1;
}

static void head_report(struct web_call *call, int status,
			const h2o_header_t *headers, size_t count)
{
	struct web_header list[HEADERS_MAX];

	count = MIN(count, HEADERS_MAX);
	for (size_t i = 0; i < count; i++) {
		const h2o_iovec_t *name = headers[i].name;
		const h2o_iovec_t *value = &headers[i].value;

		list[i].name = (struct web_text){name->base, name->len};
		list[i].value = (struct web_text){value->base, value->len};
	}
	call->ops.head(call->ctx, status, list, count);
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *http, const char *err,
				       int minor, int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t count,
				       int rlen)
{
	struct web_call *call = http->data;

	call_enter(call);
	if (err && err != h2o_http1client_error_is_eos) {
		call->http = NULL;
		call->text = err;
		call_done(call, false);
		return NULL;
	}
	call->has_head = true;
	call->is_chunked =
		h2o_find_header(&(h2o_headers_t){headers, count, count},
				H2O_TOKEN_TRANSFER_ENCODING, -1) != -1;
	if (call->ops.head && !call->cancelled)
		head_report(call, status, headers, count);
	if (err) {
		answer_end(call);
		return NULL;
	}
	loop_defer(call->client->loop, &call->wrap, sock_wrap, call);
	/* From here on idle_usec applies. */
	timer_start(&call->timer, call->idle_usec);
	return call_leave(call) ? on_body : NULL;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *http,
					  const char *err, h2o_iovec_t **vecs,
					  size_t *count, int *is_head)
{
	struct web_call *call = http->data;

	if (err) {
		call->http = NULL;
		call_fail_later(call, err);
		return NULL;
	}
	keepalive_enable(h2o_socket_get_fd(http->sock));
	call->is_connected = true;
	activity_record(call);
	timer_start(&call->timer, call->head_usec);
	call->vec = h2o_iovec_init(call->request->str, call->request->len);
	*vecs = &call->vec;
	*count = 1;
	*is_head = call->is_head;
	loop_defer(call->client->loop, &call->wrap, sock_wrap, call);
	return on_head;
}

struct web_call *call_create(struct web_client *client,
			     const struct web_call_spec *spec,
			     const struct web_call_ops *ops, void *ctx)
{
	struct web_call *call = g_new0(struct web_call, 1);

	call->client = client;
	call->link.data = call;
	g_queue_push_tail_link(&client->calls, &call->link);
	call->ops = *ops;
	call->ctx = ctx;
	call->connect_usec = spec->connect_usec > 0
				     ? spec->connect_usec
				     : CONNECT_TIMEOUT_DEFAULT_USEC;
	call->head_usec = spec->head_usec > 0 ? spec->head_usec
					      : HEAD_TIMEOUT_DEFAULT_USEC;
	call->idle_usec = spec->idle_usec > 0 ? spec->idle_usec
					      : IDLE_TIMEOUT_DEFAULT_USEC;
	call->is_head = g_strcmp0(spec->method, "HEAD") == 0;
	call->fresh = spec->fresh || spec->relay;
	timer_init(&call->timer, loop_clock(client->loop), on_timer, call);
	return call;
}

void call_timer_start(struct web_call *call)
{
	activity_record(call);
	timer_start(&call->timer, MIN(call->head_usec, call->connect_usec));
}

void call_connect(struct web_call *call, h2o_socketpool_t *sockets)
{
	h2o_http1client_connect_with_pool(
		&call->http, call, &call->client->context, sockets, on_connect);
}

void web_call_cancel(struct web_call *call)
{
	call->cancelled = true;
	if (call->busy)
		return;
	http_cancel(call);
	call_destroy(call);
}

void web_call_attach(struct web_call *call, void *data,
		     void (*release)(void *data))
{
	call->owned = data;
	call->owned_release = release;
}
