#include "forward/relay_peers.h"

#include <glib.h>

#include "common/address.h"
#include "common/id.h"
#include "common/log.h"

/* First and longest backoff after a failure. */
#define AVOID_BASE_USEC (250 * USEC_PER_MSEC)
#define AVOID_MAX_USEC (2 * USEC_PER_SEC)
/* Entries of each table; beyond that all are forgotten. */
#define ENTRIES_MAX 16384u

/* Consecutive failures of one instance, in general or for one server. */
struct failures {
	uint64_t key;
	uint32_t count;
	int64_t avoid_until;
};

/* The instance that last connected to a server. */
struct last_relay {
	uint64_t server;
	char address[ADDRESS_TEXT_MAX];
};

struct relay_peers {
	struct clock *clock;
	GHashTable *failures; /* key to struct failures */
	GHashTable *last;     /* server to struct last_relay */
};

struct relay_peers *relay_peers_create(struct clock *clock)
{
	struct relay_peers *peers = g_new0(struct relay_peers, 1);

	peers->clock = clock;
	peers->failures = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	peers->last = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	return peers;
}

void relay_peers_destroy(struct relay_peers *peers)
{
	if (!peers)
		return;
	g_hash_table_destroy(peers->failures);
	g_hash_table_destroy(peers->last);
	g_free(peers);
}

static uint64_t key_of(const char *address, uint64_t server)
{
	return id_mix(server, id_of(address));
}

static bool is_avoided(const struct relay_peers *peers, uint64_t key)
{
	const struct failures *failures =
		g_hash_table_lookup(peers->failures, &key);

	return failures && clock_now(peers->clock) < failures->avoid_until;
}

bool relay_peers_usable(const struct relay_peers *peers, const char *address,
			uint64_t server)
{
	return !is_avoided(peers, key_of(address, RELAY_ANY_SERVER)) &&
	       !is_avoided(peers, key_of(address, server));
}

static void failure_add(struct relay_peers *peers, uint64_t key)
{
	struct failures *failures = g_hash_table_lookup(peers->failures, &key);
	int64_t now = clock_now(peers->clock);

	if (!failures) {
		if (g_hash_table_size(peers->failures) >= ENTRIES_MAX)
			g_hash_table_remove_all(peers->failures);
		failures = g_new0(struct failures, 1);
		failures->key = key;
		g_hash_table_insert(peers->failures, &failures->key, failures);
	}
	/* Calls that fail together count once. */
	if (now < failures->avoid_until)
		return;
	failures->avoid_until =
		now + MIN(AVOID_BASE_USEC << MIN(failures->count, 3u),
			  AVOID_MAX_USEC);
	failures->count++;
}

const char *relay_peers_last(const struct relay_peers *peers, uint64_t server)
{
	const struct last_relay *last =
		g_hash_table_lookup(peers->last, &server);

	return last && relay_peers_usable(peers, last->address, server)
		       ? last->address
		       : NULL;
}

static void last_set(struct relay_peers *peers, uint64_t server,
		     const char *address)
{
	struct last_relay *last = g_hash_table_lookup(peers->last, &server);

	if (!last) {
		if (g_hash_table_size(peers->last) >= ENTRIES_MAX)
			g_hash_table_remove_all(peers->last);
		last = g_new0(struct last_relay, 1);
		last->server = server;
		g_hash_table_insert(peers->last, &last->server, last);
	}
	g_strlcpy(last->address, address, sizeof(last->address));
}

void relay_peers_record(struct relay_peers *peers, const char *address,
			uint64_t server, enum relay_failure failure)
{
	uint64_t any = key_of(address, RELAY_ANY_SERVER);
	uint64_t key = key_of(address, server);

	if (failure != RELAY_OK)
		g_hash_table_remove(peers->last, &server);
	switch (failure) {
	case RELAY_OK:
		g_hash_table_remove(peers->failures, &any);
		g_hash_table_remove(peers->failures, &key);
		last_set(peers, server, address);
		break;
	case RELAY_LINK:
		g_hash_table_remove(peers->failures, &any);
		failure_add(peers, key);
		break;
	case RELAY_PEER:
		failure_add(peers, any);
		log_event(LOG_INFO, "relay_avoided", LOG_S("relay", address));
		break;
	}
}
