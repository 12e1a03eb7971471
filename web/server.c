#include "web/server.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/error.h"
#include "keepalive.h"
#include "request.h"

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

#define ACCEPTS_PER_ITERATION 64
#define SWEEP_INTERVAL_USEC USEC_PER_SEC
/* Loop iterations in which web_server_destroy() lets connections close. */
#define CLOSE_ITERATIONS 1000
#define STREAMS_MAX 256

struct route {
	char *prefix;
	size_t size;
	web_handler_fn fn;
	void *ctx;
};

struct web_server {
	struct loop *loop;
	struct web_limits limits;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
	char address[ADDRESS_TEXT_MAX];
	GArray *routes; /* longest prefix first */
	GQueue conns;
	GQueue requests;
	struct bodies bodies;
	struct replies replies;
	struct timer sweep;
	bool closing; /* requests get no answer any more */
};

struct web_handler {
	h2o_handler_t base; /* first: h2o passes it to on_request() */
	struct web_server *server;
};

void server_request_add(struct web_server *server, GList *link)
{
	g_queue_push_tail_link(&server->requests, link);
}

void server_request_remove(struct web_server *server, GList *link)
{
	g_queue_unlink(&server->requests, link);
}

static bool route_matches(const struct route *route, struct web_text path)
{
	if (path.size < route->size ||
	    memcmp(path.data, route->prefix, route->size) != 0)
		return false;
	if (route->prefix[route->size - 1] == '/')
		return true;
	return path.size == route->size || path.data[route->size] == '/';
}

static const struct route *route_find(const struct web_server *server,
				      struct web_text path)
{
	for (guint i = 0; i < server->routes->len; i++) {
		const struct route *route =
			&g_array_index(server->routes, struct route, i);

		if (route_matches(route, path))
			return route;
	}
	return NULL;
}

/* The connection is not read any further. */
static void request_reject(struct web_request *request)
{
	static const char text[] = "ambiguous length\n";

	request->req->http1_is_persistent = 0;
	web_reply(request, 400, "text/plain", text, sizeof(text) - 1);
}

static int on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct web_server *server = ((struct web_handler *)handler)->server;
	struct web_request *request;
	const struct route *route;

	loop_enter(server->loop);
	request = web_request_create(server, server->loop, &server->bodies,
				     &server->replies, req);
	route = route_find(server, web_request_path(request));
	if (server->closing)
		request_hang_up(request);
	else if (!bodies_admit(&server->bodies, request))
		bodies_refuse(request);
	else if (!request_is_framed(request))
		request_reject(request);
	else if (route)
		route->fn(route->ctx, request);
	else
		web_reply(request, 404, "text/plain", "not found\n", 10);
	return 0;
}

static void conn_closed(void *data)
{
	struct web_conn *conn = data;

	g_queue_unlink(&conn->server->conns, &conn->link);
	bodies_release(&conn->server->bodies, &conn->reserved);
	g_free(conn);
}

static void conn_create(struct web_server *server, h2o_socket_t *sock)
{
	struct web_conn *conn;

	if (server->conns.length >= server->limits.connections) {
		h2o_socket_close(sock);
		return;
	}
	keepalive_enable(h2o_socket_get_fd(sock));
	conn = g_new0(struct web_conn, 1);
	conn->server = server;
	conn->sock = sock;
	conn->link.data = conn;
	g_queue_push_tail_link(&server->conns, &conn->link);
	sock->on_close.cb = conn_closed;
	sock->on_close.data = conn;
	h2o_accept(&server->accept, sock);
	conn->h2o_read_cb = sock->_cb.read;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct web_server *server = listener->data;

	if (err)
		return;
	for (int i = 0; i < ACCEPTS_PER_ITERATION; i++) {
		h2o_socket_t *sock = h2o_evloop_socket_accept(listener);

		if (!sock)
			return;
		conn_create(server, sock);
	}
}

static void on_sweep(struct timer *timer, void *ctx)
{
	struct web_server *server = ctx;
	GList *next;

	for (GList *link = server->requests.head; link; link = next) {
		next = link->next;
		request_sweep(link->data, server->limits.idle_usec);
	}
	timer_start(timer, SWEEP_INTERVAL_USEC);
}

static int listen_on(const char *address, struct sockaddr_storage *bound,
		     struct error *err)
{
	socklen_t size;
	int one = 1;
	int fd;

	if (!address_parse(address, bound, &size, err))
		return -1;
	fd = socket(bound->ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)bound, size) != 0 ||
	    listen(fd, H2O_SOMAXCONN) != 0)
		goto fail;
	size = sizeof(*bound);
	if (getsockname(fd, (struct sockaddr *)bound, &size) != 0)
		goto fail;
	return fd;
fail:
	error_set(err, RESULT_IO, "cannot listen on %s: %s", address,
		  g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

static void config_setup(struct web_server *server)
{
	h2o_globalconf_t *config = &server->config;
	const struct web_limits *limits = &server->limits;
	int64_t wait = MAX(limits->idle_usec, limits->request_usec);
	h2o_hostconf_t *host;
	struct web_handler *handler;

	h2o_config_init(config);
	config->server_name = h2o_iovec_init(H2O_STRLIT("jacinthtrestle"));
	config->max_request_entity_size = limits->body_bytes;
	/* h2o has one timeout for waiting for a request and receiving it. */
	config->http1.req_timeout = (uint64_t)(wait / USEC_PER_MSEC);
	config->http2.idle_timeout =
		(uint64_t)(limits->idle_usec / USEC_PER_MSEC);
	config->http2.max_concurrent_requests_per_connection = STREAMS_MAX;
	host = h2o_config_register_host(
		config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	handler = (struct web_handler *)h2o_create_handler(
		h2o_config_register_path(host, "/", 0), sizeof(*handler));
	handler->base.on_req = on_request;
	handler->server = server;
}

struct web_server *web_server_create(struct loop *loop, const char *address,
				     const struct web_limits *limits,
				     struct error *err)
{
	struct sockaddr_storage bound;
	struct web_server *server;
	int fd = listen_on(address, &bound, err);

	if (fd < 0)
		return NULL;
	server = g_new0(struct web_server, 1);
	server->loop = loop;
	server->limits = *limits;
	address_print(&bound, server->address);
	server->routes = g_array_new(FALSE, FALSE, sizeof(struct route));
	config_setup(server);
	h2o_context_init(&server->context, loop_h2o(loop), &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
	server->listener = h2o_evloop_socket_create(loop_h2o(loop), fd,
						    H2O_SOCKET_FLAG_DONT_READ);
	server->listener->data = server;
	h2o_socket_read_start(server->listener, on_accept);
	bodies_init(&server->bodies, loop, limits, &server->conns);
	server->replies = (struct replies){loop_clock(loop), &server->requests,
					   limits->replies_bytes};
	timer_init(&server->sweep, loop_clock(loop), on_sweep, server);
	timer_start(&server->sweep, SWEEP_INTERVAL_USEC);
	return server;
}

static void listener_close(struct web_server *server)
{
	if (!server->listener)
		return;
	h2o_socket_read_stop(server->listener);
	h2o_socket_close(server->listener);
	server->listener = NULL;
}

void web_server_announce_shutdown(struct web_server *server)
{
	if (server->listener)
		h2o_context_request_shutdown(&server->context);
}

/* Whether the caller has sent nothing that is not answered. */
static bool conn_is_idle(const struct web_conn *conn)
{
	char byte;

	if (!conn->http1 || conn->request || conn->sock->input->size > 0 ||
	    conn->sock->_cb.read != conn->h2o_read_cb)
		return false;
	return recv(h2o_socket_get_fd(conn->sock), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/* After shutdown() h2o would still read what the kernel has received, and
 * requests would run that cannot be answered. What arrives after close() is not
 * read. */
static void conns_close_idle(struct web_server *server)
{
	GList *next;

	for (GList *link = server->conns.head; link; link = next) {
		struct web_conn *conn = link->data;

		next = link->next;
		if (conn_is_idle(conn))
			conn->h2o_read_cb(conn->sock, h2o_socket_error_closed);
	}
}

void web_server_drain(struct web_server *server)
{
	if (!server->listener)
		return;
	web_server_announce_shutdown(server);
	listener_close(server);
	conns_close_idle(server);
}

unsigned int web_server_pending(const struct web_server *server)
{
	return server->requests.length;
}

static void conns_close(struct web_server *server)
{
	GList *next;

	server->closing = true;
	conns_close_idle(server);
	for (GList *link = server->requests.head; link; link = next) {
		next = link->next;
		request_hang_up(link->data);
	}
	for (GList *link = server->conns.head; link; link = link->next) {
		struct web_conn *conn = link->data;

		/* An orderly close would complete such an answer. */
		if (!conn->request ||
		    !reply_ends_with_connection(conn->request))
			shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
	}
	for (int i = 0; i < CLOSE_ITERATIONS && server->conns.length > 0; i++)
		loop_run_h2o(server->loop, 0);
}

static void context_dispose(h2o_context_t *context)
{
#ifdef __SANITIZE_ADDRESS__
	/* h2o 2.2.5 closes its inter-thread queue but never frees it. */
	__lsan_ignore_object(context->queue);
#endif
	h2o_timeout_unlink(&context->http2._graceful_shutdown_timeout);
	h2o_context_dispose(context);
}

void web_server_destroy(struct web_server *server)
{
	if (!server)
		return;
	timer_stop(&server->sweep);
	bodies_clear(&server->bodies);
	listener_close(server);
	conns_close(server);
	/* h2o would still use the context for remaining connections. */
	if (server->conns.length > 0)
		return;
	context_dispose(&server->context);
	h2o_config_dispose(&server->config);
	for (guint i = 0; i < server->routes->len; i++)
		g_free(g_array_index(server->routes, struct route, i).prefix);
	g_array_free(server->routes, TRUE);
	g_free(server);
}

const char *web_server_address(const struct web_server *server)
{
	return server->address;
}

void web_server_handle(struct web_server *server, const char *prefix,
		       web_handler_fn fn, void *ctx)
{
	struct route route = {g_strdup(prefix), strlen(prefix), fn, ctx};
	guint at = 0;

	while (at < server->routes->len &&
	       g_array_index(server->routes, struct route, at).size >=
		       route.size)
		at++;
	g_array_insert_val(server->routes, at, route);
}
