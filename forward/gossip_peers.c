/*
 * gossip_peers.c - the peers: who is known, who lives, who tells whom
 */
#include <string.h>

#include "common/id.h"
#include "common/log.h"
#include "gossip_private.h"

/* For how long a peer that is not heard of stays known. */
#define FORGET_USEC (30 * USEC_PER_SEC)
#define PEERS_MAX 4096u
/* Peers that peers_update() goes through in a tick, on average. */
#define PEERS_PER_TICK 200u
#define UPDATE_MAX_USEC (1 * USEC_PER_SEC)
/* Instances of a data centre that tell one elsewhere: the loss of one of them
 * leaves no gap. */
#define TELLERS 2u

void peer_free(gpointer data)
{
	struct peer *peer = data;

	g_array_unref(peer->loads);
	g_free(peer->summary);
	g_free(peer);
}

struct peer *peer_add(struct gossip *gossip, const char *address)
{
	struct peer *peer;
	struct sockaddr_storage to;
	socklen_t size;

	if (g_hash_table_size(gossip->peers) >= PEERS_MAX ||
	    strcmp(address, gossip->settings.address) == 0 ||
	    !address_parse(address, &to, &size, NULL))
		return NULL;
	peer = g_new0(struct peer, 1);
	g_strlcpy(peer->address, address, sizeof(peer->address));
	peer->key = id_of(address);
	peer->to = to;
	peer->to_size = size;
	peer->met = gossip_now(gossip);
	peer->heard = GOSSIP_NEVER;
	peer->told = GOSSIP_NEVER;
	peer->addresses_sent_at = GOSSIP_NEVER;
	peer->loads = g_array_new(FALSE, FALSE, sizeof(struct applied));
	g_hash_table_insert(gossip->peers, peer->address, peer);
	return peer;
}

void gossip_add_peer(struct gossip *gossip, const char *address,
		     const char *data_centre)
{
	struct peer *peer = NULL;

	if (!g_hash_table_contains(gossip->peers, address))
		peer = peer_add(gossip, address);
	/* Until it tells its group. */
	if (peer && data_centre)
		group_print(peer->group, data_centre, gossip->groups,
			    peer->key);
}

/* The group of a peer that has not told it yet follows the number of groups. */
static void group_guess(const struct gossip *gossip, struct peer *peer)
{
	char data_centre[GOSSIP_GROUP_MAX];

	if (peer->heard != GOSSIP_NEVER || !peer->group[0])
		return;
	g_strlcpy(data_centre, peer->group, sizeof(data_centre));
	data_centre[strcspn(data_centre, "/")] = '\0';
	group_print(peer->group, data_centre, gossip->groups, peer->key);
}

bool peer_is_local(const struct gossip *gossip, const struct peer *peer)
{
	return strcmp(peer->group, gossip->group) == 0;
}

bool peer_live(const struct gossip *gossip, const struct peer *peer)
{
	int64_t stale = peer_is_local(gossip, peer)
				? GOSSIP_STALE_USEC
				: gossip_members_stale(gossip);

	return peer->heard != GOSSIP_NEVER && !peer->leaving &&
	       gossip_now(gossip) - peer->heard < stale;
}

const struct gossip_summary *peer_summary(const struct peer *peer)
{
	static const struct gossip_summary none;

	return peer->summary ? peer->summary : &none;
}

void peer_heard(struct gossip *gossip, struct peer *peer, const char *group)
{
	g_strlcpy(peer->group, group, sizeof(peer->group));
	peer->heard = gossip_now(gossip);
}

/* ---- data centres ---- */

void centre_free(gpointer data)
{
	struct centre *centre = data;

	g_array_unref(centre->loads);
	g_ptr_array_unref(centre->peers);
	g_free(centre);
}

struct centre *centre_get(struct gossip *gossip, const char *name)
{
	struct centre *centre = g_hash_table_lookup(gossip->centres, name);

	if (centre)
		return centre;
	centre = g_new0(struct centre, 1);
	g_strlcpy(centre->name, name, sizeof(centre->name));
	centre->heard = GOSSIP_NEVER;
	centre->loads = g_array_new(FALSE, FALSE, sizeof(struct applied));
	centre->peers = g_ptr_array_new();
	g_hash_table_insert(gossip->centres, centre->name, centre);
	return centre;
}

bool centre_live(const struct gossip *gossip, const struct centre *centre)
{
	return centre->heard != GOSSIP_NEVER && !centre->left &&
	       gossip_now(gossip) - centre->heard < gossip_stale(gossip);
}

static void centres_expire(struct gossip *gossip)
{
	struct centre *centre;
	GHashTableIter iter;
	uint32_t live = 0;

	g_hash_table_iter_init(&iter, gossip->centres);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&centre)) {
		bool is_live = centre_live(gossip, centre);

		g_ptr_array_set_size(centre->peers, 0);
		live += is_live;
		if (is_live || centre->loads->len == 0)
			continue;
		log_event(LOG_NOTICE, "data_centre_silent",
			  LOG_S("data_centre", centre->name));
		loads_take_off(gossip, centre->loads);
	}
	gossip->centres_live = live;
}

/* ---- peers in order ---- */

/* While a whole data centre is silent its instances stay known, so that they
 * are told again once it is back. */
static bool is_cut_off(const struct gossip *gossip, const struct peer *peer)
{
	const struct centre *centre;
	GHashTableIter iter;

	if (!peer->group[0] || group_beside(peer->group, gossip->group))
		return false;
	g_hash_table_iter_init(&iter, gossip->centres);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&centre))
		if (group_beside(centre->name, peer->group) &&
		    centre_live(gossip, centre))
			return false;
	return true;
}

static gboolean peer_expire(gpointer key, gpointer value, gpointer data)
{
	struct gossip *gossip = data;
	struct peer *peer = value;
	int64_t now = gossip_now(gossip);

	if (peer->loads->len > 0 && now - peer->heard >= GOSSIP_STALE_USEC) {
		log_event(LOG_INFO, "peer_silent", LOG_S("peer", peer->name));
		loads_take_off(gossip, peer->loads);
	}
	if (now - MAX(peer->heard, peer->met) < FORGET_USEC ||
	    is_cut_off(gossip, peer))
		return FALSE;
	loads_take_off(gossip, peer->loads);
	return TRUE;
}

static void peers_sort(struct gossip *gossip)
{
	GHashTableIter iter;
	struct peer *peer;

	g_ptr_array_set_size(gossip->local, 0);
	g_ptr_array_set_size(gossip->remote, 0);
	gossip->live = 0;
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		bool live = peer_live(gossip, peer);

		gossip->live += live;
		group_guess(gossip, peer);
		if (!peer->group[0])
			continue;
		if (peer_is_local(gossip, peer)) {
			g_ptr_array_add(gossip->local, peer);
			continue;
		}
		g_ptr_array_add(gossip->remote, peer);
		/* Its own group tells of it now. */
		loads_take_off(gossip, peer->loads);
		g_free(peer->summary);
		peer->summary = NULL;
		if (live)
			g_ptr_array_add(centre_get(gossip, peer->group)->peers,
					peer);
	}
}

/* Whether this instance is one of its data centre's tellers of the peer: all
 * who live there rank themselves alike, by hashes of the two addresses. */
static bool is_teller(const struct gossip *gossip, const struct peer *to)
{
	uint64_t own = id_mix(to->key, gossip->key);
	uint32_t before = 0;

	for (guint i = 0; i < gossip->local->len && before < TELLERS; i++) {
		const struct peer *peer = gossip->local->pdata[i];

		before += peer_live(gossip, peer) &&
			  id_mix(to->key, peer->key) > own;
	}
	return before < TELLERS;
}

/* Changes when an instance comes or goes. */
static uint64_t keys_sum(const struct gossip *gossip)
{
	uint64_t sum = gossip->remote->len + 1;

	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];

		sum += peer_live(gossip, peer) ? peer->key : 0;
	}
	for (guint i = 0; i < gossip->remote->len; i++)
		sum += ((const struct peer *)gossip->remote->pdata[i])->key;
	return sum;
}

static void receivers_choose(struct gossip *gossip)
{
	uint64_t sum = keys_sum(gossip);

	if (sum == gossip->receivers_of)
		return;
	gossip->receivers_of = sum;
	g_ptr_array_set_size(gossip->receivers, 0);
	for (guint i = 0; i < gossip->remote->len; i++)
		if (is_teller(gossip, gossip->remote->pdata[i]))
			g_ptr_array_add(gossip->receivers,
					gossip->remote->pdata[i]);
}

void peers_update(struct gossip *gossip)
{
	int64_t every = GOSSIP_USEC *
			(g_hash_table_size(gossip->peers) / PEERS_PER_TICK);
	int64_t now = gossip_now(gossip);

	if (now - gossip->updated < MIN(every, UPDATE_MAX_USEC))
		return;
	gossip->updated = now;
	centres_expire(gossip);
	g_hash_table_foreach_remove(gossip->peers, peer_expire, gossip);
	groups_update(gossip);
	peers_sort(gossip);
	receivers_choose(gossip);
	gossip->rank = gossip_rank_find(gossip);
}

void gossip_listed(struct gossip *gossip)
{
	gossip->updated = GOSSIP_NEVER / 2;
	peers_update(gossip);
}
