/*
 * peer_hello.h - the first message of a link
 *
 * DESCRIPTION
 *	MessagePack [1, name, incarnation, data centre, peer address, token].
 *	The token is that of entry/peer_datagram.h; it may be missing. Further
 *	elements of a later version are passed over.
 */
#ifndef ENTRY_PEER_HELLO_H
#define ENTRY_PEER_HELLO_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coord/member.h"

struct error;

/* Appends the payload; token 0 stands for none. */
void hello_encode(const struct member *self, uint64_t token, GByteArray *out);
/* Fills id, name, incarnation, data centre and peer address; the state is
 * MEMBER_ALIVE. token is 0 when there is none. False with RESULT_BAD_MESSAGE.
 */
bool hello_decode(struct member *peer, uint64_t *token, const void *data,
		  size_t size, struct error *err);

#endif
