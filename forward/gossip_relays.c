/*
 * gossip_relays.c - the choice of an instance that connects on behalf of this
 * one
 */
#include "gossip_private.h"

/* One of the suitable peers seen so far, each with the same probability. */
struct relay_choice {
	bool (*usable)(void *ctx, const char *address);
	void *ctx;
	GRand *rand;
	bool links_lost; /* allowed */
	const struct peer *peer;
	gint32 seen;
};

static void peer_consider(const struct gossip *gossip,
			  struct relay_choice *choice, const struct peer *peer)
{
	if (!peer_live(gossip, peer) ||
	    (peer_summary(peer)->links_lost && !choice->links_lost) ||
	    !choice->usable(choice->ctx, peer->address))
		return;
	if (g_rand_int_range(choice->rand, 0, ++choice->seen) == 0)
		choice->peer = peer;
}

static void peers_consider(const struct gossip *gossip,
			   struct relay_choice *choice, const GPtrArray *peers)
{
	for (guint i = 0; i < peers->len; i++)
		peer_consider(gossip, choice, peers->pdata[i]);
}

static void centre_consider(const struct gossip *gossip,
			    struct relay_choice *choice,
			    const char *data_centre)
{
	const struct group_state *group;
	GHashTableIter iter;

	if (group_within(gossip->group, data_centre))
		peers_consider(gossip, choice, gossip->local);
	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group))
		if (group_within(group->name, data_centre))
			peers_consider(gossip, choice, group->peers);
}

bool gossip_choose_relay(const struct gossip *gossip, const char *data_centre,
			 bool (*usable)(void *ctx, const char *address),
			 void *ctx, GRand *rand, char address[ADDRESS_TEXT_MAX])
{
	struct relay_choice choice = {
		.usable = usable, .ctx = ctx, .rand = rand};

	centre_consider(gossip, &choice, data_centre);
	if (!choice.peer)
		peers_consider(gossip, &choice, gossip->local);
	if (!choice.peer)
		peers_consider(gossip, &choice, gossip->remote);
	choice.links_lost = true;
	if (!choice.peer)
		peers_consider(gossip, &choice, gossip->local);
	if (!choice.peer)
		return false;
	g_strlcpy(address, choice.peer->address, ADDRESS_TEXT_MAX);
	return true;
}
