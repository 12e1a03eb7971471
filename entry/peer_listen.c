/*
 * peer_listen.c - the socket that other instances connect to
 */
#include "peers_private.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/error.h"

#define LISTEN_BACKLOG 512

int peer_listen(const char *address, char *bound, struct error *err)
{
	struct sockaddr_storage storage;
	socklen_t size;
	int on = 1;

	if (!address_parse(address, &storage, &size, err))
		return -1;
	int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		error_set(err, RESULT_IO, "socket: %s", g_strerror(errno));
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&storage, size) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)&storage, &size) != 0) {
		error_set(err, RESULT_IO, "%s: %s", address, g_strerror(errno));
		close(fd);
		return -1;
	}
	address_print(&storage, bound);
	return fd;
}
