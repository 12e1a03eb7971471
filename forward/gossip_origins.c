/*
 * gossip_origins.c - records of the versions that began streams, to and from
 * the homes of the streams
 */
#include "gossip_private.h"

/* The homes of a stream; a NULL instance is this one. */
struct homes {
	struct origin_homes near; /* of this data centre */
	struct origin_homes all;
};

static void homes_offer(const struct gossip *gossip, struct origin_homes *homes,
			const GPtrArray *peers)
{
	for (guint i = 0; i < peers->len; i++) {
		const struct peer *peer = peers->pdata[i];

		if (peer_live(gossip, peer))
			origin_homes_offer(homes, peer->key, peer);
	}
}

static void homes_find(const struct gossip *gossip, uint64_t stream,
		       struct homes *homes)
{
	const char *data_centre = gossip->settings.data_centre;
	const struct group_state *group;
	GHashTableIter iter;

	*homes = (struct homes){.near.stream = stream, .all.stream = stream};
	origin_homes_offer(&homes->near, gossip->key, NULL);
	homes_offer(gossip, &homes->near, gossip->local);
	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group))
		if (group_within(group->name, data_centre))
			homes_offer(gossip, &homes->near, group->peers);
	origin_homes_offer(&homes->all, gossip->key, NULL);
	homes_offer(gossip, &homes->all, gossip->local);
	homes_offer(gossip, &homes->all, gossip->remote);
}

static bool homes_has(const struct origin_homes *homes, const void *instance)
{
	for (uint32_t i = 0; i < homes->count; i++)
		if (homes->instances[i] == instance)
			return true;
	return false;
}

/* Sends to all homes but this instance; returns their number. */
static uint32_t homes_send(struct gossip *gossip, uint64_t stream,
			   const struct gossip_message *message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct homes homes;
	uint32_t sent = 0;

	gossip_encode(message, out);
	homes_find(gossip, stream, &homes);
	for (uint32_t i = 0; i < homes.near.count; i++) {
		if (!homes.near.instances[i])
			continue;
		peer_send(gossip, homes.near.instances[i], out);
		sent++;
	}
	for (uint32_t i = 0; i < homes.all.count; i++) {
		if (!homes.all.instances[i] ||
		    homes_has(&homes.near, homes.all.instances[i]))
			continue;
		peer_send(gossip, homes.all.instances[i], out);
		sent++;
	}
	return sent;
}

void gossip_origin_send(struct gossip *gossip,
			const struct gossip_origin *origin)
{
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_ORIGIN);
	message.origin = *origin;
	(void)homes_send(gossip, origin->stream, &message);
	gossip_message_clear(&message);
}

uint32_t gossip_origin_ask(struct gossip *gossip,
			   const struct origin_query *query)
{
	struct gossip_message message;
	uint32_t asked;

	message_begin(gossip, &message, GOSSIP_ORIGIN_QUERY);
	message.origin_query = *query;
	asked = homes_send(gossip, query->stream, &message);
	gossip_message_clear(&message);
	return asked;
}

static void query_answer(struct gossip *gossip, const struct peer *peer,
			 const struct origin_query *query)
{
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_ORIGIN_ANSWER);
	message.origin_query = *query;
	gossip->ops.origin_queried(gossip->ctx, query, &message.origin_answer);
	message_send(gossip, &message, peer);
}

void gossip_origin_receive(struct gossip *gossip, const struct peer *peer,
			   const struct gossip_message *message)
{
	if (!gossip->ops.origin_received)
		return;
	if (message->kind == GOSSIP_ORIGIN)
		gossip->ops.origin_received(gossip->ctx, &message->origin);
	else if (message->kind == GOSSIP_ORIGIN_QUERY)
		query_answer(gossip, peer, &message->origin_query);
	else
		gossip->ops.origin_answered(gossip->ctx, &message->origin_query,
					    &message->origin_answer);
}
