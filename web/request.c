#include "request.h"

#include <errno.h>
#include <poll.h>
#include <string.h>

#include "common/clock.h"
#include "head.h"

static struct web_text text_of(h2o_iovec_t vec)
{
	return (struct web_text){vec.base, vec.len};
}

void request_unwatch(struct web_request *request)
{
	if (!request->watched)
		return;
	request->watched = false;
	h2o_socket_read_stop(request->sock);
	h2o_socket_dont_read(request->sock, 0);
}

/* Peeks instead of reading: h2o keeps pointers into the input buffer while a
 * request is pending, and further requests can stay in the kernel's buffer. */
static void sock_readable(h2o_socket_t *sock, const char *err)
{
	struct web_conn *conn = sock->on_close.data;
	struct web_request *request = conn->request;
	char byte;
	ssize_t n = recv(h2o_socket_get_fd(sock), &byte, 1,
			 MSG_PEEK | MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	request_unwatch(request);
	if (n <= 0)
		request_hang_up(request);
}

/* h2o 2.2 stops reading an HTTP/1 connection until the answer is sent, so it
 * does not notice a disconnect. The request's version can't be used to detect
 * HTTP/1: the first request of a connection upgraded to HTTP/2 keeps the old
 * one. */
static void watch_start(struct web_request *request)
{
	h2o_conn_t *conn = request->req->conn;
	struct web_conn *owner;

	if (!conn->callbacks->log_.http1.request_index)
		return;
	request->sock = conn->callbacks->get_socket(conn);
	owner = request->sock->on_close.data;
	owner->request = request;
	owner->http1 = true;
	request->watched = true;
	h2o_socket_dont_read(request->sock, 1);
	h2o_socket_read_start(request->sock, sock_readable);
}

static void owner_notify_gone(struct web_request *request)
{
	if (request->ended)
		return;
	request->ended = true;
	if (request->gone_fn)
		request->gone_fn(request->gone_ctx);
}

/* Called when h2o clears the request's memory pool. */
static void request_dispose(void *ptr)
{
	struct web_request *request = ptr;

	loop_defer_cancel(&request->flush);
	if (request->sock) {
		struct web_conn *conn = request->sock->on_close.data;

		conn->request = NULL;
	}
	owner_notify_gone(request);
	loop_defer_cancel(&request->flush);
	server_request_remove(request->server, &request->link);
	bodies_release(request->bodies, &request->reserved);
	if (request->queue)
		g_byte_array_unref(request->queue);
	if (request->in_flight)
		g_byte_array_unref(request->in_flight);
}

struct web_request *web_request_create(struct web_server *server,
				       struct loop *loop, struct bodies *bodies,
				       const struct replies *replies,
				       h2o_req_t *req)
{
	struct web_request *request = h2o_mem_alloc_shared(
		&req->pool, sizeof(*request), request_dispose);

	memset(request, 0, sizeof(*request));
	request->generator.proceed = reply_proceed;
	request->req = req;
	request->server = server;
	request->loop = loop;
	request->bodies = bodies;
	request->replies = replies;
	request->link.data = request;
	server_request_add(server, &request->link);
	watch_start(request);
	return request;
}

struct web_conn *request_conn(const struct web_request *request)
{
	return request->sock ? request->sock->on_close.data : NULL;
}

/* h2o keeps the head at the start of the input until the answer is sent. */
bool request_is_framed(const struct web_request *request)
{
	const h2o_buffer_t *input;

	if (!request->sock)
		return true;
	input = request->sock->input;
	return head_request_is_framed(input->bytes, input->size);
}

void request_hang_up(struct web_request *request)
{
	request_unwatch(request);
	owner_notify_gone(request);
	reply_drop(request);
}

static bool sock_hung_up(const struct web_request *request)
{
	struct pollfd pfd = {.events = POLLRDHUP};

	if (!request->sock || request->watched)
		return false;
	pfd.fd = h2o_socket_get_fd(request->sock);
	return poll(&pfd, 1, 0) > 0;
}

void request_sweep(struct web_request *request, int64_t idle_usec)
{
	int64_t now = clock_now(loop_clock(request->loop));
	bool stalled =
		request->sending && now - request->sending_since > idle_usec;

	if (stalled || (!request->final_sent && sock_hung_up(request)))
		request_hang_up(request);
}

struct web_text web_request_method(const struct web_request *request)
{
	return text_of(request->req->input.method);
}

struct web_text web_request_path(const struct web_request *request)
{
	struct web_text path = text_of(request->req->input.path);

	path.size = MIN(path.size, request->req->input.query_at);
	return path;
}

struct web_text web_request_query(const struct web_request *request)
{
	struct web_text query = text_of(request->req->input.path);
	size_t at = request->req->input.query_at;

	if (at >= query.size)
		return (struct web_text){"", 0};
	query.data += at + 1;
	query.size -= at + 1;
	return query;
}

struct web_text web_request_target(const struct web_request *request)
{
	return text_of(request->req->input.path);
}

struct web_text web_request_authority(const struct web_request *request)
{
	return text_of(request->req->input.authority);
}

struct web_text web_request_body(const struct web_request *request)
{
	return text_of(request->req->entity);
}

struct web_text web_request_header(const struct web_request *request,
				   const char *name)
{
	const h2o_headers_t *headers = &request->req->headers;
	size_t size = strlen(name);

	for (size_t i = 0; i < headers->size; i++) {
		const h2o_header_t *header = &headers->entries[i];

		if (h2o_memis(header->name->base, header->name->len, name,
			      size))
			return text_of(header->value);
	}
	return (struct web_text){NULL, 0};
}

size_t web_request_headers(const struct web_request *request,
			   const struct web_header **headers)
{
	h2o_req_t *req = request->req;
	struct web_header *list = h2o_mem_alloc_pool(
		&req->pool, (req->headers.size + 1) * sizeof(*list));

	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *header = &req->headers.entries[i];

		list[i].name = text_of(*header->name);
		list[i].value = text_of(header->value);
	}
	*headers = list;
	return req->headers.size;
}

/* Decodes %XX and '+'; false when the result does not fit or contains NUL. */
static bool param_decode(const char *text, size_t len, char *value, size_t size)
{
	size_t out = 0;

	for (size_t i = 0; i < len; i++) {
		char c = text[i] == '+' ? ' ' : text[i];

		if (c == '%' && i + 2 < len && g_ascii_isxdigit(text[i + 1]) &&
		    g_ascii_isxdigit(text[i + 2])) {
			c = (char)(g_ascii_xdigit_value(text[i + 1]) * 16 +
				   g_ascii_xdigit_value(text[i + 2]));
			i += 2;
		}
		if (c == '\0' || out + 1 >= size)
			return false;
		value[out++] = c;
	}
	value[out] = '\0';
	return true;
}

bool web_request_param(const struct web_request *request, const char *name,
		       char *value, size_t size)
{
	struct web_text query = web_request_query(request);
	size_t len = strlen(name);

	while (query.size > 0) {
		const char *end = memchr(query.data, '&', query.size);
		size_t part = end ? (size_t)(end - query.data) : query.size;

		if (part > len && query.data[len] == '=' &&
		    memcmp(query.data, name, len) == 0)
			return param_decode(query.data + len + 1,
					    part - len - 1, value, size);
		part = MIN(part + 1, query.size);
		query.data += part;
		query.size -= part;
	}
	return false;
}

unsigned int web_request_version(const struct web_request *request)
{
	return (unsigned int)request->req->version;
}

void web_request_on_gone(struct web_request *request, web_gone_fn fn, void *ctx)
{
	request->gone_fn = fn;
	request->gone_ctx = ctx;
}
