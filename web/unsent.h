/* unsent.h - what a connection has not delivered yet */
#ifndef WEB_UNSENT_H
#define WEB_UNSENT_H

#include <stddef.h>

/* Bytes written to the socket that its peer has not received; 0 if the kernel
 * does not tell. */
size_t unsent_bytes(int fd);

#endif
