/*
 * node_origins.c - connects the versions that began streams with the gossip
 */
#include "node.h"

void node_origin_began(void *ctx, uint64_t stream, uint64_t software)
{
	const struct node *node = ctx;
	const struct gossip_origin origin = {stream, software};

	gossip_origin_send(node->gossip, &origin);
}

uint32_t node_origin_ask(void *ctx, const struct origin_query *query)
{
	const struct node *node = ctx;

	return gossip_origin_ask(node->gossip, query);
}

void node_origin_received(void *ctx, const struct gossip_origin *origin)
{
	const struct node *node = ctx;

	/* A full table is logged by the instance that passes on the stream. */
	(void)origins_put(node->origins, origin->stream, origin->software);
}

void node_origin_queried(void *ctx, const struct origin_query *query,
			 struct origin_answer *answer)
{
	const struct node *node = ctx;

	forward_origin_answer(node->forward, query, answer);
}

void node_origin_answered(void *ctx, const struct origin_query *query,
			  const struct origin_answer *answer)
{
	const struct node *node = ctx;

	forward_origin_answered(node->forward, query->id, query->stream,
				answer);
}
