/*
 * gossip_view.c - what is known of the peers
 */
#include <string.h>

#include "gossip_private.h"

/* Peers that are told at the base interval; more are told more seldom. Those of
 * the same data centre share its servers and copies, and bytes to them cost
 * nothing. */
#define FULL_RATE_NEAR 16u
#define FULL_RATE_FAR 8u
/* Slowest telling, well before what was told is taken for stale. */
#define SLOWEST_USEC (1 * USEC_PER_SEC)

int64_t gossip_now(const struct gossip *gossip)
{
	return clock_now(gossip->clock);
}

bool gossip_peer_live(const struct gossip *gossip, const struct peer *peer)
{
	return peer->heard >= 0 && !peer->word.leaving &&
	       gossip_now(gossip) - peer->heard < GOSSIP_STALE_USEC;
}

bool gossip_peer_near(const struct gossip *gossip, const struct peer *peer)
{
	return strcmp(peer->data_centre, gossip->settings.data_centre) == 0;
}

int64_t gossip_interval(const struct gossip *gossip, bool near)
{
	uint32_t peers = near ? gossip->near
			      : g_hash_table_size(gossip->peers) - gossip->near;
	uint32_t full = near ? FULL_RATE_NEAR : FULL_RATE_FAR;

	return MIN(GOSSIP_USEC * (int64_t)MAX(peers / full, 1u), SLOWEST_USEC);
}

int64_t gossip_delay(const struct gossip *gossip, bool near)
{
	return (int64_t)(near ? gossip->delay_near : gossip->delay_far);
}

uint32_t gossip_instances(const struct gossip *gossip)
{
	return g_hash_table_size(gossip->peers) + 1;
}

uint32_t gossip_live(const struct gossip *gossip)
{
	GHashTableIter iter;
	struct peer *peer;
	uint32_t live = 0;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		live += gossip_peer_live(gossip, peer);
	return live;
}

bool gossip_parted(const struct gossip *gossip)
{
	int64_t now = gossip_now(gossip);
	GHashTableIter iter;
	struct peer *peer;
	bool others = false;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->heard < 0 || peer->word.leaving ||
		    gossip_peer_near(gossip, peer))
			continue;
		if (now - peer->heard < GOSSIP_PARTED_USEC)
			return false;
		others = true;
	}
	return others;
}

uint32_t gossip_rank(const struct gossip *gossip)
{
	GHashTableIter iter;
	struct peer *peer;
	uint32_t rank = 0;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		rank += gossip_peer_near(gossip, peer) &&
			gossip_peer_live(gossip, peer) &&
			strcmp(peer->name, gossip->settings.name) < 0;
	return rank;
}

bool gossip_lowest(const struct gossip *gossip, bool storeless)
{
	GHashTableIter iter;
	struct peer *peer;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		int order = (int)peer->word.storeless - (int)storeless;

		if (order == 0)
			order = strcmp(peer->name, gossip->settings.name);
		if (order < 0 && gossip_peer_live(gossip, peer))
			return false;
	}
	return true;
}

void gossip_total(const struct gossip *gossip, struct gossip_word *total)
{
	GHashTableIter iter;
	struct peer *peer;

	gossip->ops.word(gossip->ctx, total);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (!gossip_peer_live(gossip, peer))
			continue;
		total->demand += peer->word.demand;
		total->waiting += peer->word.waiting;
	}
}
