/*
 * peer_queue.c - send queue of a peer, its flush and reconnect timers
 */
#include "peers_private.h"

#include "coord/retry.h"

void traffic_count(struct peers *peers)
{
	peers->bytes_sent->value = (int64_t)peers->traffic.bytes_sent;
	peers->bytes_received->value = (int64_t)peers->traffic.bytes_received;
	peers->writes->value = (int64_t)peers->traffic.writes;
}

bool peer_pending(const struct peer *peer)
{
	return peer->queue->len > 0 || frame_writer_pending(peer->open) > 0 ||
	       peer->datagrams.messages > 0;
}

/* Empties the queue and counts it as one drop: the messages in closed frames
 * are not counted, which would require parsing them. */
void peer_queue_drop(struct peer *peer, enum drop reason)
{
	if (!peer_pending(peer))
		return;
	frame_writer_take(peer->open, peer->queue);
	frame_writer_take(peer->datagrams.open, peer->queue);
	peer->datagrams.messages = 0;
	g_byte_array_set_size(peer->queue, 0);
	peer->peers->dropped[reason]->value++;
}

void peer_write(struct peer *peer)
{
	struct link *link = peer->link;

	if (!link || link->state != LINK_READY || link_writing(link))
		return;
	frame_writer_take(peer->open, peer->queue);
	link_write(link, &peer->queue);
	traffic_count(peer->peers);
}

static void flush_fire(struct timer *timer, void *ctx)
{
	struct peer *peer = ctx;

	datagram_flush(peer);
	if (peer->link)
		peer_write(peer);
	else if (peer_pending(peer) && !timer_running(&peer->backoff))
		peer_connect(peer);
}

void peer_flush_later(struct peer *peer)
{
	if (!timer_running(&peer->flush))
		timer_start(&peer->flush, peer->peers->settings.coalesce_usec);
}

void peer_backoff(struct peer *peer)
{
	struct peers *peers = peer->peers;
	int64_t delay = retry_backoff(peers->rand, peer->attempts,
				      peers->settings.backoff_usec,
				      peers->settings.backoff_max);

	peer->attempts++;
	timer_start(&peer->backoff, delay);
}

static void backoff_fire(struct timer *timer, void *ctx)
{
	struct peer *peer = ctx;

	if (!peer->link && peer_pending(peer))
		peer_connect(peer);
}

struct peer *peer_get(struct peers *peers, uint64_t id)
{
	struct peer *peer = g_hash_table_lookup(peers->table, &id);

	if (peer)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->peers = peers;
	peer->id = id;
	peer->open = frame_writer_create();
	peer->datagrams.open = frame_writer_create();
	peer->queue = g_byte_array_new();
	timer_init(&peer->flush, peers->clock, flush_fire, peer);
	timer_init(&peer->backoff, peers->clock, backoff_fire, peer);
	g_hash_table_insert(peers->table, &peer->id, peer);
	return peer;
}

void peer_free(void *data)
{
	struct peer *peer = data;

	timer_stop(&peer->flush);
	timer_stop(&peer->backoff);
	frame_writer_destroy(peer->open);
	frame_writer_destroy(peer->datagrams.open);
	g_byte_array_free(peer->queue, TRUE);
	g_free(peer);
}

bool peer_queue_add(struct peer *peer, enum channel channel,
		    const void *payload, size_t size)
{
	struct peers *peers = peer->peers;
	size_t waiting = peer->queue->len + frame_writer_pending(peer->open);

	if (waiting + size > peers->settings.queue_bytes_max) {
		peers->dropped[DROP_FULL]->value++;
		return false;
	}
	if (frame_writer_add(peer->open, channel, payload, size, NULL))
		return true;
	frame_writer_take(peer->open, peer->queue);
	if (frame_writer_add(peer->open, channel, payload, size, NULL))
		return true;
	peers->dropped[DROP_OVERSIZE]->value++;
	return false;
}
