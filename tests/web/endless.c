#include "endless.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DRIP_USEC 20000
#define BLOCK_BYTES 65536

struct conn {
	struct endless *endless;
	int fd;
};

static bool send_all(int fd, const char *data, size_t size)
{
	while (size > 0) {
		ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		size -= (size_t)sent;
	}
	return true;
}

static GString *block_create(const char *piece)
{
	GString *block = g_string_new(NULL);

	while (block->len < BLOCK_BYTES)
		g_string_append(block, piece);
	return block;
}

static void drips_send(int fd, const GString *block)
{
	size_t at = 0;

	while (send_all(fd, block->str + at++ % block->len, 1))
		g_usleep(DRIP_USEC);
}

static void pieces_send(int fd, struct endless *endless)
{
	const GString *block = endless->block;

	if (!endless->answer.drips) {
		(void)send_all(fd, block->str, block->len);
		(void)send_all(fd, block->str, block->len);
	}
	g_atomic_int_inc(&endless->begun);
	if (endless->answer.drips)
		drips_send(fd, block);
	while (!endless->answer.drips && send_all(fd, block->str, block->len))
		;
}

static gpointer conn_run(gpointer data)
{
	struct conn *conn = data;
	const struct endless_answer *answer = &conn->endless->answer;
	const char *honest = NULL;
	char request[4096];
	ssize_t size = recv(conn->fd, request, sizeof(request) - 1, 0);

	request[MAX(size, 0)] = '\0';
	for (int i = 0; i < ENDLESS_HONEST_MAX; i++)
		if (answer->honest[i].request &&
		    strstr(request, answer->honest[i].request))
			honest = answer->honest[i].answer;
	if (size > 0 && honest)
		send_all(conn->fd, honest, strlen(honest));
	else if (size > 0 &&
		 send_all(conn->fd, answer->begin, strlen(answer->begin)))
		pieces_send(conn->fd, conn->endless);
	close(conn->fd);
	g_atomic_int_inc(&conn->endless->closed);
	g_free(conn);
	return NULL;
}

static gpointer accept_run(gpointer data)
{
	struct endless *endless = data;
	int fd;

	while ((fd = accept(endless->listener, NULL, NULL)) >= 0) {
		struct conn *conn = g_new0(struct conn, 1);

		conn->endless = endless;
		conn->fd = fd;
		g_atomic_int_inc(&endless->open);
		g_thread_unref(g_thread_new("conn", conn_run, conn));
	}
	return NULL;
}

void endless_start(struct endless *endless, const struct endless_answer *answer)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	socklen_t size = sizeof(addr);

	memset(endless, 0, sizeof(*endless));
	endless->answer = *answer;
	endless->block = block_create(answer->piece);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	endless->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(endless->listener, (struct sockaddr *)&addr, size),
			==, 0);
	g_assert_cmpint(listen(endless->listener, 512), ==, 0);
	getsockname(endless->listener, (struct sockaddr *)&addr, &size);
	g_snprintf(endless->address, sizeof(endless->address), "127.0.0.1:%d",
		   ntohs(addr.sin_port));
	endless->thread = g_thread_new("accept", accept_run, endless);
}

void endless_stop(struct endless *endless)
{
	shutdown(endless->listener, SHUT_RDWR);
	g_thread_join(endless->thread);
	close(endless->listener);
	while (g_atomic_int_get(&endless->closed) <
	       g_atomic_int_get(&endless->open))
		g_usleep(1000);
	g_string_free(endless->block, TRUE);
}
