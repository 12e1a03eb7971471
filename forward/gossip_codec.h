/*
 * gossip_codec.h - the datagrams of gossip.h as MessagePack
 *
 * DESCRIPTION
 *	[format, name, data centre, boot, sequence, version, demand, waiting,
 *	 leaving, changing, [[next, changed, age in microseconds], ...],
 *	 [[backend, requests, decode tokens, prefill tokens], ...],
 *	 [address, ...]]
 */
#ifndef FORWARD_GOSSIP_CODEC_H
#define FORWARD_GOSSIP_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "forward/fleet.h"
#include "forward/gossip.h"

#define GOSSIP_FORMAT 1
/* Fits a datagram on loopback and on links with jumbo frames; on others IP
 * fragments it. 600 servers with load take 14 KiB. */
#define GOSSIP_BYTES_MAX (32u << 10)
#define GOSSIP_LOADS_MAX 1024u
#define GOSSIP_ADDRESSES_MAX 4u

struct gossip_load {
	uint64_t backend; /* key */
	struct backend_load load;
};

struct gossip_message {
	char name[BACKEND_TEXT_MAX];
	char data_centre[BACKEND_TEXT_MAX];
	uint64_t boot;
	uint64_t sequence;
	struct gossip_word word;
	GArray *loads; /* struct gossip_load */
	char addresses[GOSSIP_ADDRESSES_MAX][BACKEND_TEXT_MAX];
	uint32_t address_count;
};

/* out is a GByteArray. */
void gossip_encode(const struct gossip_message *message, GByteArray *out);
/* message->loads is made; to be freed by gossip_message_clear() in any case. */
bool gossip_decode(struct gossip_message *message, const void *data,
		   size_t size, struct error *err);
void gossip_message_clear(struct gossip_message *message);

#endif
