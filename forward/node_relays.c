/*
 * node_relays.c - instances that connect to servers for each other
 */
#include "node.h"

static bool is_usable(void *ctx, const char *address)
{
	const struct node *node = ctx;

	return relay_peers_usable(node->relay_peers, address);
}

bool node_relay_choose(void *ctx, const struct backend_info *to,
		       char relay[ADDRESS_TEXT_MAX])
{
	struct node *node = ctx;

	return gossip_choose_relay(node->gossip, to->data_centre, is_usable,
				   node, node->rand, relay);
}

void node_relay_result(void *ctx, const char *relay, bool ok)
{
	struct node *node = ctx;

	if (ok)
		relay_peers_succeeded(node->relay_peers, relay);
	else
		relay_peers_failed(node->relay_peers, relay);
}

void node_relays_tick(struct node *node)
{
	char relay[ADDRESS_TEXT_MAX];

	fleet_set_relays(
		node->fleet,
		gossip_choose_relay(node->gossip, node->settings.data_centre,
				    is_usable, node, node->rand, relay));
}
