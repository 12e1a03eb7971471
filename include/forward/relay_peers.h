/*
 * relay_peers.h - the instances that connect to servers on behalf of this one
 *
 * DESCRIPTION
 *	Remembers which instances have failed as relays, in general or for one
 *	server. These are avoided with exponential backoff. Which instances
 *	there are is known to gossip.
 */
#ifndef FORWARD_RELAY_PEERS_H
#define FORWARD_RELAY_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "forward/backend.h"

/* Stands for no server in particular. */
#define RELAY_ANY_SERVER 0u

struct relay_peers;

struct relay_peers *relay_peers_create(struct clock *clock);
void relay_peers_destroy(struct relay_peers *peers);
/* Whether the instance at the address, "IP:port", may be asked now to connect
 * to the server with that backend_key(). */
bool relay_peers_usable(const struct relay_peers *peers, const char *address,
			uint64_t server);
/* The instance that last connected to the server; NULL when there is none, or
 * it may not be asked now. */
const char *relay_peers_last(const struct relay_peers *peers, uint64_t server);
/* Records what the instance did when it was asked. */
void relay_peers_record(struct relay_peers *peers, const char *address,
			uint64_t server, enum relay_failure failure);

#endif
