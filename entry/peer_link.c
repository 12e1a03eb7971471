/*
 * peer_link.c - one TCP connection to another instance, on h2o sockets
 */
#include "entry/peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "common/address.h"
#include "common/error.h"

/* Closes a link whose data stays unacknowledged for this long. Also bounds the
 * time that a retired link may take to close. */
#define USER_TIMEOUT_MSEC 3000

const char link_timed_out[] = "timed out";

static void link_clear(gpointer data)
{
	struct link *link = data;

	frame_reader_destroy(link->reader);
	g_byte_array_free(link->out, TRUE);
}

static void segments_count(struct link *link)
{
	uint64_t sent;
	uint64_t received;

	link_segments(link, &sent, &received);
	link->traffic->segments_sent += sent;
	link->traffic->segments_received += received;
}

void link_close(struct link *link)
{
	if (link->closed)
		return;
	segments_count(link);
	link->closed = true;
	timer_stop(&link->timeout);
	h2o_socket_close(link->socket);
	g_rc_box_release_full(link, link_clear);
}

static void link_end(struct link *link, const char *reason)
{
	if (link->closed)
		return;
	link->ops->closed(link->ctx, link, reason);
	link_close(link);
}

static void timeout_fire(struct timer *timer, void *ctx)
{
	link_end(ctx, link_timed_out);
}

static void message_receive(void *ctx, enum channel channel,
			    const void *payload, size_t size)
{
	struct link *link = ctx;

	if (link->closed)
		return;
	link->last_used = clock_now(loop_clock(link->loop));
	link->ops->message(link->ctx, link, channel, payload, size);
}

static bool input_feed(struct link *link)
{
	h2o_socket_t *socket = link->socket;
	struct error err;
	size_t size = socket->input->size;

	if (size == 0)
		return true;
	link->traffic->bytes_received += size;
	bool ok = frame_reader_feed(link->reader, socket->input->bytes, size,
				    &err);
	if (!link->closed)
		h2o_buffer_consume(&socket->input, size);
	return ok;
}

static void link_finish(struct link *link)
{
	if (link->writing)
		return;
	if (link->peer_closed)
		link_end(link, "ended");
	else
		shutdown(h2o_socket_get_fd(link->socket), SHUT_WR);
}

/* At the end of the stream a write in progress is finished before the link is
 * closed; a read error closes it at once. */
static void read_end(struct link *link, const char *err)
{
	h2o_socket_read_stop(link->socket);
	link->peer_closed = true;
	if (err != h2o_socket_error_closed || !link->writing)
		link_end(link, err == h2o_socket_error_closed ? "ended" : err);
	else
		link_retire(link);
}

/* Holds a reference until link_leave(), since timers run by loop_enter() may
 * close the link. */
static void link_enter(struct link *link)
{
	g_rc_box_acquire(link);
	loop_enter(link->loop);
}

static void link_leave(struct link *link)
{
	g_rc_box_release_full(link, link_clear);
}

static void on_read(h2o_socket_t *socket, const char *err)
{
	struct link *link = socket->data;

	link_enter(link);
	if (!link->closed && !input_feed(link))
		link_end(link, "malformed");
	if (!link->closed && err)
		read_end(link, err);
	link_leave(link);
}

static void written(struct link *link, const char *err)
{
	link->writing = false;
	g_byte_array_set_size(link->out, 0);
	if (err)
		link_end(link, err);
	else if (link->state == LINK_RETIRED)
		link_finish(link);
	else
		link->ops->written(link->ctx, link);
}

static void on_written(h2o_socket_t *socket, const char *err)
{
	struct link *link = socket->data;

	link_enter(link);
	if (!link->closed)
		written(link, err);
	link_leave(link);
}

static void socket_tune(h2o_socket_t *socket)
{
	int fd = h2o_socket_get_fd(socket);
	int on = 1;
	unsigned int limit = USER_TIMEOUT_MSEC;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

static void connected(struct link *link, const char *err)
{
	if (err) {
		link_end(link, err);
		return;
	}
	socket_tune(link->socket);
	link->state = LINK_OPEN;
	h2o_socket_read_start(link->socket, on_read);
	link->ops->opened(link->ctx, link);
}

static void on_connected(h2o_socket_t *socket, const char *err)
{
	struct link *link = socket->data;

	link_enter(link);
	if (!link->closed)
		connected(link, err);
	link_leave(link);
}

static struct link *link_create(struct loop *loop, h2o_socket_t *socket,
				int64_t timeout_usec,
				const struct link_ops *ops, void *ctx,
				struct link_traffic *traffic)
{
	struct link *link = g_rc_box_new0(struct link);

	link->loop = loop;
	link->socket = socket;
	link->reader = frame_reader_create(message_receive, link);
	link->out = g_byte_array_new();
	link->ops = ops;
	link->ctx = ctx;
	link->traffic = traffic;
	link->last_used = clock_now(loop_clock(loop));
	socket->data = link;
	timer_init(&link->timeout, loop_clock(loop), timeout_fire, link);
	timer_start(&link->timeout, timeout_usec);
	return link;
}

struct link *link_open(struct loop *loop, const char *address,
		       int64_t timeout_usec, const struct link_ops *ops,
		       void *ctx, struct link_traffic *traffic)
{
	struct sockaddr_storage storage;
	socklen_t size;

	if (!address_parse(address, &storage, &size, NULL))
		return NULL;
	h2o_socket_t *socket =
		h2o_socket_connect(loop_h2o(loop), (struct sockaddr *)&storage,
				   size, on_connected);
	if (!socket)
		return NULL;
	struct link *link =
		link_create(loop, socket, timeout_usec, ops, ctx, traffic);

	link->state = LINK_CONNECTING;
	return link;
}

struct link *link_accept(struct loop *loop, h2o_socket_t *socket,
			 int64_t timeout_usec, const struct link_ops *ops,
			 void *ctx, struct link_traffic *traffic)
{
	struct link *link =
		link_create(loop, socket, timeout_usec, ops, ctx, traffic);

	socket_tune(socket);
	link->state = LINK_OPEN;
	h2o_socket_read_start(socket, on_read);
	return link;
}

void link_ready(struct link *link)
{
	link->state = LINK_READY;
	timer_stop(&link->timeout);
}

bool link_writing(const struct link *link)
{
	return link->writing;
}

void link_write(struct link *link, GByteArray **queue)
{
	GByteArray *bytes = *queue;

	if (bytes->len == 0 || link->writing || link->closed)
		return;
	*queue = link->out;
	link->out = bytes;
	link->writing = true;
	link->last_used = clock_now(loop_clock(link->loop));
	link->traffic->bytes_sent += bytes->len;
	link->traffic->writes++;
	h2o_iovec_t buffer = h2o_iovec_init(bytes->data, bytes->len);

	h2o_socket_write(link->socket, &buffer, 1, on_written);
}

void link_retire(struct link *link)
{
	if (link->closed || link->state == LINK_RETIRED)
		return;
	link->state = LINK_RETIRED;
	timer_start(&link->timeout, USER_TIMEOUT_MSEC * USEC_PER_MSEC);
	link_finish(link);
}
