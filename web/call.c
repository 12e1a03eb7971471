#include "call.h"

#include <string.h>
#include <sys/socket.h>

#include "input.h"
#include "keepalive.h"
#include "unsent.h"

#define CONNECT_TIMEOUT_DEFAULT_USEC (3 * USEC_PER_SEC)
#define HEAD_TIMEOUT_DEFAULT_USEC (30 * USEC_PER_SEC)
#define IDLE_TIMEOUT_DEFAULT_USEC (30 * USEC_PER_SEC)
/* Framing of a chunk with one byte is five bytes, up to about 90 with an
 * extension. */
#define FRAME_RATIO 16

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
	head_clear(&call->head);
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
		.rejected = call->rejected && call->is_connected,
		.relay_status = call->relay_status,
		.body_end = call->body_end,
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

void call_reject(struct web_call *call, const char *text)
{
	call->rejected = true;
	call_fail(call, text);
}

/* Whether a part of a head has arrived. */
static bool head_is_arriving(const struct web_call *call)
{
	return !call->has_head && call->head_bytes > 0 && call->http &&
	       call->http->sock && call->http->sock->input->size > 0;
}

/* Time until the part of the answer that is arriving must be complete, apart
 * from the time-outs for silent servers. */
static int64_t receive_left(const struct web_call *call, int64_t now)
{
	if (head_is_arriving(call))
		return call->head_began + WEB_HEAD_RECEIVE_USEC - now;
	if (call->has_head && call->body_usec > 0)
		return call->head_at + call->body_usec - now;
	return INT64_MAX;
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct web_call *call = ctx;
	int64_t now = clock_now(loop_clock(call->client->loop));
	int64_t limit = call->has_head ? call->idle_usec : call->head_usec;
	int64_t since = now - call->last_active;
	int64_t left = receive_left(call, now);

	/* One of the call's callbacks runs, so bytes have just arrived. */
	if (call->busy)
		since = 0;
	if (!call->is_connected)
		limit = MIN(limit, call->connect_usec);
	if (since < limit && (left > 0 || call->busy)) {
		timer_start(timer, MIN(limit - since, MAX(left, 1)));
		return;
	}
	call->timed_out = true;
	if (since < limit) {
		call_reject(call, call->has_head
					  ? "the answer does not end in time"
					  : "the head does not end in time");
		return;
	}
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

/* Whether the server has closed before it had received the request. */
static bool is_request_unsent(const struct web_call *call)
{
	return unsent_bytes(h2o_socket_get_fd(call->http->sock)) > 0;
}

/* h2o 2.2 treats a close after any complete chunk as the end of the body. At a
 * proper end the terminating empty chunk was read just now. */
static bool is_truncated(const struct web_call *call)
{
	return (call->body_end == WEB_BODY_CHUNKS &&
		call->http->sock->bytes_read == 0) ||
	       (call->body_end == WEB_BODY_CLOSED && is_request_unsent(call)) ||
	       call->was_reset;
}

/* Advances the clock; false when that has ended the call. */
static bool sock_enter(struct web_call *call)
{
	call->busy = true;
	loop_enter(call->client->loop);
	call->busy = false;
	if (!call->cancelled && !call->text)
		return true;
	http_cancel(call);
	call_done(call, false);
	return false;
}

/* Marks the call as rejected; the read callback fails it. */
static const char *read_reject(struct web_call *call, const char *text)
{
	call->rejected = true;
	call->text = text;
	return NULL;
}

static const char *head_receive(struct web_call *call, h2o_socket_t *sock)
{
	bool begins = sock->input->size == 0;
	const char *err;

	if (call->head_bytes >= WEB_HEAD_BYTES_MAX)
		return read_reject(call, "the head is too large");
	err = input_read(sock, WEB_HEAD_BYTES_MAX - call->head_bytes);
	call->head_bytes += sock->bytes_read;
	if (begins && sock->bytes_read > 0) {
		int64_t now = clock_now(loop_clock(call->client->loop));
		int64_t left = call->last_active + call->head_usec - now;

		call->head_began = now;
		if (call->is_connected)
			timer_start(&call->timer,
				    CLAMP(left, 1, WEB_HEAD_RECEIVE_USEC));
	}
	return err;
}

static const char *body_receive(struct web_call *call, h2o_socket_t *sock)
{
	const char *err;

	if (call->body_read >
	    WEB_FRAME_BYTES_MAX + FRAME_RATIO * call->body_bytes)
		return read_reject(call,
				   "the framing of the body is too large");
	err = input_read(sock, INPUT_READ_MAX);
	call->body_read += sock->bytes_read;
	return err;
}

/* Replaces the first size bytes of the input with the head for h2o. */
static bool head_replace(struct web_call *call, h2o_socket_t *sock, size_t size)
{
	g_autoptr(GString) text = head_print(&call->head);
	size_t rest = sock->input->size - size;
	h2o_buffer_t *input;

	if (text->len > size &&
	    !h2o_buffer_reserve(&sock->input, text->len - size).base)
		return false;
	input = sock->input;
	memmove(input->bytes + text->len, input->bytes + size, rest);
	memcpy(input->bytes, text->str, text->len);
	input->size = text->len + rest;
	return true;
}

/* Only relays are asked to switch protocols. */
static bool is_switch_unasked(const struct web_call *call)
{
	bool asks_relay = call->tunnel && call->relay_status == 0;

	return call->head.status == STATUS_SWITCHING && !asks_relay;
}

/* Parses the input up to the final head; false when it is incomplete, or the
 * call has failed. */
static bool head_take(struct web_call *call, h2o_socket_t *sock)
{
	struct head *head = &call->head;
	enum head_result result;

	while ((result = head_read(head, sock->input->bytes,
				   sock->input->size)) == HEAD_INFORMATIONAL) {
		h2o_buffer_consume(&sock->input, head->size);
		head_clear(head);
	}
	if (result == HEAD_INVALID)
		call_fail(call, head->text_invalid);
	if (result != HEAD_COMPLETE)
		return false;
	if (is_switch_unasked(call)) {
		call_fail(call, "the server switches protocols unasked");
		return false;
	}
	/* h2o closes the connection instead of keeping it. */
	head->closes |= call->fresh;
	if (head_replace(call, sock, head->size))
		return true;
	call_fail(call, h2o_socket_error_out_of_memory);
	return false;
}

/* h2o 2.2 treats any end of the connection, also a reset, as the end of a body
 * without length. */
static void sock_read(h2o_socket_t *sock, const char *err)
{
	h2o_http1client_t *http = sock->data;
	struct web_call *call = http->data;

	if (!sock_enter(call))
		return;
	if (!err)
		err = call->has_head ? body_receive(call, sock)
				     : head_receive(call, sock);
	if (call->rejected) {
		call_fail(call, call->text);
		return;
	}
	if (!err && sock->bytes_read == 0)
		return;
	call->was_reset = err && err != h2o_socket_error_closed;
	if (!call->has_head && !err && !head_take(call, sock))
		return;
	call->h2o_read_cb(sock, err);
}

static void sock_wrap(void *ctx);

static void sock_written(h2o_socket_t *sock, const char *err)
{
	h2o_http1client_t *http = sock->data;
	struct web_call *call = http->data;

	call_wrap_later(call);
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
		input_own(sock);
		h2o_socket_read_start(sock, sock_read);
	} else if (sock && sock->_cb.write && sock->_cb.write != sock_written) {
		call->h2o_write_cb = sock->_cb.write;
		sock->_cb.write = sock_written;
	}
}

void call_wrap_later(struct web_call *call)
{
	loop_defer(call->client->loop, &call->wrap, sock_wrap, call);
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
	call->body_bytes += input->size;
	if (call->ops.body && !call->cancelled && !call->text)
		call->ops.body(call->ctx, input->bytes, input->size);
	h2o_buffer_consume(&http->sock->input, http->sock->input->size);
}

static int on_body(h2o_http1client_t *http, const char *err)
{
	struct web_call *call = http->data;
	size_t body_bytes = call->body_bytes;
	int64_t last_active = call->last_active;

	call_enter(call);
	if (err && err != h2o_http1client_error_is_eos) {
		call->http = NULL;
		call->text = err;
		call_done(call, false);
		return -1;
	}
	input_take(call, http);
	/* The framing of chunks alone is no progress. */
	if (call->body_bytes == body_bytes)
		call->last_active = last_active;
	if (err && is_truncated(call))
		call->text = "the answer was cut off";
	if (err) {
		answer_end(call);
		return 0;
	}
	return call_leave(call) ? 0 : -1;
}

static enum web_body_end body_end_of(const struct head *head, bool has_body)
{
	if (!has_body || head->framing == FRAMING_LENGTH)
		return WEB_BODY_SIZED;
	return head->framing == FRAMING_CHUNKED ? WEB_BODY_CHUNKS
						: WEB_BODY_CLOSED;
}

static void head_report(struct web_call *call)
{
	g_autofree struct web_header *headers = NULL;
	size_t count;

	headers = head_headers(&call->head, &count);
	call->ops.head(call->ctx, call->head.status, headers, count);
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
	call->head_at = call->last_active;
	call->body_end = body_end_of(&call->head, !err);
	if (call->ops.head && !call->cancelled)
		head_report(call);
	head_clear(&call->head);
	if (err) {
		answer_end(call);
		return NULL;
	}
	call_wrap_later(call);
	/* From here on idle_usec and body_usec apply. */
	timer_start(&call->timer,
		    call->body_usec > 0 ? MIN(call->idle_usec, call->body_usec)
					: call->idle_usec);
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
	/* Until the wrapper is installed, h2o must find nothing to parse. */
	input_own(http->sock);
	call->is_connected = true;
	activity_record(call);
	timer_start(&call->timer, call->head_usec);
	call->vec = h2o_iovec_init(call->request->str, call->request->len);
	*vecs = &call->vec;
	*count = 1;
	*is_head = call->is_head;
	call_wrap_later(call);
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
	call->body_usec = spec->body_usec;
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
