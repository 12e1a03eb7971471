/*
 * transport.h - how the modules of this library reach other instances
 *
 * DESCRIPTION
 *	A module hands a message to the transport and forgets it: delivery is
 *	at most once, in order while a link lasts, and may be late or never;
 *	messages of CHANNEL_LEDGER may be doubled and out of order. A
 *	message to the own instance is delivered in a later turn of the loop,
 *	never within send(). Receiving is by the module's own x_receive().
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
