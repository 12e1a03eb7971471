/*
 * input.h - bounded reads from a socket
 *
 * DESCRIPTION
 *	h2o 2.2.5 reads from a socket until it is empty, so a peer that sends as
 *	fast as this process reads fills memory within one callback. After
 *	input_own() h2o only reports that there is something to read, and the
 *	read callback calls input_read().
 */
#ifndef WEB_INPUT_H
#define WEB_INPUT_H

#include <h2o.h>
#include <stddef.h>

/* Most bytes read in one callback. An engine's event has about 100 bytes, and a
 * plain answer of 6 MiB takes 192 reads. */
#define INPUT_READ_MAX ((size_t)32 << 10)

void input_own(h2o_socket_t *sock);
/* Appends at most max bytes to sock->input and sets sock->bytes_read; 0 bytes
 * without an error: nothing had arrived. Returns an error as h2o passes it to
 * read callbacks, or NULL. */
const char *input_read(h2o_socket_t *sock, size_t max);

#endif
