/*
 * peer_datagram.h - codec of UDP datagrams between instances
 *
 * DESCRIPTION
 *	A datagram is the sender's instance id and a token, both 64 bits
 *	big-endian, then one body as in common/frame.h, without its length. Its
 *	UDP payload is at most DATAGRAM_MAX bytes, which fits the Ethernet MTU
 *	with room for the headers of tunnels. It carries messages of
 *	CHANNEL_LEDGER, and probes, which are one byte on CHANNEL_HELLO.
 *
 *	The token is received in the hello of the TCP link in use. It
 *	authenticates the sender as that link does, and is valid as long as the
 *	link.
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
/* Upper bounds: header of a message in a body, header of the body. */
#define DATAGRAM_MESSAGE_HEADER 6u
#define DATAGRAM_BODY_HEADER 5u

struct error;

struct datagram {
	uint64_t sender;
	uint64_t token;
	const void *body;
	size_t size;
};

/* Closes the frame of the writer and replaces the contents of out by the
 * datagram, or by nothing when the writer holds no message. */
void datagram_encode(uint64_t sender, uint64_t token,
		     struct frame_writer *writer, GByteArray *out);
/* Reads the header. False with RESULT_BAD_MESSAGE when size is at most
 * DATAGRAM_HEADER or above DATAGRAM_MAX. */
bool datagram_decode(struct datagram *datagram, const void *data, size_t size,
		     struct error *err);
/* Calls fn for each message. Calls it for none and returns false with
 * RESULT_BAD_MESSAGE when any part of the body is malformed. */
bool datagram_read(const struct datagram *datagram, frame_fn fn, void *ctx,
		   struct error *err);

#endif
