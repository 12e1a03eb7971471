/*
 * peer_listen.c - the TCP and UDP sockets that other instances send to
 */
#include "peers_private.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/error.h"
#include "common/log.h"

#define LISTEN_BACKLOG 512

/* Further free TCP ports tried until one is free for UDP too. */
#define PORT_ATTEMPTS_MAX 16

static int udp_bind(const struct sockaddr_storage *storage, socklen_t size)
{
	int fd = socket(storage->ss_family,
			SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (const struct sockaddr *)storage, size) == 0)
		return fd;
	close(fd);
	return -1;
}

static int listen_at(const char *address, struct sockaddr_storage *storage,
		     socklen_t *size, struct error *err)
{
	int on = 1;

	if (!address_parse(address, storage, size, err))
		return -1;
	int fd = socket(storage->ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		error_set(err, RESULT_IO, "socket: %s", g_strerror(errno));
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)storage, *size) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)storage, size) != 0) {
		error_set(err, RESULT_IO, "%s: %s", address, g_strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

int peer_listen(const char *address, char *bound, int *udp_fd,
		struct error *err)
{
	bool free_port = g_str_has_suffix(address, ":0");
	struct sockaddr_storage storage;
	socklen_t size;
	int fd = listen_at(address, &storage, &size, err);

	if (fd < 0)
		return -1;
	address_print(&storage, bound);
	if (!udp_fd)
		return fd;
	*udp_fd = udp_bind(&storage, size);
	for (int i = 0; i < PORT_ATTEMPTS_MAX && free_port && *udp_fd < 0;
	     i++) {
		int next = listen_at(address, &storage, &size, err);

		if (next < 0)
			break;
		close(fd);
		fd = next;
		address_print(&storage, bound);
		*udp_fd = udp_bind(&storage, size);
	}
	if (*udp_fd < 0)
		log_event(LOG_WARNING, "peer_datagrams_off",
			  LOG_S("address", bound),
			  LOG_S("reason", "the UDP port is in use"));
	return fd;
}
