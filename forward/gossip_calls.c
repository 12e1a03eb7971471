/*
 * gossip_calls.c - the dispatcher of a plain service, and the messages between
 * it and other instances
 */
#include "common/id.h"
#include "gossip_private.h"

/* The candidate with the highest hash so far. */
struct highest {
	uint64_t service;
	uint64_t hash;
	uint64_t key; /* 0: this instance */
	bool found;
};

static void highest_offer(struct highest *highest, uint64_t hash, uint64_t key)
{
	if (highest->found && hash <= highest->hash)
		return;
	highest->hash = hash;
	highest->key = key;
	highest->found = true;
}

static void highest_offer_peers(const struct gossip *gossip,
				struct highest *highest, const GPtrArray *peers)
{
	for (guint i = 0; i < peers->len; i++) {
		const struct peer *peer = peers->pdata[i];

		if (peer_live(gossip, peer))
			highest_offer(highest,
				      id_mix(highest->service, peer->key),
				      peer->key);
	}
}

uint64_t gossip_dispatcher(const struct gossip *gossip, uint64_t service,
			   bool eligible)
{
	struct highest highest = {.service = service};

	if (eligible)
		highest_offer(&highest, id_mix(service, gossip->key), 0);
	highest_offer_peers(gossip, &highest, gossip->local);
	highest_offer_peers(gossip, &highest, gossip->remote);
	return highest.key;
}

static const struct peer *peer_find(const struct gossip *gossip, uint64_t key)
{
	const struct peer *peer;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		if (peer->key == key)
			return peer;
	return NULL;
}

bool gossip_call_request(struct gossip *gossip, uint64_t key,
			 const struct call_request *request)
{
	const struct peer *peer = peer_find(gossip, key);
	struct gossip_message message;

	if (!peer)
		return false;
	message_begin(gossip, &message, GOSSIP_CALL_REQUEST);
	message.call_request = *request;
	message_send(gossip, &message, peer);
	return true;
}

bool gossip_call_answer(struct gossip *gossip, uint64_t key,
			const struct call_answer *answer)
{
	const struct peer *peer = peer_find(gossip, key);
	struct gossip_message message;

	if (!peer)
		return false;
	message_begin(gossip, &message, GOSSIP_CALL_ANSWER);
	message.call_answer = *answer;
	message_send(gossip, &message, peer);
	return true;
}

bool gossip_call_done(struct gossip *gossip, uint64_t key,
		      const struct call_done *done)
{
	const struct peer *peer = peer_find(gossip, key);
	struct gossip_message message;

	if (!peer)
		return false;
	message_begin(gossip, &message, GOSSIP_CALL_DONE);
	message.call_done = *done;
	message_send(gossip, &message, peer);
	return true;
}

static void request_answer(struct gossip *gossip, const struct peer *peer,
			   const struct call_request *request)
{
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_CALL_ANSWER);
	message.call_answer.id = request->call.id;
	message.call_answer.service = request->service;
	message.call_answer.result = CALL_NOT_DISPATCHER;
	gossip->ops.call_requested(gossip->ctx, peer->key, request,
				   &message.call_answer);
	message_send(gossip, &message, peer);
}

void gossip_call_receive(struct gossip *gossip, const struct peer *peer,
			 const struct gossip_message *message)
{
	if (!gossip->ops.call_requested)
		return;
	if (message->kind == GOSSIP_CALL_REQUEST)
		request_answer(gossip, peer, &message->call_request);
	else if (message->kind == GOSSIP_CALL_ANSWER)
		gossip->ops.call_answered(gossip->ctx, peer->key,
					  &message->call_answer);
	else
		gossip->ops.call_ended(gossip->ctx, peer->key,
				       &message->call_done);
}
