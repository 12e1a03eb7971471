/*
 * peer_hello.h - the first message of a link
 *
 * DESCRIPTION
 *	MessagePack [1, name, incarnation, data centre, peer address]. Further
 *	elements of a later version are passed over.
 */
#ifndef ENTRY_PEER_HELLO_H
#define ENTRY_PEER_HELLO_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "coord/member.h"

struct error;

/* Appends the payload. */
void hello_encode(const struct member *self, GByteArray *out);
/* Fills id, name, incarnation, data centre and peer address; the state is
 * MEMBER_ALIVE. False with RESULT_BAD_MESSAGE. */
bool hello_decode(struct member *peer, const void *data, size_t size,
		  struct error *err);

#endif
