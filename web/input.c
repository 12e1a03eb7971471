#include "input.h"

#include <errno.h>
#include <sys/socket.h>

#include <glib.h>

/* As h2o reserves, so that a connection with little input needs no more. After
 * a read of that size more is reserved. */
#define RESERVE_BYTES 4096

void input_own(h2o_socket_t *sock)
{
	h2o_socket_dont_read(sock, 1);
}

/* One call only: the kernel reports an error once, and a second call that gets
 * it after the first got bytes would have to drop either. */
const char *input_read(h2o_socket_t *sock, size_t max)
{
	size_t want = sock->bytes_read < RESERVE_BYTES ? RESERVE_BYTES : max;
	h2o_iovec_t room = h2o_buffer_reserve(&sock->input, MIN(want, max));
	int fd = h2o_socket_get_fd(sock);
	ssize_t got;

	sock->bytes_read = 0;
	if (!room.base)
		return h2o_socket_error_out_of_memory;
	do
		got = recv(fd, room.base, MIN(room.len, max), 0);
	while (got < 0 && errno == EINTR);
	if (got < 0 && errno != EAGAIN)
		return h2o_socket_error_io;
	if (got == 0)
		return h2o_socket_error_closed;
	if (got > 0) {
		sock->input->size += (size_t)got;
		sock->bytes_read = (size_t)got;
	}
	return NULL;
}
