/*
 * peers_private.h - what the files of peers share
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

/* Datagrams to one peer. The times are those of the clock. */
struct peer_datagrams {
	struct frame_writer *open; /* probes and messages */
	uint32_t messages;	   /* in open */
	bool proven;		   /* a probe was answered */
	bool asking;		   /* since asked, last tried */
	int64_t asked;
	int64_t tried;
	int64_t heard;
	struct sockaddr_storage to;
	socklen_t to_size; /* 0 when not looked up on this link */
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

/* Why datagrams were dropped; busy is the only one of the sender's side. */
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
	h2o_socket_t *socket; /* NULL when none are used */
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
	GQueue local;	   /* struct message to the own instance */
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
	struct counter *channel_bytes[CHANNEL_MAX]; /* payload, both ways */
	struct counter *channel_messages[CHANNEL_MAX];
	struct counter *connects;
	struct counter *refused;
	struct counter *linked;
	struct counter *dropped[DROP_COUNT];
};

/* entry/peer_queue.c: what waits for one peer. */
struct peer *peer_get(struct peers *peers, uint64_t id);
void peer_free(void *data);
bool peer_waiting(const struct peer *peer);
/* Queues a message; false when it was dropped. */
bool peer_queue_add(struct peer *peer, enum channel channel,
		    const void *payload, size_t size);
void peer_queue_drop(struct peer *peer, enum drop reason);
/* Writes what waits, when there is a link that can take it. */
void peer_write(struct peer *peer);
void peer_flush_later(struct peer *peer);
void peer_backoff(struct peer *peer);
void traffic_count(struct peers *peers);

/* entry/peer_connect.c: links opened, read from and closed. */
void peer_connect(struct peer *peer);
/* Counts a message to or from a peer. */
void channel_count(struct peers *peers, enum channel channel, size_t size);
void peers_accept(struct peers *peers, h2o_socket_t *socket);
void peers_dispatch(struct peers *peers, uint64_t from, enum channel channel,
		    const void *payload, size_t size);
/* Takes the link out of the tables, then closes it. */
void link_drop(struct peers *peers, struct link *link);
/* As link_drop(), counted; the peer is tried again later. */
void link_refuse(struct peers *peers, struct link *link);

/* entry/peer_greet.c: what a hello leads to. */
void hello_write(struct peers *peers, struct link *link);
void hello_take(struct peers *peers, struct link *link, const void *payload,
		size_t size);

/* entry/peer_datagram.c */
/* fd is a bound socket, or -1 for none. */
void datagrams_start(struct peers *peers, struct counter_set *counters, int fd);
void datagrams_stop(struct peers *peers);
/* For the hello of a link; 0 when no datagrams are taken. */
uint64_t datagram_token(const struct peers *peers);
/* A link came into use. */
void datagram_reset(struct peer *peer);
/* Takes a message, to be sent at the flush; false when it is to go over the
 * link. */
bool datagram_add(struct peer *peer, enum channel channel, const void *payload,
		  size_t size);
/* Sends what waits; puts it into the queue when it cannot go so any more. */
void datagram_flush(struct peer *peer);

/* entry/peer_listen.c */
/* Returns a listening socket, its address as bound in bound, or -1. With
 * datagrams not NULL a socket for these at the same address is put there, or
 * -1 when that is in use. */
int peer_listen(const char *address, char *bound, int *datagrams,
		struct error *err);

#endif
