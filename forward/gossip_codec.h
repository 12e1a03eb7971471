/*
 * gossip_codec.h - the datagrams of gossip.h as MessagePack
 *
 * DESCRIPTION
 *	Each message begins with format, kind, boot and sequence. They are left
 *	out below, and so is the outer array.
 *
 *	Summary, of an instance or of a group:
 *	[[backend, requests, decode tokens, prefill tokens], ...], name, group,
 *	version, demand, waiting, sum of prefill rates, number of these rates,
 *	flags, [[backend, stage, milliseconds left], ...],
 *	[[next, changed, age in microseconds], ...], name of the lowest
 *	instance, [address, ...], [usage, ...],
 *	[[backend, milliseconds left], ...], [fact, ...], [speed, ...],
 *	[waiting requests of a rank, ...] or [] if streams are not ranked;
 *	the last two are left out if empty
 *
 *	Changes: [[backend, requests, decode tokens, prefill tokens], ...]
 *	Usage: [usage, ...], of an instance or of its data centre
 *	Permit request: [id, fact]
 *	Permit answer: [id, backend, granted, microseconds]
 *	Origin: [stream, version]
 *	Origin query: [id, stream, service, window in microseconds]
 *	Origin answer: [id, stream, version or 0, only version or 0, mixed]
 *	Room claim: [request id, rank, server, tokens, milliseconds]
 *	Quarantine: [[high, low, epoch, stored, [incarnation, ...]], ...], with
 *	the two halves of a request fingerprint and the incarnations of servers
 *	that crashed
 *
 *	Call request: [id, service, urgency, organisation, microseconds until
 *	the target, microseconds until the caller's limit, [backend, ...]]
 *	Call answer: [id, service, result, backend or 0, microseconds]
 *	Call done: [id, service, backend or 0, microseconds at the backend,
 *	running, waiting, slots or 0, pace in percent or 0, refused]
 *
 *	Kinds that are not known, further fields of a summary and further flags
 *	are ignored.
 *
 *	A usage is [organisation, epoch, used, demand, level]. A fact is
 *	[backend, limit or -1, age of the limit in microseconds, leaving,
 *	microseconds left of a cold start, limit during the cold start], with
 *	limits in thousandths of a request a second. An address of IPv4 is one
 *	number, any other a text. A speed is [backend, time factor in percent,
 *	weight in samples, age in milliseconds]; the field is left out while
 *	there is none.
 */
#ifndef FORWARD_GOSSIP_CODEC_H
#define FORWARD_GOSSIP_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "forward/fleet.h"
#include "forward/gossip.h"

#define GOSSIP_FORMAT 4
/* Fits a datagram on loopback and on links with jumbo frames; elsewhere IP
 * fragments it. 600 servers with load take 14 KiB. */
#define GOSSIP_BYTES_MAX (32u << 10)
#define GOSSIP_LOADS_MAX 1024u
#define GOSSIP_ADDRESSES_MAX 1024u
/* Fit an unfragmented datagram (1,400 bytes) when each names three servers. */
#define GOSSIP_QUARANTINE_MAX 24u

/* Organisations in one datagram; the next one holds further ones. Fit 1,400
 * bytes. */
#define GOSSIP_USAGE_MAX 48u

enum gossip_kind {
	GOSSIP_INSTANCE_SUMMARY, /* of an instance, with its own loads */
	GOSSIP_GROUP_SUMMARY,	 /* of a group, with the sum of its loads */
	GOSSIP_CHANGES,		 /* of own loads since the last message */
	GOSSIP_USAGE, /* of allotments: own to local peers, the data centre's to
			 remote ones */
	GOSSIP_PERMIT_REQUEST,
	GOSSIP_PERMIT_ANSWER,
	GOSSIP_QUARANTINE, /* entries of the quarantine */
	GOSSIP_ORIGIN,	   /* the version that began a stream */
	GOSSIP_ORIGIN_QUERY,
	GOSSIP_ORIGIN_ANSWER,
	GOSSIP_CALL_REQUEST = 10,
	GOSSIP_CALL_ANSWER = 11,
	GOSSIP_CALL_DONE = 12,
	GOSSIP_ROOM_CLAIM = 13, /* of memory at a server */
	GOSSIP_UNKNOWN,		/* of a later release; ignored */
};

/* Name of a data centre, with the index and number of its groups. */
#define GOSSIP_GROUP_MAX (BACKEND_TEXT_MAX + 16)

struct gossip_load {
	uint64_t backend; /* key */
	struct load_sum load;
};

/* Candidate of a group for gossip_is_lowest(). */
struct gossip_candidate {
	char name[BACKEND_TEXT_MAX]; /* lowest name, of the instances that reach
					the store if any does */
	bool store_unreachable;	     /* no instance reaches the store */
};

struct gossip_address {
	char text[BACKEND_TEXT_MAX];
};

struct gossip_message {
	enum gossip_kind kind;
	uint64_t boot;
	uint64_t sequence;
	GArray *loads;	    /* struct gossip_load */
	GArray *quarantine; /* struct quarantine_entry, for GOSSIP_QUARANTINE
			       only */
	GArray *usage; /* struct limit_entry, for summaries and GOSSIP_USAGE */
	struct permit_request request; /* for GOSSIP_PERMIT_REQUEST only */
	struct permit_answer answer;   /* for GOSSIP_PERMIT_ANSWER only */
	struct gossip_origin origin;   /* for GOSSIP_ORIGIN only */
	/* For GOSSIP_ORIGIN_QUERY, and with its id and stream for
	 * GOSSIP_ORIGIN_ANSWER. */
	struct origin_query origin_query;
	struct origin_answer origin_answer; /* for GOSSIP_ORIGIN_ANSWER only */
	struct call_request call_request;   /* for GOSSIP_CALL_REQUEST only */
	struct call_answer call_answer;	    /* for GOSSIP_CALL_ANSWER only */
	struct call_done call_done;	    /* for GOSSIP_CALL_DONE only */
	struct room_claim claim;	    /* for GOSSIP_ROOM_CLAIM only */
	/* The following fields are set in summaries only. */
	char name[BACKEND_TEXT_MAX];
	char group[GOSSIP_GROUP_MAX]; /* of the sender */
	struct gossip_summary summary;
	/* Candidate of the group, in a group summary only. */
	struct gossip_candidate lowest;
	/* struct gossip_address: some other instances; in a group summary all
	 * of the group, if any. */
	GArray *addresses;
	GArray *facts;	/* struct backpressure_fact */
	GArray *speeds; /* struct speed_entry */
};

/* Creates the arrays; to be freed with gossip_message_clear(). */
void gossip_message_init(struct gossip_message *message, enum gossip_kind kind);
void gossip_message_add(struct gossip_message *message, const char *address);
/* Appends to out. */
void gossip_encode(const struct gossip_message *message, GByteArray *out);
/* Initialises message, which is to be cleared also on failure. */
bool gossip_decode(struct gossip_message *message, const void *data,
		   size_t size, struct error *err);
void gossip_message_clear(struct gossip_message *message);

#endif
