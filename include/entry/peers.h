/*
 * peers.h - links to other instances
 *
 * DESCRIPTION
 *	One TCP link to each instance that is talked with, opened on demand at
 *	the address that the address callback gives, or taken as the other side
 *	opens it. A link carries the frames of common/frame.h; it opens with a
 *	hello both ways, and carries nothing else before both were seen, so a
 *	message never reaches an instance that it was not meant for, even when
 *	an address has passed to another.
 *
 *	Messages for one peer that are sent within coalesce_usec share a frame.
 *	What waits for a peer is bounded by queue_bytes_max; beyond that, and
 *	for peers that cannot be reached, messages are dropped and counted.
 *	Two links opened at once by both sides are told apart by their opener:
 *	both keep that of the lower id, and the other has not carried a message
 *	yet. A hello of a higher incarnation replaces the link of a lower one.
 *	Links idle for idle_usec are closed; both sides read to the end first.
 *
 *	With datagrams, messages of CHANNEL_LEDGER that fit into one go over UDP
 *	from and to the address of the listening socket, while a link to a peer
 *	of the same data centre is in use, its hello had a token, and probes are
 *	answered; else over the link. They may be lost, doubled or reordered.
 *	When the UDP port is in use by others, none are used and none taken.
 *
 *	A message to the own instance is delivered in a later turn.
 */
#ifndef ENTRY_PEERS_H
#define ENTRY_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/frame.h"
#include "coord/member.h"
#include "coord/transport.h"
#include "web/loop.h"

struct error;
struct peers;

/* All times in microseconds; 0 takes the default, but for coalesce_usec. */
struct peers_settings {
	const char *name;
	const char *data_centre;
	const char *listen; /* "IP:port", port 0 picks a free one */
	uint64_t incarnation;
	uint32_t seed;
	int64_t coalesce_usec;
	int64_t connect_usec;	/* TCP and hello; default 1 s */
	int64_t idle_usec;	/* default 30 s */
	int64_t backoff_usec;	/* first reconnect; default 50 ms */
	int64_t backoff_max;	/* default 2 s */
	size_t queue_bytes_max; /* default 4 MiB for each peer */
	uint32_t links_max;	/* default 1,024 */
	int64_t proven_usec;	/* between two probes; default 5 s */
	int64_t answer_usec;	/* to a probe's answer; default 1 s */
	bool datagrams;		/* small messages of the ledger go so */
};

struct peers_ops {
	/* The peer address of an instance, or NULL when unknown. */
	const char *(*address)(void *ctx, uint64_t instance);
	/* A hello was read; http_address is empty. May be NULL. */
	void (*hello)(void *ctx, const struct member *peer);
	/* The listening socket failed and is closed. May be NULL. */
	void (*failed)(void *ctx, const struct error *why);
};

typedef void (*peers_receive_fn)(void *ctx, uint64_t from, const void *data,
				 size_t size);

/* NULL with RESULT_IO when it cannot listen. */
struct peers *peers_create(struct loop *loop, struct counter_set *counters,
			   const struct peers_settings *settings,
			   const struct peers_ops *ops, void *ctx,
			   struct error *err);
void peers_destroy(struct peers *peers);
/* "IP:port" as bound. */
const char *peers_address(const struct peers *peers);
/* Who receives the messages of a channel; fn NULL drops them again. */
void peers_on(struct peers *peers, enum channel channel, peers_receive_fn fn,
	      void *ctx);
void peers_send(struct peers *peers, uint64_t instance, enum channel channel,
		const void *payload, size_t size);
/* peers_send() as the coordination library wants it. */
struct transport peers_transport(struct peers *peers);
/* Whether nothing waits to be written to a peer that is linked. */
bool peers_flushed(const struct peers *peers);
/* Asks the kernel for the segments of all links and brings the counters up to
 * date; for whoever prints them. */
void peers_measure(struct peers *peers);
/* Links that have seen both hellos. */
uint32_t peers_links(const struct peers *peers);

#endif
