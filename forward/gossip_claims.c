/*
 * gossip_claims.c - claims of decode memory, to and from all live instances
 */
#include "gossip_private.h"

uint32_t gossip_claim_send(struct gossip *gossip,
			   const struct room_claim *claim)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	uint64_t before = gossip->traffic.sent;
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_ROOM_CLAIM);
	message.claim = *claim;
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	peers_send(gossip, gossip->local, out);
	peers_send(gossip, gossip->remote, out);
	return (uint32_t)(gossip->traffic.sent - before);
}

void gossip_claim_receive(struct gossip *gossip, const struct peer *peer,
			  const struct room_claim *claim)
{
	if (gossip->ops.claim_received)
		gossip->ops.claim_received(gossip->ctx, peer->key, claim);
}
