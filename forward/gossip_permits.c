/*
 * gossip_permits.c - backpressure facts in messages, the home of a server, and
 * permit requests to it
 */
#include "common/id.h"
#include "gossip_private.h"

void gossip_facts_add(struct gossip *gossip, GArray *facts)
{
	struct backpressure_fact entries[GOSSIP_FACTS_MAX];
	uint32_t count;

	if (!gossip->ops.facts)
		return;
	count = gossip->ops.facts(gossip->ctx, entries, GOSSIP_FACTS_MAX);
	g_array_append_vals(facts, entries, count);
}

void gossip_facts_receive(struct gossip *gossip, const GArray *facts)
{
	for (guint i = 0; gossip->ops.fact_received && i < facts->len; i++)
		gossip->ops.fact_received(
			gossip->ctx,
			&g_array_index(facts, struct backpressure_fact, i));
}

/* ---- the home of a server ---- */

/* The candidate with the highest hash so far. */
struct home {
	uint64_t server;
	uint64_t hash;
	const struct peer *peer; /* NULL: this instance */
	bool found;
};

static void home_consider(struct home *home, uint64_t key,
			  const struct peer *peer)
{
	uint64_t value = id_mix(home->server, key);

	if (home->found && value <= home->hash)
		return;
	home->hash = value;
	home->peer = peer;
	home->found = true;
}

static void home_consider_peers(const struct gossip *gossip, struct home *home,
				const GPtrArray *peers)
{
	for (guint i = 0; i < peers->len; i++) {
		const struct peer *peer = peers->pdata[i];

		if (peer_live(gossip, peer))
			home_consider(home, peer->key, peer);
	}
}

static struct home home_find(const struct gossip *gossip, uint64_t server,
			     const char *data_centre, bool eligible)
{
	bool here = group_within(gossip->group, data_centre);
	struct home home = {.server = server};
	const struct group_state *group;
	GHashTableIter iter;

	if (here && eligible)
		home_consider(&home, gossip->key, NULL);
	if (here)
		home_consider_peers(gossip, &home, gossip->local);
	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group))
		if (group_within(group->name, data_centre))
			home_consider_peers(gossip, &home, group->peers);
	if (home.found)
		return home;
	if (eligible)
		home_consider(&home, gossip->key, NULL);
	home_consider_peers(gossip, &home, gossip->local);
	home_consider_peers(gossip, &home, gossip->remote);
	return home;
}

bool gossip_is_home(const struct gossip *gossip, uint64_t server,
		    const char *data_centre, bool eligible)
{
	return !home_find(gossip, server, data_centre, eligible).peer;
}

/* ---- permits ---- */

void message_send(struct gossip *gossip, struct gossip_message *message,
		  const struct peer *peer)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	gossip_encode(message, out);
	peer_send(gossip, peer, out);
	gossip_message_clear(message);
}

bool gossip_request_permit(struct gossip *gossip,
			   const struct permit_request *request,
			   const char *data_centre, bool eligible)
{
	struct home home =
		home_find(gossip, request->fact.server, data_centre, eligible);
	struct gossip_message message;

	if (!home.peer)
		return false;
	message_begin(gossip, &message, GOSSIP_PERMIT_REQUEST);
	message.request = *request;
	message_send(gossip, &message, home.peer);
	return true;
}

static void permit_request_answer(struct gossip *gossip,
				  const struct peer *peer,
				  const struct permit_request *request)
{
	struct gossip_message message;

	if (!gossip->ops.permit_requested)
		return;
	message_begin(gossip, &message, GOSSIP_PERMIT_ANSWER);
	message.answer.id = request->id;
	message.answer.server = request->fact.server;
	gossip->ops.permit_requested(gossip->ctx, request, &message.answer);
	message_send(gossip, &message, peer);
}

void gossip_permit_receive(struct gossip *gossip, const struct peer *peer,
			   const struct gossip_message *message)
{
	if (message->kind == GOSSIP_PERMIT_REQUEST)
		permit_request_answer(gossip, peer, &message->request);
	else if (gossip->ops.permit_answered)
		gossip->ops.permit_answered(gossip->ctx, &message->answer);
}
