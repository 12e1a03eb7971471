/*
 * peers_private.h - structs and functions shared by the peer_*.c files
 */
#ifndef ENTRY_PEERS_PRIVATE_H
#define ENTRY_PEERS_PRIVATE_H

#include <glib.h>
#include <sys/socket.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/counter.h"
#include "entry/peer_link.h"
#include "entry/peers.h"

struct handler {
	peers_receive_fn fn;
	void *ctx;
};

/* State of the datagrams to one peer. Times are clock times in microseconds. */
struct peer_datagrams {
	struct frame_writer *open; /* probes and messages to be sent */
	uint32_t messages;	   /* in open, without probes */
	bool confirmed;		   /* a probe was answered */
	bool probe_pending;	   /* a probe has no answer yet */
	int64_t pending_since;	   /* first unanswered probe */
	int64_t last_probe;
	int64_t last_answer;
	struct sockaddr_storage to;
	socklen_t to_size; /* 0 until resolved for the link in use */
};

struct peer {
	struct peers *peers;
	uint64_t id;
	uint64_t incarnation;
	struct link *link;
	struct frame_writer *open; /* the frame being filled */
	GByteArray *queue;	   /* closed frames */
	struct peer_datagrams datagrams;
	struct timer flush;
	struct timer backoff;
	uint32_t attempts;
};

struct message {
	enum channel channel;
	size_t size;
	unsigned char payload[];
};

/* Why messages were dropped. */
enum drop {
	DROP_FULL,
	DROP_OVERSIZE,
	DROP_UNREACHABLE,
	DROP_UNKNOWN,
	DROP_COUNT,
};

/* Why datagrams were dropped. The sender counts DATAGRAM_DROP_BUSY, the
 * receiver all others. */
enum datagram_drop {
	DATAGRAM_DROP_SIZE,
	DATAGRAM_DROP_SENDER, /* unknown, or no link to it */
	DATAGRAM_DROP_TOKEN,
	DATAGRAM_DROP_MALFORMED,
	DATAGRAM_DROP_CHANNEL,
	DATAGRAM_DROP_BUSY,
	DATAGRAM_DROP_COUNT,
};

struct datagrams {
	h2o_socket_t *socket; /* NULL when datagrams are off */
	GByteArray *out;
	struct counter *sent;
	struct counter *received;
	struct counter *bytes_sent;
	struct counter *bytes_received;
	struct counter *messages_sent;
	struct counter *messages_received;
	struct counter *dropped[DATAGRAM_DROP_COUNT];
};

struct peers {
	struct loop *loop;
	struct clock *clock;
	GRand *rand;
	struct peers_settings settings;
	struct peers_ops ops;
	void *ctx;
	struct member self;
	h2o_socket_t *listener;
	char address[ADDRESS_TEXT_MAX];
	struct handler handlers[CHANNEL_MAX];
	GHashTable *table; /* id to struct peer */
	GHashTable *links; /* set of every open link */
	GQueue local;	   /* struct message to this instance */
	struct loop_deferred deliver;
	struct timer sweep;
	struct link_traffic traffic;
	struct datagrams datagrams;
	struct counter *bytes_sent;
	struct counter *bytes_received;
	struct counter *writes;
	struct counter *segments_sent;
	struct counter *segments_received;
	struct counter *messages_sent;
	struct counter *messages_received;
	struct counter *channel_bytes[CHANNEL_MAX]; /* payload, in and out */
	struct counter *channel_messages[CHANNEL_MAX];
	struct counter *connects;
	struct counter *refused;
	struct counter *links_ready;
	struct counter *dropped[DROP_COUNT];
};

/* entry/peer_queue.c: the send queue of a peer. */
struct peer *peer_get(struct peers *peers, uint64_t id);
void peer_free(void *data);
bool peer_pending(const struct peer *peer);
/* Queues a message; false when it was dropped. */
bool peer_queue_add(struct peer *peer, enum channel channel,
		    const void *payload, size_t size);
void peer_queue_drop(struct peer *peer, enum drop reason);
/* Writes the queue when the link is ready and no write is in progress. */
void peer_write(struct peer *peer);
void peer_flush_later(struct peer *peer);
void peer_backoff(struct peer *peer);
void traffic_count(struct peers *peers);

/* entry/peer_connect.c: opening, reading and closing links. */
void peer_connect(struct peer *peer);
/* Counts a message sent to or received from a peer. */
void channel_count(struct peers *peers, enum channel channel, size_t size);
void peers_accept(struct peers *peers, h2o_socket_t *socket);
void peers_dispatch(struct peers *peers, uint64_t from, enum channel channel,
		    const void *payload, size_t size);
/* Removes the link from the tables and closes it. */
void link_drop(struct peers *peers, struct link *link);
/* As link_drop(), but counted as refused; reconnects after a backoff. */
void link_refuse(struct peers *peers, struct link *link);

/* entry/peer_greet.c: the exchange of hellos. */
void hello_write(struct peers *peers, struct link *link);
void hello_receive(struct peers *peers, struct link *link, const void *payload,
		   size_t size);

/* entry/peer_datagram.c */
/* fd is a bound UDP socket, or -1 to turn datagrams off. */
void datagrams_start(struct peers *peers, struct counter_set *counters, int fd);
void datagrams_stop(struct peers *peers);
/* A random token for the hello of a link, or 0 when datagrams are off. */
uint64_t datagram_token(const struct peers *peers);
/* Clears the probe state and address; called when a link becomes ready. */
void datagram_reset(struct peer *peer);
/* Adds a message to the next datagram. False when the message must be sent over
 * the link. */
bool datagram_add(struct peer *peer, enum channel channel, const void *payload,
		  size_t size);
/* Sends the datagram being filled, or moves its messages to the queue of the
 * link when datagrams can no longer be used. */
void datagram_flush(struct peer *peer);

/* entry/peer_listen.c */
/* Returns a listening TCP socket, or -1 on failure; bound receives its address.
 * When udp_fd is not NULL, it receives a UDP socket bound to the same
 * address, or -1 when that is in use. */
int peer_listen(const char *address, char *bound, int *udp_fd,
		struct error *err);

#endif
