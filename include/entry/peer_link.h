/*
 * peer_link.h - one TCP connection to another instance
 *
 * DESCRIPTION
 *	Carries frames. What a hello means, and which of two links to the same
 *	peer is kept, is decided by entry/peers.c. No callback runs within
 *	link_open() or link_accept(), nor after link_close().
 *
 *	A retired link writes what it was given, then ends its direction; it
 *	still hands on what arrives until the other side ends, then closes.
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

/* The reason given to closed when the time to link_ready() has run out. */
extern const char link_timed_out[];

enum link_state {
	LINK_CONNECTING,
	LINK_OPEN,  /* connected; hellos not seen both ways */
	LINK_READY, /* both hellos seen */
	LINK_RETIRED,
};

struct link_ops {
	/* An outbound link is connected. */
	void (*opened)(void *ctx, struct link *link);
	void (*message)(void *ctx, struct link *link, enum channel channel,
			const void *payload, size_t size);
	/* Everything given to link_write() was taken by the socket. */
	void (*written)(void *ctx, struct link *link);
	/* Closed by the other side, a failure or a timeout; the link is freed
	 * after this. */
	void (*closed)(void *ctx, struct link *link, const char *reason);
};

/* What is counted on the wire, frame headers included. */
struct link_traffic {
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t writes;
	uint64_t segments_sent; /* of links closed, acknowledgements included */
	uint64_t segments_received;
};

struct link {
	enum link_state state;
	uint64_t peer;	 /* 0 on an inbound link before its hello */
	uint64_t opener; /* who connected */
	int64_t used;	 /* clock time of the last message either way */
	/* Of datagrams from and to the peer; 0 for none. */
	uint64_t token_in;
	uint64_t token_out;
	/* The rest is private to peer_link.c. */
	struct loop *loop;
	h2o_socket_t *socket;
	struct frame_reader *reader;
	GByteArray *out;
	bool writing;
	bool closed;
	bool ended; /* the other side has ended its direction */
	struct timer timeout;
	const struct link_ops *ops;
	void *ctx;
	struct link_traffic *traffic;
};

/* timeout_usec bounds the time until link_ready(). NULL when the address is
 * none or no socket can be made. */
struct link *link_open(struct loop *loop, const char *address,
		       int64_t timeout_usec, const struct link_ops *ops,
		       void *ctx, struct link_traffic *traffic);
struct link *link_accept(struct loop *loop, h2o_socket_t *socket,
			 int64_t timeout_usec, const struct link_ops *ops,
			 void *ctx, struct link_traffic *traffic);
void link_ready(struct link *link);
bool link_writing(const struct link *link);
/* Takes the bytes of *queue, leaving it an empty array; not while writing. */
void link_write(struct link *link, GByteArray **queue);
/* Of a link that is open, acknowledgements included. */
void link_segments(const struct link *link, uint64_t *sent, uint64_t *received);
void link_retire(struct link *link);
void link_close(struct link *link);

#endif
