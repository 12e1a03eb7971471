/*
 * peer_datagram.c - sending and receiving messages as datagrams
 *
 * A network may pass TCP but drop UDP, so messages are sent as datagrams only
 * while the peer answers probes. A probe and its answer are one byte each and
 * share a datagram with messages when there are any.
 */
#include "peers_private.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/error.h"
#include "common/log.h"
#include "entry/peer_datagram.h"

/* Interval between probes while one is unanswered. */
#define PROBE_USEC (100 * USEC_PER_MSEC)
/* Datagrams read per callback, so that other sockets are not starved. */
#define READ_MAX 64

/* Largest payload of a message that is alone in its datagram, in bytes. */
#define ROOM                                                                   \
	(DATAGRAM_MAX - DATAGRAM_HEADER - DATAGRAM_BODY_HEADER -               \
	 DATAGRAM_MESSAGE_HEADER)

enum probe {
	PROBE_ASK,
	PROBE_ANSWER,
};

static const char *const drop_labels[DATAGRAM_DROP_COUNT] = {
	[DATAGRAM_DROP_SIZE] = "reason=\"size\"",
	[DATAGRAM_DROP_SENDER] = "reason=\"sender\"",
	[DATAGRAM_DROP_TOKEN] = "reason=\"token\"",
	[DATAGRAM_DROP_MALFORMED] = "reason=\"malformed\"",
	[DATAGRAM_DROP_CHANNEL] = "reason=\"channel\"",
	[DATAGRAM_DROP_BUSY] = "reason=\"busy\"",
};

uint64_t datagram_token(const struct peers *peers)
{
	uint64_t token = 0;

	if (!peers->datagrams.socket ||
	    getrandom(&token, sizeof(token), GRND_NONBLOCK) != sizeof(token))
		return 0;
	return token;
}

void datagram_reset(struct peer *peer)
{
	struct peer_datagrams *own = &peer->datagrams;

	own->proven = false;
	own->asking = false;
	own->to_size = 0;
}

static bool usable(const struct peer *peer)
{
	return peer->link && peer->link->state == LINK_READY &&
	       peer->link->token_out != 0 && peer->peers->datagrams.socket;
}

static bool address_find(struct peer *peer)
{
	struct peers *peers = peer->peers;
	struct peer_datagrams *own = &peer->datagrams;
	const char *address;

	if (own->to_size > 0)
		return true;
	address = peers->ops.address(peers->ctx, peer->id);
	if (address && address_parse(address, &own->to, &own->to_size, NULL))
		return true;
	own->to_size = 0;
	return false;
}

static void probe_add(struct peer *peer, enum probe probe)
{
	unsigned char byte = (unsigned char)probe;

	if (frame_writer_pending(peer->datagrams.open) + 1 > ROOM)
		datagram_flush(peer);
	frame_writer_add(peer->datagrams.open, CHANNEL_HELLO, &byte, 1, NULL);
	peer_flush_later(peer);
}

static void probe_ask(struct peer *peer)
{
	struct peer_datagrams *own = &peer->datagrams;
	int64_t now = clock_now(peer->peers->clock);

	if (own->asking && now - own->tried < PROBE_USEC)
		return;
	if (!own->asking && own->proven &&
	    now - own->heard < peer->peers->settings.proven_usec)
		return;
	if (!own->asking)
		own->asked = now;
	own->asking = true;
	own->tried = now;
	probe_add(peer, PROBE_ASK);
}

static bool proven(struct peer *peer)
{
	struct peer_datagrams *own = &peer->datagrams;
	int64_t now = clock_now(peer->peers->clock);

	if (own->proven && own->asking &&
	    now - own->asked > peer->peers->settings.answer_usec) {
		own->proven = false;
		log_event(LOG_NOTICE, "peer_datagrams_unanswered",
			  LOG_X("peer", peer->id));
	}
	return own->proven;
}

bool datagram_add(struct peer *peer, enum channel channel, const void *payload,
		  size_t size)
{
	struct peer_datagrams *own = &peer->datagrams;

	if (channel != CHANNEL_LEDGER || size > ROOM || !usable(peer) ||
	    !address_find(peer))
		return false;
	if (frame_writer_pending(own->open) + size > ROOM)
		datagram_flush(peer);
	/* A probe is added only when the message fits behind it. */
	if (frame_writer_pending(own->open) + size + DATAGRAM_MESSAGE_HEADER +
		    1 <=
	    ROOM)
		probe_ask(peer);
	if (!proven(peer))
		return false;
	frame_writer_add(own->open, channel, payload, size, NULL);
	own->messages++;
	return true;
}

static void datagram_send(struct peer *peer)
{
	struct peers *peers = peer->peers;
	struct datagrams *all = &peers->datagrams;
	struct peer_datagrams *own = &peer->datagrams;
	ssize_t sent;

	datagram_encode(peers->self.id, peer->link->token_out, own->open,
			all->out);
	sent = sendto(h2o_socket_get_fd(all->socket), all->out->data,
		      all->out->len, MSG_DONTWAIT | MSG_NOSIGNAL,
		      (const struct sockaddr *)&own->to, own->to_size);
	if (sent != (ssize_t)all->out->len) {
		all->dropped[DATAGRAM_DROP_BUSY]->value++;
		return;
	}
	peer->link->used = clock_now(peers->clock);
	all->sent->value++;
	all->bytes_sent->value += sent;
	all->messages_sent->value += own->messages;
}

void datagram_flush(struct peer *peer)
{
	struct peer_datagrams *own = &peer->datagrams;

	if (frame_writer_pending(own->open) == 0)
		return;
	/* The link may have closed since the messages were added. */
	if (usable(peer) && address_find(peer) &&
	    (own->messages == 0 || own->proven))
		datagram_send(peer);
	else if (own->messages > 0)
		frame_writer_take(own->open, peer->queue);
	else
		datagram_encode(0, 0, own->open, peer->peers->datagrams.out);
	own->messages = 0;
}

static void probe_take(struct peer *peer, const void *payload, size_t size)
{
	struct peer_datagrams *own = &peer->datagrams;
	unsigned char probe = size == 1 ? *(const unsigned char *)payload : 255;

	if (probe == PROBE_ASK) {
		if (usable(peer) && address_find(peer))
			probe_add(peer, PROBE_ANSWER);
	} else if (probe == PROBE_ANSWER && own->asking) {
		own->proven = true;
		own->asking = false;
		own->heard = clock_now(peer->peers->clock);
	}
}

/* Holds the id of the sender, not the peer, which a message handler may free.
 */
struct taking {
	struct peers *peers;
	uint64_t sender;
};

static void message_take(void *ctx, enum channel channel, const void *payload,
			 size_t size)
{
	const struct taking *taking = ctx;
	struct peers *peers = taking->peers;
	struct peer *peer = g_hash_table_lookup(peers->table, &taking->sender);

	if (channel == CHANNEL_HELLO) {
		if (peer)
			probe_take(peer, payload, size);
		return;
	}
	if (channel != CHANNEL_LEDGER) {
		peers->datagrams.dropped[DATAGRAM_DROP_CHANNEL]->value++;
		return;
	}
	peers->datagrams.messages_received->value++;
	channel_count(peers, channel, size);
	peers_dispatch(peers, taking->sender, channel, payload, size);
}

static enum datagram_drop datagram_take(struct peers *peers, const void *data,
					size_t size)
{
	struct datagram datagram;
	const struct peer *peer;

	if (!datagram_decode(&datagram, data, size, NULL))
		return DATAGRAM_DROP_SIZE;
	peer = g_hash_table_lookup(peers->table, &datagram.sender);
	if (!peer || !peer->link || peer->link->state != LINK_READY)
		return DATAGRAM_DROP_SENDER;
	if (peer->link->token_in == 0 || peer->link->token_in != datagram.token)
		return DATAGRAM_DROP_TOKEN;
	peer->link->used = clock_now(peers->clock);
	struct taking taking = {.peers = peers, .sender = datagram.sender};

	if (!datagram_read(&datagram, message_take, &taking, NULL))
		return DATAGRAM_DROP_MALFORMED;
	return DATAGRAM_DROP_COUNT;
}

static void on_datagrams(h2o_socket_t *socket, const char *err)
{
	struct peers *peers = socket->data;
	struct datagrams *all = &peers->datagrams;
	char data[DATAGRAM_MAX + 1];

	loop_enter(peers->loop);
	for (int i = 0; i < READ_MAX && !err; i++) {
		ssize_t got = recv(h2o_socket_get_fd(socket), data,
				   sizeof(data), MSG_DONTWAIT);

		if (got < 0)
			return;
		all->received->value++;
		all->bytes_received->value += got;
		enum datagram_drop drop =
			datagram_take(peers, data, (size_t)got);

		if (drop != DATAGRAM_DROP_COUNT)
			all->dropped[drop]->value++;
	}
}

static void counters_fill(struct datagrams *all, struct counter_set *set)
{
	static const char *const ways[] = {"direction=\"sent\"",
					   "direction=\"received\""};
	struct counter **counts[][2] = {
		{&all->sent, &all->received},
		{&all->bytes_sent, &all->bytes_received},
		{&all->messages_sent, &all->messages_received},
	};
	static const char *const names[] = {"jt_peer_datagrams_total",
					    "jt_peer_datagram_bytes_total",
					    "jt_peer_datagram_messages_total"};
	static const char *const texts[] = {
		"Datagrams to and from peers",
		"Bytes in datagrams to and from peers",
		"Messages in datagrams to and from peers"};

	for (int i = 0; i < 3; i++) {
		for (int way = 0; way < 2; way++)
			*counts[i][way] =
				counter_get(set, names[i], texts[i], ways[way]);
	}
	for (int i = 0; i < DATAGRAM_DROP_COUNT; i++)
		all->dropped[i] = counter_get(
			set, "jt_peer_datagram_dropped_total",
			"Datagrams not sent or not taken", drop_labels[i]);
}

void datagrams_start(struct peers *peers, struct counter_set *counters, int fd)
{
	struct datagrams *all = &peers->datagrams;

	counters_fill(all, counters);
	all->out = g_byte_array_new();
	if (fd < 0)
		return;
	all->socket = h2o_evloop_socket_create(loop_h2o(peers->loop), fd,
					       H2O_SOCKET_FLAG_DONT_READ);
	all->socket->data = peers;
	h2o_socket_read_start(all->socket, on_datagrams);
}

void datagrams_stop(struct peers *peers)
{
	if (peers->datagrams.socket)
		h2o_socket_close(peers->datagrams.socket);
	g_byte_array_free(peers->datagrams.out, TRUE);
}
