#include "memory.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process.h"

static int connection_open(const char *address)
{
	struct sockaddr_in peer = {.sin_family = AF_INET};
	const char *colon = strchr(address, ':');
	char *host = g_strndup(address, (gsize)(colon - address));
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, host, &peer.sin_addr);
	peer.sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
	g_free(host);
	if (connect(fd, (struct sockaddr *)&peer, sizeof(peer)) != 0)
		g_error("cannot connect to %s", address);
	return fd;
}

/* Makes one call. The response fits into one read on a loopback connection. */
static void connection_call(int fd, const char *path)
{
	char text[256];
	char answer[4096];
	int size = g_snprintf(text, sizeof(text),
			      "POST %s HTTP/1.1\r\nhost: bench\r\n"
			      "content-length: 1\r\n\r\nx",
			      path);

	if (send(fd, text, (size_t)size, MSG_NOSIGNAL) != size ||
	    recv(fd, answer, sizeof(answer), 0) <= 0)
		g_error("no response from %s", path);
	if (strncmp(answer, "HTTP/1.1 200", 12) != 0)
		g_error("%s: not a 200 response: %.40s", path, answer);
}

double memory_of_idle(const char *address, const char *path, int pid,
		      unsigned int count)
{
	int *fds = g_new(int, count);
	int64_t before;
	int64_t after;

	fds[0] = connection_open(address);
	connection_call(fds[0], path);
	before = process_memory(pid);
	for (unsigned int i = 1; i < count; i++) {
		fds[i] = connection_open(address);
		connection_call(fds[i], path);
	}
	after = process_memory(pid);
	for (unsigned int i = 0; i < count; i++)
		close(fds[i]);
	g_free(fds);
	return (double)(after - before) / (count - 1);
}
