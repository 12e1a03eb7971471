#include "bodies.h"

#include <errno.h>
#include <sys/socket.h>

#include "common/clock.h"
#include "common/log.h"
#include "head.h"
#include "request.h"

/* At 1 Gbit/s some 1.2 MB arrive in this time. */
#define CHECK_INTERVAL_USEC (10 * USEC_PER_MSEC)
#define RETRY_AFTER_SEC "1"
#define DROP_BYTES ((size_t)16 << 10)
/* Reads of one connection in a callback. */
#define DROPS_MAX 8

static const char refusal[] = "HTTP/1.1 503 Service Unavailable\r\n"
			      "connection: close\r\n"
			      "content-length: 0\r\n"
			      "retry-after: " RETRY_AFTER_SEC "\r\n\r\n";

static bool bodies_reserve(struct bodies *bodies, size_t size, size_t *reserved)
{
	if (bodies->max > 0 &&
	    size > bodies->max - MIN(bodies->reserved, bodies->max)) {
		log_event(LOG_NOTICE, "body_refused",
			  LOG_D("bytes", (int64_t)size),
			  LOG_D("reserved", (int64_t)bodies->reserved));
		return false;
	}
	bodies->reserved += size;
	*reserved = size;
	return true;
}

void bodies_release(struct bodies *bodies, size_t *reserved)
{
	bodies->reserved -= *reserved;
	*reserved = 0;
}

bool bodies_admit(struct bodies *bodies, struct web_request *request)
{
	struct web_conn *conn = request_conn(request);
	size_t size = request->req->entity.len;
	bool is_reserved = conn && conn->reserved > 0;

	if (conn)
		bodies_release(bodies, &conn->reserved);
	if (size <= BODY_SMALL_MAX)
		return true;
	if (!is_reserved)
		return bodies_reserve(bodies, size, &request->reserved);
	bodies->reserved += size;
	request->reserved = size;
	return true;
}

void bodies_refuse(struct web_request *request)
{
	web_reply_header(request, "retry-after", RETRY_AFTER_SEC);
	web_reply(request, 503, "text/plain", "", 0);
}

/* Reads and drops the rest of a body, then has h2o close the connection. */
static void on_unread(h2o_socket_t *sock, const char *err)
{
	static char dropped[DROP_BYTES];
	struct web_conn *conn = sock->on_close.data;

	for (int i = 0; i < DROPS_MAX && !err && conn->unread > 0; i++) {
		ssize_t got = recv(h2o_socket_get_fd(sock), dropped,
				   sizeof(dropped), MSG_DONTWAIT);

		if (got < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (got <= 0)
			err = h2o_socket_error_closed;
		else
			conn->unread -= MIN((uint64_t)got, conn->unread);
	}
	if (err || conn->unread == 0)
		conn->h2o_read_cb(sock, h2o_socket_error_closed);
}

static void conn_refuse(struct web_conn *conn, uint64_t unread)
{
	h2o_socket_t *sock = conn->sock;

	(void)send(h2o_socket_get_fd(sock), refusal, sizeof(refusal) - 1,
		   MSG_DONTWAIT | MSG_NOSIGNAL);
	conn->unread = unread;
	h2o_socket_dont_read(sock, 1);
	h2o_socket_read_start(sock, on_unread);
}

/* Whether h2o is receiving a body that is not reserved yet. The read callback
 * is another one while a request is handled, on HTTP/2 and in a tunnel. h2o
 * sets it again after "100 Continue", so a connection cannot be refused before
 * that is written. */
static bool conn_is_unreserved(const struct web_conn *conn)
{
	const h2o_socket_t *sock = conn->sock;

	return sock->_cb.read == conn->h2o_read_cb && !sock->_cb.write &&
	       sock->input->size > BODY_SMALL_MAX && conn->reserved == 0;
}

static void conn_check(struct bodies *bodies, struct web_conn *conn)
{
	const h2o_buffer_t *input = conn->sock->input;
	uint64_t size;
	uint64_t unread;

	if (!head_request_size(input->bytes, input->size, &size))
		return;
	unread = size > input->size ? size - input->size : 0;
	if (!bodies_reserve(bodies, (size_t)MIN(size, bodies->body_max),
			    &conn->reserved))
		conn_refuse(conn, unread);
}

static void on_iteration(void *ctx)
{
	struct bodies *bodies = ctx;
	int64_t now = clock_now(loop_clock(bodies->loop));

	if (now - bodies->checked_at < CHECK_INTERVAL_USEC)
		return;
	bodies->checked_at = now;
	for (GList *link = bodies->conns->head; link; link = link->next)
		if (conn_is_unreserved(link->data))
			conn_check(bodies, link->data);
}

void bodies_init(struct bodies *bodies, struct loop *loop,
		 const struct web_limits *limits, const GQueue *conns)
{
	bodies->loop = loop;
	bodies->conns = conns;
	bodies->body_max = limits->body_bytes;
	if (limits->bodies_bytes == 0)
		return;
	/* A single body always fits. */
	bodies->max = MAX(limits->bodies_bytes, limits->body_bytes);
	loop_observe(loop, &bodies->observer, on_iteration, bodies);
}

void bodies_clear(struct bodies *bodies)
{
	loop_observe_end(&bodies->observer);
}
