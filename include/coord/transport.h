/*
 * transport.h - interface for messages to other instances
 *
 * DESCRIPTION
 *	The transport gives no acknowledgement: a message is delivered at most
 *	once, in order while a link lasts, with any delay, or not at all.
 *	Messages of CHANNEL_LEDGER may also be duplicated and reordered. A
 *	message to the sending instance itself is delivered in a later iteration
 *	of the event loop, never within send(). The embedder passes received
 *	messages to the x_receive() function of the module.
 */
#ifndef COORD_TRANSPORT_H
#define COORD_TRANSPORT_H

#include <stddef.h>
#include <stdint.h>

#include "common/frame.h"
#include "common/id.h"

struct transport {
	void (*send)(void *ctx, uint64_t instance, enum channel channel,
		     const void *payload, size_t size);
	void *ctx;
};

#endif
