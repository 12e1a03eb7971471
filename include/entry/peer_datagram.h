/*
 * peer_datagram.h - small messages between instances as datagrams
 *
 * DESCRIPTION
 *	A datagram is the sender's instance id and a token, both 64 bits
 *	big-endian, then one body as in common/frame.h, without its length; at
 *	most DATAGRAM_MAX bytes of payload, which fits any Ethernet with room
 *	for tunnels. Only messages of CHANNEL_LEDGER travel so, and probes: one
 *	byte on CHANNEL_HELLO.
 *
 *	The token was handed over in the hello of the TCP link that is in use
 *	and proves the sender as that link does; it ends with the link.
 */
#ifndef ENTRY_PEER_DATAGRAM_H
#define ENTRY_PEER_DATAGRAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/frame.h"

#define DATAGRAM_MAX 1200u
#define DATAGRAM_HEADER 16u
/* The most that a message adds to a body, and a body's own header. */
#define DATAGRAM_MESSAGE_HEADER 6u
#define DATAGRAM_BODY_HEADER 5u

struct error;

struct datagram {
	uint64_t sender;
	uint64_t token;
	const void *body;
	size_t size;
};

/* Closes the writer's frame and replaces *out by the datagram; empty when the
 * writer holds no message. */
void datagram_encode(uint64_t sender, uint64_t token,
		     struct frame_writer *writer, GByteArray *out);
/* Reads the header. False with RESULT_BAD_MESSAGE when size is not more than
 * the header's or more than DATAGRAM_MAX. */
bool datagram_decode(struct datagram *datagram, const void *data, size_t size,
		     struct error *err);
/* Calls fn for each message, for none when the body is not sound as a whole.
 * False with RESULT_BAD_MESSAGE. */
bool datagram_read(const struct datagram *datagram, frame_fn fn, void *ctx,
		   struct error *err);

#endif
