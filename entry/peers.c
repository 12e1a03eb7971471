/*
 * peers.c - set-up, sending, closing of idle links and counters
 */
#include "peers_private.h"

#include <string.h>

#include "common/error.h"

#define CONNECT_USEC (1 * USEC_PER_SEC)
#define IDLE_USEC (30 * USEC_PER_SEC)
#define BACKOFF_USEC (50 * USEC_PER_MSEC)
#define BACKOFF_MAX_USEC (2 * USEC_PER_SEC)
#define PROBE_INTERVAL_USEC (5 * USEC_PER_SEC)
#define PROBE_TIMEOUT_USEC (1 * USEC_PER_SEC)
#define QUEUE_BYTES_MAX (4u << 20)
#define LINKS_MAX 1024

static const char *const drop_labels[DROP_COUNT] = {
	[DROP_FULL] = "reason=\"full\"",
	[DROP_OVERSIZE] = "reason=\"oversize\"",
	[DROP_UNREACHABLE] = "reason=\"unreachable\"",
	[DROP_UNKNOWN] = "reason=\"unknown\"",
};

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct peers *peers = listener->data;
	h2o_socket_t *socket;

	loop_enter(peers->loop);
	if (err) {
		struct error why;

		error_set(&why, RESULT_IO, "listening for peers: %s", err);
		h2o_socket_close(listener);
		peers->listener = NULL;
		if (peers->ops.failed)
			peers->ops.failed(peers->ctx, &why);
		return;
	}
	socket = h2o_evloop_socket_accept(listener);
	if (!socket)
		return;
	if (g_hash_table_size(peers->links) >= peers->settings.links_max) {
		peers->refused->value++;
		h2o_socket_close(socket);
		return;
	}
	peers_accept(peers, socket);
}

static bool link_idle(const struct peers *peers, const struct peer *peer)
{
	const struct link *link = peer->link;

	return link && link->state == LINK_READY && !link_writing(link) &&
	       !peer_pending(peer) &&
	       clock_now(peers->clock) - link->last_used >=
		       peers->settings.idle_usec;
}

static gboolean peer_sweep(void *key, void *value, void *ctx)
{
	struct peers *peers = ctx;
	struct peer *peer = value;

	if (link_idle(peers, peer)) {
		struct link *link = peer->link;

		peer->link = NULL;
		link_retire(link);
	}
	return !peer->link && !peer_pending(peer) &&
	       !timer_running(&peer->backoff);
}

static void sweep_fire(struct timer *timer, void *ctx)
{
	struct peers *peers = ctx;

	g_hash_table_foreach_remove(peers->table, peer_sweep, peers);
	peers->links_ready->value = peers_links(peers);
	timer_start(timer, peers->settings.idle_usec / 2);
}

static void deliver_local(void *ctx)
{
	struct peers *peers = ctx;
	guint count = peers->local.length;

	for (guint i = 0; i < count; i++) {
		struct message *message = g_queue_pop_head(&peers->local);

		peers_dispatch(peers, peers->self.id, message->channel,
			       message->payload, message->size);
		g_free(message);
	}
	if (peers->local.length > 0)
		loop_defer(peers->loop, &peers->deliver, deliver_local, peers);
}

static void send_local(struct peers *peers, enum channel channel,
		       const void *payload, size_t size)
{
	struct message *message = g_malloc(sizeof(*message) + size);

	message->channel = channel;
	message->size = size;
	if (size > 0)
		memcpy(message->payload, payload, size);
	g_queue_push_tail(&peers->local, message);
	loop_defer(peers->loop, &peers->deliver, deliver_local, peers);
}

void peers_send(struct peers *peers, uint64_t instance, enum channel channel,
		const void *payload, size_t size)
{
	if (channel <= CHANNEL_HELLO || channel >= CHANNEL_MAX)
		return;
	peers->messages_sent->value++;
	if (instance == peers->self.id) {
		send_local(peers, channel, payload, size);
		return;
	}
	struct peer *peer = peer_get(peers, instance);

	if (datagram_add(peer, channel, payload, size)) {
		channel_count(peers, channel, size);
		peer_flush_later(peer);
		return;
	}
	if (!peer_queue_add(peer, channel, payload, size))
		return;
	channel_count(peers, channel, size);
	if (peer->link)
		peer_flush_later(peer);
	else if (!timer_running(&peer->backoff))
		peer_connect(peer);
}

static void transport_send(void *ctx, uint64_t instance, enum channel channel,
			   const void *payload, size_t size)
{
	peers_send(ctx, instance, channel, payload, size);
}

void channel_count(struct peers *peers, enum channel channel, size_t size)
{
	peers->channel_bytes[channel]->value += (int64_t)size;
	peers->channel_messages[channel]->value++;
}

struct transport peers_transport(struct peers *peers)
{
	return (struct transport){.send = transport_send, .ctx = peers};
}

void peers_handler_set(struct peers *peers, enum channel channel,
		       peers_receive_fn fn, void *ctx)
{
	if (channel <= CHANNEL_HELLO || channel >= CHANNEL_MAX)
		return;
	peers->handlers[channel] = (struct handler){.fn = fn, .ctx = ctx};
}

const char *peers_address(const struct peers *peers)
{
	return peers->address;
}

uint32_t peers_links(const struct peers *peers)
{
	GHashTableIter iter;
	void *key;
	uint32_t ready = 0;

	g_hash_table_iter_init(&iter, peers->links);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (((const struct link *)key)->state == LINK_READY)
			ready++;
	}
	return ready;
}

void peers_counters_update(struct peers *peers)
{
	uint64_t all_sent = peers->traffic.segments_sent;
	uint64_t all_received = peers->traffic.segments_received;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, peers->links);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		uint64_t sent;
		uint64_t received;

		link_segments(key, &sent, &received);
		all_sent += sent;
		all_received += received;
	}
	peers->segments_sent->value = (int64_t)all_sent;
	peers->segments_received->value = (int64_t)all_received;
	traffic_count(peers);
}

bool peers_flushed(const struct peers *peers)
{
	GHashTableIter iter;
	void *value;

	if (peers->local.length > 0)
		return false;
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->link &&
		    (peer_pending(peer) || link_writing(peer->link)))
			return false;
	}
	return true;
}

static int64_t default_usec(int64_t value, int64_t fallback)
{
	return value ? value : fallback;
}

static void settings_fill(struct peers_settings *to)
{
	to->connect_usec = default_usec(to->connect_usec, CONNECT_USEC);
	to->idle_usec = default_usec(to->idle_usec, IDLE_USEC);
	to->backoff_usec = default_usec(to->backoff_usec, BACKOFF_USEC);
	to->backoff_max = default_usec(to->backoff_max, BACKOFF_MAX_USEC);
	to->probe_interval_usec =
		default_usec(to->probe_interval_usec, PROBE_INTERVAL_USEC);
	to->probe_timeout_usec =
		default_usec(to->probe_timeout_usec, PROBE_TIMEOUT_USEC);
	if (to->queue_bytes_max == 0)
		to->queue_bytes_max = QUEUE_BYTES_MAX;
	if (to->links_max == 0)
		to->links_max = LINKS_MAX;
}

static void channels_fill(struct peers *peers, struct counter_set *set)
{
	static const char *const labels[CHANNEL_MAX] = {
		[CHANNEL_HELLO] = "channel=\"hello\"",
		[CHANNEL_MEMBER] = "channel=\"member\"",
		[CHANNEL_LEDGER] = "channel=\"ledger\"",
		[CHANNEL_CONFIG] = "channel=\"config\"",
		[CHANNEL_CLAIM] = "channel=\"claim\"",
		[CHANNEL_DIRECTORY] = "channel=\"directory\"",
	};

	for (int i = CHANNEL_HELLO; i < CHANNEL_MAX; i++) {
		peers->channel_bytes[i] =
			counter_get(set, "jt_peer_channel_bytes_total",
				    "Payload to and from peers", labels[i]);
		peers->channel_messages[i] =
			counter_get(set, "jt_peer_channel_messages_total",
				    "Messages to and from peers", labels[i]);
	}
}

static void counters_fill(struct peers *peers, struct counter_set *set)
{
	peers->bytes_sent = counter_get(set, "jt_peer_sent_bytes_total",
					"Bytes written to peers", NULL);
	peers->bytes_received = counter_get(set, "jt_peer_received_bytes_total",
					    "Bytes read from peers", NULL);
	peers->writes = counter_get(set, "jt_peer_writes_total",
				    "Writes to peers", NULL);
	peers->segments_sent =
		counter_get(set, "jt_peer_segments_total",
			    "TCP segments, acknowledgements included",
			    "direction=\"sent\"");
	peers->segments_received =
		counter_get(set, "jt_peer_segments_total",
			    "TCP segments, acknowledgements included",
			    "direction=\"received\"");
	peers->messages_sent = counter_get(set, "jt_peer_sent_messages_total",
					   "Messages for peers", NULL);
	peers->messages_received =
		counter_get(set, "jt_peer_received_messages_total",
			    "Messages from peers", NULL);
	peers->connects = counter_get(set, "jt_peer_connects_total",
				      "Links opened from here", NULL);
	peers->refused = counter_get(set, "jt_peer_refused_total",
				     "Links refused", NULL);
	peers->links_ready =
		gauge_get(set, "jt_peer_links", "Links in use", NULL);
	channels_fill(peers, set);
	for (int i = 0; i < DROP_COUNT; i++)
		peers->dropped[i] = counter_get(
			set, "jt_peer_dropped_total",
			"Messages or queues not delivered", drop_labels[i]);
}

static void self_fill(struct peers *peers)
{
	struct member *self = &peers->self;

	self->id = id_of(peers->settings.name);
	self->incarnation = peers->settings.incarnation;
	g_strlcpy(self->name, peers->settings.name, sizeof(self->name));
	g_strlcpy(self->data_centre, peers->settings.data_centre,
		  sizeof(self->data_centre));
	g_strlcpy(self->peer_address, peers->address,
		  sizeof(self->peer_address));
}

struct peers *peers_create(struct loop *loop, struct counter_set *counters,
			   const struct peers_settings *settings,
			   const struct peers_ops *ops, void *ctx,
			   struct error *err)
{
	char bound[ADDRESS_TEXT_MAX];
	int udp_fd = -1;
	int fd = peer_listen(settings->listen, bound,
			     settings->datagrams ? &udp_fd : NULL, err);

	if (fd < 0)
		return NULL;
	struct peers *peers = g_new0(struct peers, 1);

	peers->loop = loop;
	peers->clock = loop_clock(loop);
	peers->settings = *settings;
	settings_fill(&peers->settings);
	peers->rand = g_rand_new_with_seed(settings->seed);
	peers->ops = *ops;
	peers->ctx = ctx;
	g_strlcpy(peers->address, bound, sizeof(peers->address));
	self_fill(peers);
	counters_fill(peers, counters);
	peers->table = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     peer_free);
	peers->links = g_hash_table_new(NULL, NULL);
	g_queue_init(&peers->local);
	timer_init(&peers->sweep, peers->clock, sweep_fire, peers);
	timer_start(&peers->sweep, peers->settings.idle_usec / 2);
	peers->listener = h2o_evloop_socket_create(loop_h2o(loop), fd,
						   H2O_SOCKET_FLAG_DONT_READ);
	peers->listener->data = peers;
	h2o_socket_read_start(peers->listener, on_accept);
	datagrams_start(peers, counters, udp_fd);
	return peers;
}

void peers_destroy(struct peers *peers)
{
	GHashTableIter iter;
	void *key;

	if (!peers)
		return;
	timer_stop(&peers->sweep);
	loop_defer_cancel(&peers->deliver);
	if (peers->listener)
		h2o_socket_close(peers->listener);
	g_hash_table_iter_init(&iter, peers->links);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		link_close(key);
	g_hash_table_destroy(peers->links);
	g_hash_table_destroy(peers->table);
	datagrams_stop(peers);
	g_queue_clear_full(&peers->local, g_free);
	g_rand_free(peers->rand);
	g_free(peers);
}
