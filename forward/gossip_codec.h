/*
 * gossip_codec.h - the datagrams of gossip.h as MessagePack
 *
 * DESCRIPTION
 *	A word, of an instance itself or of its data centre:
 *	[format, kind, boot, sequence, [[backend, requests, decode tokens,
 *	 prefill tokens], ...], name, group, version, demand, waiting,
 *	 read rates, read raters,
 *	 flags, [[backend, stage, milliseconds left], ...], [[next, changed, age
 *in microseconds], ...], first, [address, ...], [use, ...],
 *	 [[backend, milliseconds left], ...], [fact, ...]]
 *	A fact is [backend, thousandths of a request a second or -1, age of
 *	that in microseconds, leaving, microseconds that it stays cold,
 *	thousandths of a request a second meanwhile]. Ask: [format, kind, boot,
 *sequence, [id, fact]]. Answer: [format, kind, boot, sequence, [id, backend,
 *granted, microseconds]]. Uses: [format, kind, boot, sequence, [[organisation,
 *epoch, used, demand, level], ...]], of an instance or of its data centre
 *Works: [format, kind, boot, sequence,
 *[[work, work, epoch, stored, [life of a server, ...]], ...]] Changes: [format,
 *kind, boot, sequence, [[backend, ...], ...]] An address of IPv4 is one number,
 *any other a text.
 */
#ifndef FORWARD_GOSSIP_CODEC_H
#define FORWARD_GOSSIP_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "forward/fleet.h"
#include "forward/gossip.h"

#define GOSSIP_FORMAT 4
/* Fits a datagram on loopback and on links with jumbo frames; on others IP
 * fragments it. 600 servers with load take 14 KiB. */
#define GOSSIP_BYTES_MAX (32u << 10)
#define GOSSIP_LOADS_MAX 1024u
#define GOSSIP_ADDRESSES_MAX 1024u
/* Fit a datagram that is not cut into pieces (1,400 bytes) when each names
 * three servers. */
#define GOSSIP_QUARANTINE_MAX 24u

/* Organisations told in one datagram; others follow in turn. Fit one of 1,400
 * bytes. */
#define GOSSIP_USAGE_MAX 48u

enum gossip_kind {
	GOSSIP_INSTANCE_SUMMARY, /* an instance's word, with its own loads */
	GOSSIP_GROUP_SUMMARY,	 /* with the loads of all its data centre */
	GOSSIP_CHANGES,		 /* of its own loads since the last one */
	GOSSIP_USAGE,	       /* of allotments: its own to peers near, its data
				  centre's to others */
	GOSSIP_PERMIT_REQUEST, /* for a permit */
	GOSSIP_PERMIT_ANSWER,  /* to that */
	GOSSIP_QUARANTINE,     /* in the quarantine */
};

/* A data centre's name, and which group of it. */
#define GOSSIP_GROUP_MAX (BACKEND_TEXT_MAX + 16)

struct gossip_load {
	uint64_t backend; /* key */
	struct load_sum load;
};

/* What a data centre's lowest name is, for gossip_is_lowest(). */
struct gossip_candidate {
	char name[BACKEND_TEXT_MAX]; /* of those that reach the store, if any */
	bool store_unreachable;	     /* none does */
};

struct gossip_address {
	char text[BACKEND_TEXT_MAX];
};

struct gossip_message {
	enum gossip_kind kind;
	uint64_t boot;
	uint64_t sequence;
	GArray *loads;	    /* struct gossip_load */
	GArray *quarantine; /* struct quarantine_entry, of GOSSIP_QUARANTINE
			       only */
	GArray *usage;	    /* struct limit_entry, of words and GOSSIP_USAGE */
	struct permit_request request; /* of GOSSIP_PERMIT_REQUEST only */
	struct permit_answer answer;   /* of GOSSIP_PERMIT_ANSWER only */
	/* What follows is empty in changes. */
	char name[BACKEND_TEXT_MAX];
	char group[GOSSIP_GROUP_MAX]; /* of the sender */
	struct gossip_summary summary;
	struct gossip_candidate lowest; /* of a data centre */
	/* struct gossip_address: other instances; of a data centre all that
	 * live there. */
	GArray *addresses;
	GArray *facts; /* struct backpressure_fact */
};

/* Makes the arrays; cleared with gossip_message_clear(). */
void gossip_message_init(struct gossip_message *message, enum gossip_kind kind);
void gossip_message_add(struct gossip_message *message, const char *address);
/* out is a GByteArray. */
void gossip_encode(const struct gossip_message *message, GByteArray *out);
/* message is made; to be cleared in any case. */
bool gossip_decode(struct gossip_message *message, const void *data,
		   size_t size, struct error *err);
void gossip_message_clear(struct gossip_message *message);

#endif
