/*
 * peer_connect.c - opening, reading and closing links
 */
#include "peers_private.h"

#include "common/log.h"

static void link_unregister(struct peers *peers, struct link *link)
{
	struct peer *peer = g_hash_table_lookup(peers->table, &link->peer);

	g_hash_table_remove(peers->links, link);
	if (peer && peer->link == link)
		peer->link = NULL;
	peers->links_ready->value = peers_links(peers);
}

void link_drop(struct peers *peers, struct link *link)
{
	link_unregister(peers, link);
	link_close(link);
}

void link_refuse(struct peers *peers, struct link *link)
{
	struct peer *peer = g_hash_table_lookup(peers->table, &link->peer);

	peers->refused->value++;
	if (peer && peer->link == link) {
		peer_queue_drop(peer, DROP_UNREACHABLE);
		peer_backoff(peer);
	}
	link_drop(peers, link);
}

static void on_opened(void *ctx, struct link *link)
{
	hello_write(ctx, link);
}

void peers_dispatch(struct peers *peers, uint64_t from, enum channel channel,
		    const void *payload, size_t size)
{
	const struct handler *handler = &peers->handlers[channel];

	peers->messages_received->value++;
	if (handler->fn)
		handler->fn(handler->ctx, from, payload, size);
}

static void on_message(void *ctx, struct link *link, enum channel channel,
		       const void *payload, size_t size)
{
	struct peers *peers = ctx;

	traffic_count(peers);
	channel_count(peers, channel, size);
	if (channel != CHANNEL_HELLO && link->state >= LINK_READY)
		peers_dispatch(peers, link->peer, channel, payload, size);
	else if (channel == CHANNEL_HELLO && link->state == LINK_OPEN)
		hello_receive(peers, link, payload, size);
	else if (channel != CHANNEL_HELLO)
		link_refuse(peers, link);
}

static void on_written(void *ctx, struct link *link)
{
	struct peers *peers = ctx;
	struct peer *peer = g_hash_table_lookup(peers->table, &link->peer);

	if (peer && peer->link == link && peer->queue->len > 0)
		peer_write(peer);
	else if (peer && peer->link == link && peer_pending(peer))
		peer_flush_later(peer);
}

static void on_closed(void *ctx, struct link *link, const char *reason)
{
	struct peers *peers = ctx;
	struct peer *peer = g_hash_table_lookup(peers->table, &link->peer);
	bool current = peer && peer->link == link;
	bool reached =
		link->state != LINK_CONNECTING && reason != link_timed_out;

	link_unregister(peers, link);
	if (link->state != LINK_RETIRED)
		log_event(LOG_DEBUG, "peer_link_closed",
			  LOG_X("peer", link->peer), LOG_S("reason", reason));
	if (!current)
		return;
	if (!reached)
		peer_queue_drop(peer, DROP_UNREACHABLE);
	peer_backoff(peer);
}

static const struct link_ops link_ops = {
	.opened = on_opened,
	.message = on_message,
	.written = on_written,
	.closed = on_closed,
};

void peer_connect(struct peer *peer)
{
	struct peers *peers = peer->peers;
	const char *address = peers->ops.address(peers->ctx, peer->id);
	struct link *link = NULL;

	if (address &&
	    g_hash_table_size(peers->links) < peers->settings.links_max)
		link = link_open(peers->loop, address,
				 peers->settings.connect_usec, &link_ops, peers,
				 &peers->traffic);
	if (!link) {
		peer_queue_drop(peer,
				address ? DROP_UNREACHABLE : DROP_UNKNOWN);
		peer_backoff(peer);
		return;
	}
	link->peer = peer->id;
	link->opener = peers->self.id;
	peer->link = link;
	peers->connects->value++;
	g_hash_table_add(peers->links, link);
}

void peers_accept(struct peers *peers, h2o_socket_t *socket)
{
	struct link *link =
		link_accept(peers->loop, socket, peers->settings.connect_usec,
			    &link_ops, peers, &peers->traffic);

	g_hash_table_add(peers->links, link);
}
