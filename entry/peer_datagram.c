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
#define PROBE_RETRY_USEC (100 * USEC_PER_MSEC)
/* Datagrams read per callback, so that other sockets are not starved. */
#define READ_BATCH_MAX 64

/* Largest payload of a message that is alone in its datagram, in bytes. */
#define PAYLOAD_MAX                                                            \
	(DATAGRAM_MAX - DATAGRAM_HEADER - DATAGRAM_BODY_HEADER -               \
	 DATAGRAM_MESSAGE_HEADER)

enum probe {
	PROBE_REQUEST,
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
	struct peer_datagrams *path = &peer->datagrams;

	path->confirmed = false;
	path->probe_pending = false;
	path->to_size = 0;
}

static bool datagrams_usable(const struct peer *peer)
{
	return peer->link && peer->link->state == LINK_READY &&
	       peer->link->token_out != 0 && peer->peers->datagrams.socket;
}

static bool address_resolve(struct peer *peer)
{
	struct peers *peers = peer->peers;
	struct peer_datagrams *path = &peer->datagrams;
	const char *address;

	if (path->to_size > 0)
		return true;
	address = peers->ops.address(peers->ctx, peer->id);
	if (address && address_parse(address, &path->to, &path->to_size, NULL))
		return true;
	path->to_size = 0;
	return false;
}

static void probe_add(struct peer *peer, enum probe probe)
{
	unsigned char byte = (unsigned char)probe;

	if (frame_writer_pending(peer->datagrams.open) + 1 > PAYLOAD_MAX)
		datagram_flush(peer);
	frame_writer_add(peer->datagrams.open, CHANNEL_HELLO, &byte, 1, NULL);
	peer_flush_later(peer);
}

static void probe_request(struct peer *peer)
{
	struct peer_datagrams *path = &peer->datagrams;
	int64_t now = clock_now(peer->peers->clock);

	if (path->probe_pending && now - path->last_probe < PROBE_RETRY_USEC)
		return;
	if (!path->probe_pending && path->confirmed &&
	    now - path->last_answer < peer->peers->settings.probe_interval_usec)
		return;
	if (!path->probe_pending)
		path->pending_since = now;
	path->probe_pending = true;
	path->last_probe = now;
	probe_add(peer, PROBE_REQUEST);
}

static bool datagrams_confirmed(struct peer *peer)
{
	struct peer_datagrams *path = &peer->datagrams;
	int64_t now = clock_now(peer->peers->clock);

	if (path->confirmed && path->probe_pending &&
	    now - path->pending_since >
		    peer->peers->settings.probe_timeout_usec) {
		path->confirmed = false;
		log_event(LOG_NOTICE, "peer_datagrams_unanswered",
			  LOG_X("peer", peer->id));
	}
	return path->confirmed;
}

bool datagram_add(struct peer *peer, enum channel channel, const void *payload,
		  size_t size)
{
	struct peer_datagrams *path = &peer->datagrams;

	if (channel != CHANNEL_LEDGER || size > PAYLOAD_MAX ||
	    !datagrams_usable(peer) || !address_resolve(peer))
		return false;
	if (frame_writer_pending(path->open) + size > PAYLOAD_MAX)
		datagram_flush(peer);
	/* A probe is added only when the message fits behind it. */
	if (frame_writer_pending(path->open) + size + DATAGRAM_MESSAGE_HEADER +
		    1 <=
	    PAYLOAD_MAX)
		probe_request(peer);
	if (!datagrams_confirmed(peer))
		return false;
	frame_writer_add(path->open, channel, payload, size, NULL);
	path->messages++;
	return true;
}

static void datagram_send(struct peer *peer)
{
	struct peers *peers = peer->peers;
	struct datagrams *io = &peers->datagrams;
	struct peer_datagrams *path = &peer->datagrams;
	ssize_t sent;

	datagram_encode(peers->self.id, peer->link->token_out, path->open,
			io->out);
	sent = sendto(h2o_socket_get_fd(io->socket), io->out->data,
		      io->out->len, MSG_DONTWAIT | MSG_NOSIGNAL,
		      (const struct sockaddr *)&path->to, path->to_size);
	if (sent != (ssize_t)io->out->len) {
		io->dropped[DATAGRAM_DROP_BUSY]->value++;
		return;
	}
	peer->link->last_used = clock_now(peers->clock);
	io->sent->value++;
	io->bytes_sent->value += sent;
	io->messages_sent->value += path->messages;
}

void datagram_flush(struct peer *peer)
{
	struct peer_datagrams *path = &peer->datagrams;

	if (frame_writer_pending(path->open) == 0)
		return;
	/* The link may have closed since the messages were added. */
	if (datagrams_usable(peer) && address_resolve(peer) &&
	    (path->messages == 0 || path->confirmed))
		datagram_send(peer);
	else if (path->messages > 0)
		frame_writer_take(path->open, peer->queue);
	else
		datagram_encode(0, 0, path->open, peer->peers->datagrams.out);
	path->messages = 0;
}

static void probe_receive(struct peer *peer, const void *payload, size_t size)
{
	struct peer_datagrams *path = &peer->datagrams;
	unsigned char probe = size == 1 ? *(const unsigned char *)payload : 255;

	if (probe == PROBE_REQUEST) {
		if (datagrams_usable(peer) && address_resolve(peer))
			probe_add(peer, PROBE_ANSWER);
	} else if (probe == PROBE_ANSWER && path->probe_pending) {
		path->confirmed = true;
		path->probe_pending = false;
		path->last_answer = clock_now(peer->peers->clock);
	}
}

/* Holds the id of the sender, not the peer, which a message handler may free.
 */
struct receive_ctx {
	struct peers *peers;
	uint64_t sender;
};

static void message_receive(void *ctx, enum channel channel,
			    const void *payload, size_t size)
{
	const struct receive_ctx *receive_ctx = ctx;
	struct peers *peers = receive_ctx->peers;
	struct peer *peer =
		g_hash_table_lookup(peers->table, &receive_ctx->sender);

	if (channel == CHANNEL_HELLO) {
		if (peer)
			probe_receive(peer, payload, size);
		return;
	}
	if (channel != CHANNEL_LEDGER) {
		peers->datagrams.dropped[DATAGRAM_DROP_CHANNEL]->value++;
		return;
	}
	peers->datagrams.messages_received->value++;
	channel_count(peers, channel, size);
	peers_dispatch(peers, receive_ctx->sender, channel, payload, size);
}

static enum datagram_drop datagram_receive(struct peers *peers,
					   const void *data, size_t size)
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
	peer->link->last_used = clock_now(peers->clock);
	struct receive_ctx receive_ctx = {.peers = peers,
					  .sender = datagram.sender};

	if (!datagram_read(&datagram, message_receive, &receive_ctx, NULL))
		return DATAGRAM_DROP_MALFORMED;
	return DATAGRAM_DROP_COUNT;
}

static void on_datagrams(h2o_socket_t *socket, const char *err)
{
	struct peers *peers = socket->data;
	struct datagrams *io = &peers->datagrams;
	char data[DATAGRAM_MAX + 1];

	loop_enter(peers->loop);
	for (int i = 0; i < READ_BATCH_MAX && !err; i++) {
		ssize_t got = recv(h2o_socket_get_fd(socket), data,
				   sizeof(data), MSG_DONTWAIT);

		if (got < 0)
			return;
		io->received->value++;
		io->bytes_received->value += got;
		enum datagram_drop drop =
			datagram_receive(peers, data, (size_t)got);

		if (drop != DATAGRAM_DROP_COUNT)
			io->dropped[drop]->value++;
	}
}

static void counters_fill(struct datagrams *io, struct counter_set *set)
{
	static const char *const directions[] = {"direction=\"sent\"",
						 "direction=\"received\""};
	struct counter **counts[][2] = {
		{&io->sent, &io->received},
		{&io->bytes_sent, &io->bytes_received},
		{&io->messages_sent, &io->messages_received},
	};
	static const char *const names[] = {"jt_peer_datagrams_total",
					    "jt_peer_datagram_bytes_total",
					    "jt_peer_datagram_messages_total"};
	static const char *const texts[] = {
		"Datagrams to and from peers",
		"Bytes in datagrams to and from peers",
		"Messages in datagrams to and from peers"};

	for (int i = 0; i < 3; i++) {
		for (int direction = 0; direction < 2; direction++)
			*counts[i][direction] = counter_get(
				set, names[i], texts[i], directions[direction]);
	}
	for (int i = 0; i < DATAGRAM_DROP_COUNT; i++)
		io->dropped[i] = counter_get(
			set, "jt_peer_datagram_dropped_total",
			"Datagrams not sent or not taken", drop_labels[i]);
}

void datagrams_start(struct peers *peers, struct counter_set *counters, int fd)
{
	struct datagrams *io = &peers->datagrams;

	counters_fill(io, counters);
	io->out = g_byte_array_new();
	if (fd < 0)
		return;
	io->socket = h2o_evloop_socket_create(loop_h2o(peers->loop), fd,
					      H2O_SOCKET_FLAG_DONT_READ);
	io->socket->data = peers;
	h2o_socket_read_start(io->socket, on_datagrams);
}

void datagrams_stop(struct peers *peers)
{
	if (peers->datagrams.socket)
		h2o_socket_close(peers->datagrams.socket);
	g_byte_array_free(peers->datagrams.out, TRUE);
}
