/*
 * node_relays.c - instances that connect to servers for each other
 */
#include "node.h"

/* A choice of a relay for one server. */
struct relay_query {
	const struct node *node;
	uint64_t server;
};

static bool is_usable(void *ctx, const char *address)
{
	const struct relay_query *query = ctx;

	return relay_peers_usable(query->node->relay_peers, address,
				  query->server);
}

bool node_relay_choose(void *ctx, const struct backend_info *to,
		       char relay[ADDRESS_TEXT_MAX])
{
	const struct node *node = ctx;
	struct relay_query query = {node, backend_key(to)};
	const char *last = relay_peers_last(node->relay_peers, query.server);

	if (last) {
		g_strlcpy(relay, last, ADDRESS_TEXT_MAX);
		return true;
	}
	return gossip_choose_relay(node->gossip, to->data_centre, is_usable,
				   &query, node->rand, relay);
}

void node_relay_result(void *ctx, const char *relay, uint64_t server,
		       enum relay_failure failure)
{
	const struct node *node = ctx;

	relay_peers_record(node->relay_peers, relay, server, failure);
}

void node_relays_tick(struct node *node)
{
	struct relay_query query = {node, RELAY_ANY_SERVER};
	char relay[ADDRESS_TEXT_MAX];

	fleet_set_relays(
		node->fleet,
		gossip_choose_relay(node->gossip, node->settings.data_centre,
				    is_usable, &query, node->rand, relay));
}
