#include "forward/relay_peers.h"

#include <glib.h>

#include "common/log.h"

/* First and longest backoff after a failure. */
#define AVOID_BASE_USEC (250 * USEC_PER_MSEC)
#define AVOID_MAX_USEC (2 * USEC_PER_SEC)
/* More instances than a data centre has. */
#define PEERS_MAX 4096u

struct relay_peer {
	uint32_t failures; /* consecutive */
	int64_t avoid_until;
};

struct relay_peers {
	struct clock *clock;
	GHashTable *failed; /* address to struct relay_peer */
};

struct relay_peers *relay_peers_create(struct clock *clock)
{
	struct relay_peers *peers = g_new0(struct relay_peers, 1);

	peers->clock = clock;
	peers->failed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return peers;
}

void relay_peers_destroy(struct relay_peers *peers)
{
	if (!peers)
		return;
	g_hash_table_destroy(peers->failed);
	g_free(peers);
}

bool relay_peers_usable(const struct relay_peers *peers, const char *address)
{
	const struct relay_peer *peer =
		g_hash_table_lookup(peers->failed, address);

	return !peer || clock_now(peers->clock) >= peer->avoid_until;
}

void relay_peers_failed(struct relay_peers *peers, const char *address)
{
	struct relay_peer *peer = g_hash_table_lookup(peers->failed, address);
	int64_t now = clock_now(peers->clock);

	if (!peer) {
		if (g_hash_table_size(peers->failed) >= PEERS_MAX)
			g_hash_table_remove_all(peers->failed);
		peer = g_new0(struct relay_peer, 1);
		g_hash_table_insert(peers->failed, g_strdup(address), peer);
	}
	/* Calls that fail together count once. */
	if (now < peer->avoid_until)
		return;
	peer->avoid_until =
		now +
		MIN(AVOID_BASE_USEC << MIN(peer->failures, 3u), AVOID_MAX_USEC);
	peer->failures++;
	log_event(LOG_INFO, "relay_avoided", LOG_S("relay", address),
		  LOG_D("failures", peer->failures));
}

void relay_peers_succeeded(struct relay_peers *peers, const char *address)
{
	g_hash_table_remove(peers->failed, address);
}
