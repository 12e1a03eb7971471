/*
 * gossip_uses.c - what is used of allotments, told to all
 */
#include "common/id.h"
#include "gossip_private.h"

void gossip_uses_add(struct gossip *gossip, bool sums, GArray *uses)
{
	struct limit_entry entries[GOSSIP_USES_MAX];
	uint32_t count;

	if (!gossip->ops.uses)
		return;
	count = gossip->ops.uses(gossip->ctx, sums, entries, GOSSIP_USES_MAX);
	g_array_append_vals(uses, entries, count);
}

static void uses_send(struct gossip *gossip, bool sums, const GPtrArray *peers)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_USES);
	gossip_uses_add(gossip, sums, message.uses);
	gossip_encode(&message, out);
	if (message.uses->len > 0)
		peers_send(gossip, peers, out);
	gossip_message_clear(&message);
}

static void on_soon(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;

	gossip->uses_told = gossip_now(gossip);
	uses_send(gossip, false, gossip->near);
	uses_send(gossip, true, gossip->receivers);
	gossip->ops.uses_told(gossip->ctx);
}

void gossip_uses_changed(struct gossip *gossip)
{
	int64_t since = gossip_now(gossip) - gossip->uses_told;

	if (!timer_running(&gossip->uses_soon))
		timer_start(&gossip->uses_soon,
			    MAX(GOSSIP_USES_USEC - since, 0));
}

void gossip_uses_hear(struct gossip *gossip, const struct peer *peer,
		      const GArray *uses)
{
	const struct limit_source source = {
		.id = peer->key,
		.group = peer_near(gossip, peer) ? 0 : id_of(peer->group),
	};

	for (guint i = 0; gossip->ops.use_heard && i < uses->len; i++)
		gossip->ops.use_heard(
			gossip->ctx, &source,
			&g_array_index(uses, struct limit_entry, i));
}

void gossip_uses_start(struct gossip *gossip)
{
	timer_init(&gossip->uses_soon, gossip->clock, on_soon, gossip);
	gossip->uses_told = gossip_now(gossip) - GOSSIP_USES_USEC;
}

void gossip_uses_stop(struct gossip *gossip)
{
	timer_stop(&gossip->uses_soon);
}
