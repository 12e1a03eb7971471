#include "input.h"

#include <errno.h>
#include <sys/socket.h>

#include <glib.h>

/* As h2o reserves, so that a connection with little input needs no more. */
#define RESERVE_BYTES 4096

void input_own(h2o_socket_t *sock)
{
	h2o_socket_dont_read(sock, 1);
}

const char *input_read(h2o_socket_t *sock, size_t max)
{
	int fd = h2o_socket_get_fd(sock);

	sock->bytes_read = 0;
	while (sock->bytes_read < max) {
		h2o_iovec_t room = h2o_buffer_reserve(&sock->input,
						      MIN(RESERVE_BYTES, max));
		size_t size = MIN(room.len, max - sock->bytes_read);
		ssize_t got;

		if (!room.base)
			return h2o_socket_error_out_of_memory;
		do
			got = recv(fd, room.base, size, 0);
		while (got < 0 && errno == EINTR);
		if (got < 0 && errno != EAGAIN && sock->bytes_read == 0)
			return h2o_socket_error_io;
		if (got == 0 && sock->bytes_read == 0)
			return h2o_socket_error_closed;
		if (got <= 0)
			break;
		sock->input->size += (size_t)got;
		sock->bytes_read += (size_t)got;
		if ((size_t)got < size)
			break;
	}
	return NULL;
}
