#include "web/relay.h"

#include <h2o.h>
#include <h2o/http1.h>

#include "input.h"
#include "linger.h"
#include "request.h"
#include "unsent.h"

enum side {
	CALLER,
	SERVER,
	SIDES,
};

struct relay {
	struct web_relays *relays;
	GList link;
	h2o_socket_t *socks[SIDES];
	size_t in_flight[SIDES]; /* bytes being written to that side */
	bool server_closed;
	bool server_reset;
};

struct web_relays {
	struct loop *loop;
	GQueue list; /* struct relay */
};

struct web_relays *web_relays_create(struct loop *loop)
{
	struct web_relays *relays = g_new0(struct web_relays, 1);

	relays->loop = loop;
	return relays;
}

static void relay_close(struct relay *relay)
{
	g_queue_unlink(&relay->relays->list, &relay->link);
	for (int i = 0; i < SIDES; i++)
		if (relay->socks[i])
			h2o_socket_close(relay->socks[i]);
	g_free(relay);
}

void web_relays_destroy(struct web_relays *relays)
{
	struct relay *relay;

	if (!relays)
		return;
	while ((relay = g_queue_peek_head(&relays->list)))
		relay_close(relay);
	g_free(relays);
}

uint32_t web_relays_count(const struct web_relays *relays)
{
	return relays->list.length;
}

bool web_relay_requested(const struct web_request *request)
{
	const h2o_iovec_t *upgrade = &request->req->upgrade;
	const struct web_text protocol = {upgrade->base, upgrade->len};

	return request->sock &&
	       web_text_is(web_request_method(request), "GET") &&
	       web_text_is(protocol, WEB_RELAY_PROTOCOL);
}

static void on_readable(h2o_socket_t *sock, const char *err);
static void on_written(h2o_socket_t *sock, const char *err);

static enum side side_of(const struct relay *relay, const h2o_socket_t *sock)
{
	return relay->socks[SERVER] == sock ? SERVER : CALLER;
}

/* Whether the server has received all that the caller has sent. */
static bool is_delivered(const struct relay *relay)
{
	return relay->in_flight[SERVER] == 0 &&
	       unsent_bytes(h2o_socket_get_fd(relay->socks[SERVER])) == 0;
}

/* The server has closed the connection and all that it sent was passed on. A
 * server that has not received the request may have ended in the middle of its
 * answer. */
static void relay_end(struct relay *relay)
{
	if (!relay->server_reset && is_delivered(relay))
		linger_reset(h2o_socket_get_fd(relay->socks[CALLER]), false);
	relay_close(relay);
}

/* Writes what one side has sent to the other; false when there is nothing. */
static bool input_pass(struct relay *relay, enum side from)
{
	h2o_socket_t *sock = relay->socks[from];
	h2o_iovec_t data = {sock->input->bytes, sock->input->size};

	if (data.len == 0)
		return false;
	h2o_socket_read_stop(sock);
	relay->in_flight[!from] = data.len;
	h2o_socket_write(relay->socks[!from], &data, 1, on_written);
	return true;
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct relay *relay = sock->data;
	enum side to = side_of(relay, sock);
	h2o_socket_t *from = relay->socks[!to];

	loop_enter(relay->relays->loop);
	if (err) {
		relay_close(relay);
		return;
	}
	h2o_buffer_consume(&from->input, relay->in_flight[to]);
	relay->in_flight[to] = 0;
	if (to == CALLER && relay->server_closed)
		relay_end(relay);
	else
		h2o_socket_read_start(from, on_readable);
}

static void on_readable(h2o_socket_t *sock, const char *err)
{
	struct relay *relay = sock->data;
	enum side from = side_of(relay, sock);

	loop_enter(relay->relays->loop);
	if (!err)
		err = input_read(sock, INPUT_READ_MAX);
	if (err && from == CALLER) {
		relay_close(relay);
		return;
	}
	if (err) {
		h2o_socket_read_stop(sock);
		relay->server_closed = true;
		relay->server_reset = err != h2o_socket_error_closed;
	}
	if (!input_pass(relay, from) && err)
		relay_end(relay);
}

static void on_upgraded(void *data, h2o_socket_t *sock, size_t request_size)
{
	struct relay *relay = data;

	relay->socks[CALLER] = sock;
	if (!sock) {
		relay_close(relay);
		return;
	}
	h2o_buffer_consume(&sock->input, request_size);
	/* The server must no longer close it. */
	sock->on_close.cb(sock->on_close.data);
	sock->on_close.cb = NULL;
	sock->data = relay;
	relay->socks[SERVER]->data = relay;
	linger_reset(h2o_socket_get_fd(sock), true);
	input_own(sock);
	input_own(relay->socks[SERVER]);
	h2o_socket_read_start(relay->socks[SERVER], on_readable);
	h2o_socket_read_start(sock, on_readable);
	input_pass(relay, CALLER);
}

void web_relay_join(struct web_relays *relays, struct web_request *request,
		    struct web_connection *connection)
{
	struct relay *relay = g_new0(struct relay, 1);
	h2o_req_t *req = request->req;

	relay->relays = relays;
	relay->link.data = relay;
	relay->socks[SERVER] = (h2o_socket_t *)connection;
	g_queue_push_tail_link(&relays->list, &relay->link);
	request_unwatch(request);
	request->ended = true;
	request->final_sent = true;
	req->res.status = 101;
	req->res.reason = "Switching Protocols";
	h2o_add_header_by_str(&req->pool, &req->res.headers,
			      H2O_STRLIT("upgrade"), 0, NULL,
			      H2O_STRLIT(WEB_RELAY_PROTOCOL));
	h2o_http1_upgrade(req, NULL, 0, on_upgraded, relay);
}
