/*
 * gossip_peers.c - the peers: who is known, who lives, who tells whom
 */
#include <string.h>

#include "common/id.h"
#include "common/log.h"
#include "gossip_private.h"

/* For how long a peer that is not heard of stays known. */
#define FORGET_USEC (30 * USEC_PER_SEC)
#define PEERS_MAX 2048u
/* Instances of a data centre that tell one elsewhere: the loss of one of them
 * leaves no gap. */
#define TELLERS 2u

void peer_free(gpointer data)
{
	struct peer *peer = data;

	g_array_unref(peer->loads);
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
	peer->told_addresses = GOSSIP_NEVER;
	peer->loads = g_array_new(FALSE, FALSE, sizeof(struct applied));
	g_hash_table_insert(gossip->peers, peer->address, peer);
	return peer;
}

void gossip_meet(struct gossip *gossip, const char *address)
{
	if (!g_hash_table_contains(gossip->peers, address))
		peer_add(gossip, address);
}

bool peer_near(const struct gossip *gossip, const struct peer *peer)
{
	return strcmp(peer->data_centre, gossip->settings.data_centre) == 0;
}

bool peer_live(const struct gossip *gossip, const struct peer *peer)
{
	return peer->heard != GOSSIP_NEVER && !peer->word.leaving &&
	       gossip_now(gossip) - peer->heard < GOSSIP_STALE_USEC;
}

void peer_heard(struct gossip *gossip, struct peer *peer,
		const char *data_centre)
{
	g_strlcpy(peer->data_centre, data_centre, sizeof(peer->data_centre));
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
	       gossip_now(gossip) - centre->heard < GOSSIP_STALE_USEC;
}

static void centres_expire(struct gossip *gossip)
{
	struct centre *centre;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, gossip->centres);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&centre)) {
		g_ptr_array_set_size(centre->peers, 0);
		if (centre_live(gossip, centre) || centre->loads->len == 0)
			continue;
		log_event(LOG_NOTICE, "data_centre_silent",
			  LOG_S("data_centre", centre->name));
		loads_take_off(gossip, centre->loads);
	}
}

/* ---- peers in order ---- */

/* While a whole data centre is silent its instances stay known, so that they
 * are told again once it is back. */
static bool is_cut_off(struct gossip *gossip, const struct peer *peer)
{
	return peer->data_centre[0] && !peer_near(gossip, peer) &&
	       !centre_live(gossip, centre_get(gossip, peer->data_centre));
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

	g_ptr_array_set_size(gossip->near, 0);
	g_ptr_array_set_size(gossip->far, 0);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (!peer->data_centre[0])
			continue;
		if (peer_near(gossip, peer)) {
			g_ptr_array_add(gossip->near, peer);
			continue;
		}
		g_ptr_array_add(gossip->far, peer);
		if (peer_live(gossip, peer))
			g_ptr_array_add(
				centre_get(gossip, peer->data_centre)->peers,
				peer);
	}
}

/* Whether this instance is one of its data centre's tellers of the peer: all
 * who live there rank themselves alike, by hashes of the two addresses. */
static bool is_teller(const struct gossip *gossip, const struct peer *to)
{
	uint64_t own = id_mix(to->key, gossip->key);
	uint32_t before = 0;

	for (guint i = 0; i < gossip->near->len && before < TELLERS; i++) {
		const struct peer *peer = gossip->near->pdata[i];

		before += peer_live(gossip, peer) &&
			  id_mix(to->key, peer->key) > own;
	}
	return before < TELLERS;
}

/* Changes when an instance comes or goes. */
static uint64_t keys_sum(const struct gossip *gossip)
{
	uint64_t sum = gossip->far->len + 1;

	for (guint i = 0; i < gossip->near->len; i++) {
		const struct peer *peer = gossip->near->pdata[i];

		sum += peer_live(gossip, peer) ? peer->key : 0;
	}
	for (guint i = 0; i < gossip->far->len; i++)
		sum += ((const struct peer *)gossip->far->pdata[i])->key;
	return sum;
}

static void receivers_choose(struct gossip *gossip)
{
	uint64_t sum = keys_sum(gossip);

	if (sum == gossip->receivers_of)
		return;
	gossip->receivers_of = sum;
	g_ptr_array_set_size(gossip->receivers, 0);
	for (guint i = 0; i < gossip->far->len; i++)
		if (is_teller(gossip, gossip->far->pdata[i]))
			g_ptr_array_add(gossip->receivers,
					gossip->far->pdata[i]);
}

void peers_update(struct gossip *gossip)
{
	centres_expire(gossip);
	g_hash_table_foreach_remove(gossip->peers, peer_expire, gossip);
	peers_sort(gossip);
	receivers_choose(gossip);
}
