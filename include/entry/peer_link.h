/*
 * peer_link.h - one TCP connection to another instance
 *
 * DESCRIPTION
 *	Carries frames. entry/peer_greet.c handles hellos and decides which of
 *	two links to the same peer is kept. No callback runs within link_open()
 *	or link_accept(), nor after link_close().
 *
 *	A retired link finishes its write and shuts down its sending direction.
 *	It still delivers received messages until the other side shuts down
 *	too, then closes.
 */
#ifndef ENTRY_PEER_LINK_H
#define ENTRY_PEER_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/frame.h"
#include "web/loop.h"

struct link;

/* The reason passed to closed() when a timeout of the link expires. */
extern const char link_timed_out[];

enum link_state {
	LINK_CONNECTING,
	LINK_OPEN,  /* connected, hellos not yet exchanged */
	LINK_READY, /* hellos exchanged */
	LINK_RETIRED,
};

struct link_ops {
	/* An outbound link is connected. */
	void (*opened)(void *ctx, struct link *link);
	void (*message)(void *ctx, struct link *link, enum channel channel,
			const void *payload, size_t size);
	/* The socket has accepted all bytes given to link_write(). */
	void (*written)(void *ctx, struct link *link);
	/* The peer, a failure or a timeout closed the link, which is freed
	 * after this call. */
	void (*closed)(void *ctx, struct link *link, const char *reason);
};

/* Traffic of all links that share it, frame headers included. */
struct link_traffic {
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t writes;
	uint64_t segments_sent; /* of closed links, acknowledgements included */
	uint64_t segments_received;
};

struct link {
	enum link_state state;
	uint64_t peer;	   /* 0 on an inbound link before its hello */
	uint64_t opener;   /* the instance that connected */
	int64_t last_used; /* clock time of the last message or datagram */
	/* Tokens of datagrams from and to the peer; 0 for no datagrams. */
	uint64_t token_in;
	uint64_t token_out;
	/* The rest is private to peer_link.c. */
	struct loop *loop;
	h2o_socket_t *socket;
	struct frame_reader *reader;
	GByteArray *out;
	bool writing;
	bool closed;
	bool peer_closed; /* the peer has shut down its sending direction */
	struct timer timeout;
	const struct link_ops *ops;
	void *ctx;
	struct link_traffic *traffic;
};

/* timeout_usec bounds the time until link_ready(). NULL when the address is
 * invalid or no socket can be created. */
struct link *link_open(struct loop *loop, const char *address,
		       int64_t timeout_usec, const struct link_ops *ops,
		       void *ctx, struct link_traffic *traffic);
struct link *link_accept(struct loop *loop, h2o_socket_t *socket,
			 int64_t timeout_usec, const struct link_ops *ops,
			 void *ctx, struct link_traffic *traffic);
void link_ready(struct link *link);
bool link_writing(const struct link *link);
/* Writes the bytes of *queue and replaces it by an empty array. Does nothing
 * while a write is in progress or when *queue is empty. */
void link_write(struct link *link, GByteArray **queue);
/* TCP segments of an open link, acknowledgements included. */
void link_segments(const struct link *link, uint64_t *sent, uint64_t *received);
void link_retire(struct link *link);
void link_close(struct link *link);

#endif
