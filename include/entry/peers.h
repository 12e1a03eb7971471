/*
 * peers.h - links to other instances
 *
 * DESCRIPTION
 *	Keeps one TCP link to each instance that messages are exchanged with. A
 *	link is opened on demand to the address given by the address callback,
 *	or accepted from the peer. It carries the frames of common/frame.h. Both
 *	sides first send a hello, and no message is sent before both hellos are
 *	received, so a message never reaches another instance than the intended
 *	one, even when an address has been reassigned.
 *
 *	Messages for one peer that are sent within coalesce_usec share a frame.
 *	The queue of a peer is bounded by queue_bytes_max. Messages beyond it
 *	and messages to unreachable peers are dropped and counted.
 *
 *	When both sides connect at once, both keep the link that the instance of
 *	the lower id opened; the other link has not carried a message yet. A
 *	hello of a higher incarnation replaces the link of a lower one. Links
 *	idle for idle_usec are closed after both sides have read to the end.
 *
 *	With datagrams set, a message of CHANNEL_LEDGER that fits into one
 *	datagram is sent over UDP, from and to the address of the listening
 *	socket, while a link to a peer of the same data centre is ready, its
 *	hello had a token, and the peer answers probes. Otherwise it is sent
 *	over the link. Datagrams may be lost, duplicated or reordered. When the
 *	UDP port is in use, datagrams are neither sent nor received.
 *
 *	A message to the instance itself is delivered in a later loop iteration.
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

/* Times in microseconds. 0 stands for the default, except in coalesce_usec. */
struct peers_settings {
	const char *name;
	const char *data_centre;
	const char *listen; /* "IP:port", port 0 picks a free one */
	uint64_t incarnation;
	uint32_t seed;
	int64_t coalesce_usec;
	int64_t connect_usec;	/* TCP connect and hello; default 1 s */
	int64_t idle_usec;	/* default 30 s */
	int64_t backoff_usec;	/* before the first reconnect; default 50 ms */
	int64_t backoff_max;	/* longest backoff; default 2 s */
	size_t queue_bytes_max; /* default 4 MiB for each peer */
	uint32_t links_max;	/* default 1,024 */
	int64_t probe_interval_usec; /* from answer to probe; default 5 s */
	int64_t probe_timeout_usec;  /* wait for an answer; default 1 s */
	bool datagrams;		     /* small messages of the ledger use UDP */
};

struct peers_ops {
	/* The peer address of an instance, or NULL when unknown. */
	const char *(*address)(void *ctx, uint64_t instance);
	/* A hello was received; http_address is empty. May be NULL. */
	void (*hello)(void *ctx, const struct member *peer);
	/* The listening socket failed and is closed. May be NULL. */
	void (*failed)(void *ctx, const struct error *why);
};

typedef void (*peers_receive_fn)(void *ctx, uint64_t from, const void *data,
				 size_t size);

/* NULL with RESULT_IO when the listening socket cannot be set up. */
struct peers *peers_create(struct loop *loop, struct counter_set *counters,
			   const struct peers_settings *settings,
			   const struct peers_ops *ops, void *ctx,
			   struct error *err);
void peers_destroy(struct peers *peers);
/* The bound listen address, "IP:port". */
const char *peers_address(const struct peers *peers);
/* Sets the handler of a channel. Messages of a channel without a handler (fn
 * NULL) are dropped. */
void peers_handler_set(struct peers *peers, enum channel channel,
		       peers_receive_fn fn, void *ctx);
void peers_send(struct peers *peers, uint64_t instance, enum channel channel,
		const void *payload, size_t size);
/* peers_send() as a transport of the coordination library. */
struct transport peers_transport(struct peers *peers);
/* Whether no message to a peer with a link, or to the instance itself, is
 * pending. */
bool peers_flushed(const struct peers *peers);
/* Updates the counters of bytes and writes, and those of TCP segments from the
 * kernel's figures for each link. Called before counters are exported. */
void peers_counters_update(struct peers *peers);
/* Number of links on which both hellos were exchanged. */
uint32_t peers_links(const struct peers *peers);

#endif
