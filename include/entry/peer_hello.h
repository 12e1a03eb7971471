/*
 * peer_hello.h - the first message of a link
 *
 * DESCRIPTION
 *	MessagePack [1, name, incarnation, data centre, peer address, token].
 *	The token is that of entry/peer_datagram.h and may be absent. Further
 *	elements, which a later version may add, are ignored.
 */
#ifndef ENTRY_PEER_HELLO_H
#define ENTRY_PEER_HELLO_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coord/member.h"

struct error;

/* Appends the payload to out. A token of 0 is left out. */
void hello_encode(const struct member *self, uint64_t token, GByteArray *out);
/* Sets id, name, incarnation, data centre and peer address; the state is
 * MEMBER_ALIVE. *token is 0 when absent. False with RESULT_BAD_MESSAGE when
 * the hello is malformed. */
bool hello_decode(struct member *peer, uint64_t *token, const void *data,
		  size_t size, struct error *err);

#endif
