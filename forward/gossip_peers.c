/*
 * gossip_peers.c - the known peers and groups, their expiry, and the choice of
 * receivers
 */
#include <string.h>

#include "common/id.h"
#include "common/log.h"
#include "gossip_private.h"

/* A silent peer is forgotten after this time. */
#define PEER_FORGET_USEC (30 * USEC_PER_SEC)
#define PEERS_MAX 4096u
/* Peers that peers_update() examines per interval, on average. */
#define PEERS_PER_TICK 200u
#define UPDATE_MAX_USEC (1 * USEC_PER_SEC)
/* Instances of a group that send to one remote peer, so that the loss of one
 * sender leaves no gap. */
#define SENDERS_PER_GROUP 2u

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
	peer->added_at = gossip_now(gossip);
	peer->last_seen = GOSSIP_NEVER;
	peer->sent_at = GOSSIP_NEVER;
	peer->addresses_sent_at = GOSSIP_NEVER;
	peer->loads = g_array_new(FALSE, FALSE, sizeof(struct applied_load));
	g_hash_table_insert(gossip->peers, peer->address, peer);
	return peer;
}

void gossip_add_peer(struct gossip *gossip, const char *address,
		     const char *data_centre)
{
	struct peer *peer = NULL;

	if (!g_hash_table_contains(gossip->peers, address))
		peer = peer_add(gossip, address);
	/* Valid until the peer announces its group. */
	if (peer && data_centre)
		group_print(peer->group, data_centre, gossip->group_count,
			    peer->key);
}

/* Recomputes the group of a peer that has not announced it, from the current
 * number of groups. */
static void group_derive(const struct gossip *gossip, struct peer *peer)
{
	char data_centre[GOSSIP_GROUP_MAX];

	if (peer->last_seen != GOSSIP_NEVER || !peer->group[0])
		return;
	g_strlcpy(data_centre, peer->group, sizeof(data_centre));
	data_centre[strcspn(data_centre, "/")] = '\0';
	group_print(peer->group, data_centre, gossip->group_count, peer->key);
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

	return peer->last_seen != GOSSIP_NEVER && !peer->leaving &&
	       gossip_now(gossip) - peer->last_seen < stale;
}

const struct gossip_summary *peer_summary(const struct peer *peer)
{
	static const struct gossip_summary none;

	return peer->summary ? peer->summary : &none;
}

void peer_seen(struct gossip *gossip, struct peer *peer, const char *group)
{
	g_strlcpy(peer->group, group, sizeof(peer->group));
	peer->last_seen = gossip_now(gossip);
}

/* ---- groups ---- */

void group_state_free(gpointer data)
{
	struct group_state *group = data;

	g_array_unref(group->loads);
	g_ptr_array_unref(group->peers);
	g_free(group);
}

struct group_state *group_state_get(struct gossip *gossip, const char *name)
{
	struct group_state *group =
		g_hash_table_lookup(gossip->other_groups, name);

	if (group)
		return group;
	group = g_new0(struct group_state, 1);
	g_strlcpy(group->name, name, sizeof(group->name));
	group->last_seen = GOSSIP_NEVER;
	group->loads = g_array_new(FALSE, FALSE, sizeof(struct applied_load));
	group->peers = g_ptr_array_new();
	g_hash_table_insert(gossip->other_groups, group->name, group);
	return group;
}

bool group_state_live(const struct gossip *gossip,
		      const struct group_state *group)
{
	return group->last_seen != GOSSIP_NEVER && !group->left &&
	       gossip_now(gossip) - group->last_seen < gossip_stale(gossip);
}

static void groups_expire(struct gossip *gossip)
{
	struct group_state *group;
	GHashTableIter iter;
	uint32_t live = 0;

	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group)) {
		bool is_live = group_state_live(gossip, group);

		g_ptr_array_set_size(group->peers, 0);
		live += is_live;
		if (is_live || group->loads->len == 0)
			continue;
		log_event(LOG_NOTICE, "data_centre_silent",
			  LOG_S("data_centre", group->name));
		loads_remove(gossip, group->loads);
	}
	gossip->live_group_count = live;
}

/* ---- expiry and order of peers ---- */

/* Whether the whole data centre of the peer is silent. Its instances then stay
 * known, so that they are sent to again after the partition. */
static bool is_partitioned(const struct gossip *gossip, const struct peer *peer)
{
	const struct group_state *group;
	GHashTableIter iter;

	if (!peer->group[0] ||
	    group_same_data_centre(peer->group, gossip->group))
		return false;
	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group))
		if (group_same_data_centre(group->name, peer->group) &&
		    group_state_live(gossip, group))
			return false;
	return true;
}

static gboolean peer_expire(gpointer key, gpointer value, gpointer data)
{
	struct gossip *gossip = data;
	struct peer *peer = value;
	int64_t now = gossip_now(gossip);

	if (peer->loads->len > 0 &&
	    now - peer->last_seen >= GOSSIP_STALE_USEC) {
		log_event(LOG_INFO, "peer_silent", LOG_S("peer", peer->name));
		loads_remove(gossip, peer->loads);
	}
	if (now - MAX(peer->last_seen, peer->added_at) < PEER_FORGET_USEC ||
	    is_partitioned(gossip, peer))
		return FALSE;
	loads_remove(gossip, peer->loads);
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
		group_derive(gossip, peer);
		if (!peer->group[0])
			continue;
		if (peer_is_local(gossip, peer)) {
			g_ptr_array_add(gossip->local, peer);
			continue;
		}
		g_ptr_array_add(gossip->remote, peer);
		/* Its load is now part of the summary of its own group. */
		loads_remove(gossip, peer->loads);
		g_free(peer->summary);
		peer->summary = NULL;
		if (live)
			g_ptr_array_add(
				group_state_get(gossip, peer->group)->peers,
				peer);
	}
}

/* Whether this instance sends to the peer for its group. All instances of the
 * group compute the same rank, by rendezvous hashing of the two addresses. */
static bool is_sender(const struct gossip *gossip, const struct peer *to)
{
	uint64_t own = id_mix(to->key, gossip->key);
	uint32_t before = 0;

	for (guint i = 0; i < gossip->local->len && before < SENDERS_PER_GROUP;
	     i++) {
		const struct peer *peer = gossip->local->pdata[i];

		before += peer_live(gossip, peer) &&
			  id_mix(to->key, peer->key) > own;
	}
	return before < SENDERS_PER_GROUP;
}

/* Changes when an instance joins or leaves. */
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

	if (sum == gossip->receivers_sum)
		return;
	gossip->receivers_sum = sum;
	g_ptr_array_set_size(gossip->receivers, 0);
	for (guint i = 0; i < gossip->remote->len; i++)
		if (is_sender(gossip, gossip->remote->pdata[i]))
			g_ptr_array_add(gossip->receivers,
					gossip->remote->pdata[i]);
}

void peers_update(struct gossip *gossip)
{
	int64_t interval = GOSSIP_INTERVAL_USEC *
			   (g_hash_table_size(gossip->peers) / PEERS_PER_TICK);
	int64_t now = gossip_now(gossip);

	if (now - gossip->updated_at < MIN(interval, UPDATE_MAX_USEC))
		return;
	gossip->updated_at = now;
	groups_expire(gossip);
	g_hash_table_foreach_remove(gossip->peers, peer_expire, gossip);
	groups_update(gossip);
	peers_sort(gossip);
	receivers_choose(gossip);
	gossip->rank = gossip_rank_find(gossip);
}

void gossip_refresh_peers(struct gossip *gossip)
{
	gossip->updated_at = GOSSIP_NEVER / 2;
	peers_update(gossip);
}
