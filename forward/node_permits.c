/*
 * node_permits.c - connects backpressure and permits with the gossip
 */
#include "node.h"

/* Retry delay for an instance that took this one for the home by mistake: views
 * converge within a few messages. */
#define WRONG_HOME_USEC (100 * USEC_PER_MSEC)
/* Least transit time of a message, added to the age of its facts. */
#define TRANSIT_USEC (1 * USEC_PER_MSEC)
#define PRUNE_INTERVAL_USEC (1 * USEC_PER_SEC)

/* A draining instance is not the home of any server. */
static bool may_be_home(const struct node *node)
{
	return !node->draining;
}

static bool permit_grant(struct node *node, uint64_t server,
			 int64_t *retry_usec)
{
	if (clock_now(node->clock) < NODE_DISCOVERY_USEC) {
		*retry_usec = NODE_DISCOVERY_USEC - clock_now(node->clock);
		return false;
	}
	return backpressure_grant(node->backpressure, clock_now(node->clock),
				  server, retry_usec);
}

enum permit node_permit(void *ctx, const struct backend *backend, uint64_t id,
			int64_t *retry_usec)
{
	struct node *node = ctx;
	struct permit_request request = {.id = id};

	if (!backpressure_find(node->backpressure, clock_now(node->clock),
			       backend->key, &request.fact))
		return PERMIT_GRANTED;
	if (gossip_request_permit(node->gossip, &request,
				  backend->info.data_centre, may_be_home(node)))
		return PERMIT_PENDING;
	return permit_grant(node, backend->key, retry_usec) ? PERMIT_GRANTED
							    : PERMIT_DENIED;
}

void node_permit_requested(void *ctx, const struct permit_request *request,
			   struct permit_answer *answer)
{
	struct node *node = ctx;
	const struct backend *backend =
		fleet_find(node->fleet, request->fact.server);

	node_fact_received(node, &request->fact);
	answer->retry_usec = WRONG_HOME_USEC;
	answer->granted =
		backend &&
		gossip_is_home(node->gossip, backend->key,
			       backend->info.data_centre, may_be_home(node)) &&
		permit_grant(node, backend->key, &answer->retry_usec);
}

void node_permit_answered(void *ctx, const struct permit_answer *answer)
{
	const struct node *node = ctx;

	forward_permit_answered(node->forward, answer->id, answer->server,
				answer->granted, answer->retry_usec);
}

void node_fact_received(void *ctx, const struct backpressure_fact *fact)
{
	const struct node *node = ctx;
	struct backpressure_fact received = *fact;

	received.age_usec += TRANSIT_USEC;
	forward_merge_fact(node->forward, &received);
}

uint32_t node_facts(void *ctx, struct backpressure_fact *facts, uint32_t max)
{
	const struct node *node = ctx;

	return backpressure_export(node->backpressure, clock_now(node->clock),
				   facts, max);
}

static bool server_exists(void *ctx, uint64_t server)
{
	const struct node *node = ctx;

	return fleet_find(node->fleet, server) != NULL;
}

void node_permits_tick(struct node *node)
{
	int64_t now = clock_now(node->clock);

	if (now - node->pruned_at < PRUNE_INTERVAL_USEC)
		return;
	node->pruned_at = now;
	backpressure_prune(node->backpressure, now, server_exists, node);
}
