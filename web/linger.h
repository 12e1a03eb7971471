/*
 * linger.h - how the kernel closes a socket
 *
 * DESCRIPTION
 *	A body without a length, and what a relay passes on, end with their
 *	connection. While linger_reset(fd, true) is in force, the kernel resets
 *	the connection when the socket is closed, also when the process is
 *	killed, and discards what has not been sent. The peer then sees that
 *	the end is missing.
 */
#ifndef WEB_LINGER_H
#define WEB_LINGER_H

#include <stdbool.h>

void linger_reset(int fd, bool reset);

#endif
