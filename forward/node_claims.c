/*
 * node_claims.c - connects claims of decode memory with the gossip
 */
#include "node.h"

#include "common/log.h"

void node_room_claim(void *ctx, const struct room_claim *claim)
{
	const struct node *node = ctx;

	node->claim_datagrams->value += gossip_claim_send(node->gossip, claim);
}

void node_claim_received(void *ctx, uint64_t from,
			 const struct room_claim *claim)
{
	struct node *node = ctx;
	const struct catalog *catalog = forward_catalog(node->forward);
	int64_t now = clock_now(node->clock);
	uint64_t dropped = precedence_dropped(node->precedence);

	if (!catalog || !catalog->ranked)
		return;
	node->claims_received->value++;
	precedence_claim(node->precedence, now, claim, from);
	precedence_seen(node->precedence, now, claim->rank);
	if (precedence_dropped(node->precedence) == dropped)
		return;
	if (node->claims_dropped->value++ == 0)
		log_event(LOG_WARNING, "room_claims_full", LOG_X("from", from),
			  LOG_D("claims", PRECEDENCE_CLAIMS_MAX));
}

uint32_t node_waiting_ranked(void *ctx, uint32_t rank)
{
	const struct node *node = ctx;
	struct gossip_summary total;
	uint32_t waiting = 0;

	gossip_total(node->gossip, &total);
	for (uint32_t i = 0; i <= MIN(rank, PRECEDENCE_RANKS - 1); i++)
		waiting += total.waiting_ranked[i];
	return waiting;
}

void node_ranks_received(struct node *node,
			 const struct gossip_summary *summary)
{
	int64_t now = clock_now(node->clock);

	for (uint32_t i = 0; summary->ranked && i < PRECEDENCE_RANKS; i++)
		if (summary->waiting_ranked[i] > 0)
			precedence_seen(node->precedence, now, i);
}

void node_claims_open(struct node *node)
{
	node->precedence = precedence_create();
	node->claims_received = counter_get(
		node->counters, "jt_room_claims_received_total",
		"Claims for decode memory of other instances", NULL);
	node->claims_dropped =
		counter_get(node->counters, "jt_room_claims_dropped_total",
			    "Those dropped because the table was full", NULL);
	node->claim_datagrams =
		counter_get(node->counters, "jt_room_claim_datagrams_total",
			    "Datagrams sent for own claims", NULL);
}
