#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "session.h"
#include "web/loop.h"

/* A TCP relay that simulates a network partition while it is cut. */
struct relay {
	struct session *session;
	h2o_socket_t *listener;
	struct sockaddr_in target;
	GQueue pipes; /* of struct pipe */
	bool cut;
};

/* An accepted connection and its connection to the target. Data read from one
 * socket is written to the other. */
struct pipe {
	struct relay *relay;
	h2o_socket_t *socks[2];
	size_t in_flight[2]; /* bytes being written to the socket */
};

static void pipe_free(struct pipe *pipe)
{
	g_queue_remove(&pipe->relay->pipes, pipe);
	for (int i = 0; i < 2; i++)
		if (pipe->socks[i] != NULL)
			h2o_socket_close(pipe->socks[i]);
	g_free(pipe);
}

static void pipe_read(h2o_socket_t *sock, const char *err);

static void pipe_written(h2o_socket_t *sock, const char *err)
{
	struct pipe *pipe = sock->data;
	int to = pipe->socks[1] == sock;
	h2o_socket_t *from = pipe->socks[!to];

	if (err != NULL) {
		pipe_free(pipe);
		return;
	}
	h2o_buffer_consume(&from->input, pipe->in_flight[to]);
	pipe->in_flight[to] = 0;
	h2o_socket_read_start(from, pipe_read);
}

static void pipe_read(h2o_socket_t *sock, const char *err)
{
	struct pipe *pipe = sock->data;
	int from = pipe->socks[1] == sock;
	h2o_iovec_t data;

	if (err != NULL) {
		pipe_free(pipe);
		return;
	}
	h2o_socket_read_stop(sock);
	data = h2o_iovec_init(sock->input->bytes, sock->input->size);
	pipe->in_flight[!from] = data.len;
	h2o_socket_write(pipe->socks[!from], &data, 1, pipe_written);
}

static void pipe_connected(h2o_socket_t *sock, const char *err)
{
	struct pipe *pipe = sock->data;

	if (err != NULL) {
		pipe_free(pipe);
		return;
	}
	h2o_socket_read_start(pipe->socks[0], pipe_read);
	h2o_socket_read_start(pipe->socks[1], pipe_read);
}

static void relay_accept(h2o_socket_t *listener, const char *err)
{
	struct relay *relay = listener->data;
	h2o_socket_t *sock = err ? NULL : h2o_evloop_socket_accept(listener);
	struct pipe *pipe;

	if (sock == NULL)
		return;
	if (relay->cut) {
		h2o_socket_close(sock);
		return;
	}
	pipe = g_new0(struct pipe, 1);
	pipe->relay = relay;
	pipe->socks[0] = sock;
	pipe->socks[1] =
		h2o_socket_connect(loop_h2o(relay->session->loop),
				   (struct sockaddr *)&relay->target,
				   sizeof(relay->target), pipe_connected);
	g_queue_push_tail(&relay->pipes, pipe);
	sock->data = pipe;
	if (pipe->socks[1] == NULL)
		pipe_free(pipe);
	else
		pipe->socks[1]->data = pipe;
}

static void relay_cut(struct relay *relay)
{
	struct pipe *pipe;

	relay->cut = true;
	while ((pipe = g_queue_peek_head(&relay->pipes)) != NULL)
		pipe_free(pipe);
}

void relay_free(void *data)
{
	struct relay *relay = data;

	relay_cut(relay);
	if (relay->listener != NULL)
		h2o_socket_close(relay->listener);
	g_free(relay);
}

static bool address_parse(const char *text, struct sockaddr_in *address)
{
	char **parts = g_strsplit(text, ":", 2);
	bool ok = parts[0] != NULL && parts[1] != NULL &&
		  inet_pton(AF_INET, parts[0], &address->sin_addr) == 1;

	address->sin_family = AF_INET;
	if (ok)
		address->sin_port =
			htons((uint16_t)g_ascii_strtoull(parts[1], NULL, 10));
	g_strfreev(parts);
	return ok;
}

/* Listens on a port that the system assigns; returns the port, 0 on failure. */
static unsigned int relay_listen(struct relay *relay)
{
	struct sockaddr_in here = {.sin_family = AF_INET};
	socklen_t size = sizeof(here);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	here.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0)
		return 0;
	if (bind(fd, (struct sockaddr *)&here, size) != 0 ||
	    listen(fd, SOMAXCONN) != 0 ||
	    getsockname(fd, (struct sockaddr *)&here, &size) != 0) {
		close(fd);
		return 0;
	}
	relay->listener = h2o_evloop_socket_create(
		loop_h2o(relay->session->loop), fd, H2O_SOCKET_FLAG_DONT_READ);
	relay->listener->data = relay;
	h2o_socket_read_start(relay->listener, relay_accept);
	return ntohs(here.sin_port);
}

/* relay NAME ADDRESS: starts a relay to ADDRESS and sets the variable NAME to
 * the address of the relay. */
bool relay_start(struct session *session, int argc, char **argv)
{
	struct relay *relay = g_new0(struct relay, 1);
	unsigned int port;

	relay->session = session;
	if (argc != 3 || !address_parse(argv[2], &relay->target) ||
	    (port = relay_listen(relay)) == 0) {
		g_free(relay);
		return session_fail(session, "relay NAME ADDRESS");
	}
	g_hash_table_replace(session->relays, g_strdup(argv[1]), relay);
	g_hash_table_replace(session->variables, g_strdup(argv[1]),
			     g_strdup_printf("127.0.0.1:%u", port));
	return true;
}

/* cut NAME: closes all connections of the relay, and new ones on arrival;
 * mend NAME ends that. */
bool relay_switch(struct session *session, int argc, char **argv)
{
	struct relay *relay =
		argc > 1 ? g_hash_table_lookup(session->relays, argv[1]) : NULL;

	if (relay == NULL)
		return session_fail(session, "no such relay");
	if (strcmp(argv[0], "cut") == 0)
		relay_cut(relay);
	else
		relay->cut = false;
	return true;
}
