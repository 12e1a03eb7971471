/*
 * gossip_usage.c - exchange of the usage of allotments
 */
#include "common/id.h"
#include "gossip_private.h"

void gossip_usage_add(struct gossip *gossip, bool sums, GArray *usage)
{
	struct limit_entry entries[GOSSIP_USAGE_MAX];
	uint32_t count;

	if (!gossip->ops.usage)
		return;
	count = gossip->ops.usage(gossip->ctx, sums, entries, GOSSIP_USAGE_MAX);
	g_array_append_vals(usage, entries, count);
}

static void usage_send(struct gossip *gossip, bool sums, const GPtrArray *peers)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_USAGE);
	gossip_usage_add(gossip, sums, message.usage);
	gossip_encode(&message, out);
	if (message.usage->len > 0)
		peers_send(gossip, peers, out);
	gossip_message_clear(&message);
}

static void on_usage_timer(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;

	gossip->usage_sent = gossip_now(gossip);
	usage_send(gossip, false, gossip->local);
	usage_send(gossip, true, gossip->receivers);
	gossip->ops.usage_sent(gossip->ctx);
}

void gossip_usage_changed(struct gossip *gossip)
{
	int64_t since = gossip_now(gossip) - gossip->usage_sent;

	if (!timer_running(&gossip->usage_timer))
		timer_start(&gossip->usage_timer,
			    MAX(GOSSIP_USAGE_INTERVAL_USEC - since, 0));
}

void gossip_usage_receive(struct gossip *gossip, const struct peer *peer,
			  const GArray *usage)
{
	const struct limit_source source = {
		.id = peer->key,
		.group = peer_is_local(gossip, peer) ? 0 : id_of(peer->group),
	};

	for (guint i = 0; gossip->ops.usage_received && i < usage->len; i++)
		gossip->ops.usage_received(
			gossip->ctx, &source,
			&g_array_index(usage, struct limit_entry, i));
}

void gossip_usage_start(struct gossip *gossip)
{
	timer_init(&gossip->usage_timer, gossip->clock, on_usage_timer, gossip);
	gossip->usage_sent = gossip_now(gossip) - GOSSIP_USAGE_INTERVAL_USEC;
}

void gossip_usage_stop(struct gossip *gossip)
{
	timer_stop(&gossip->usage_timer);
}
