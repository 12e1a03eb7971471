/*
 * node_limits.c - exchange of allotment usage with other instances
 */
#include "node.h"

#include <string.h>

struct limits *node_limits_create(const struct node *node)
{
	const struct limit_settings settings = {
		.policy = node->settings.limit_policy,
		.now = clock_now(node->clock),
		.epoch = (uint32_t)node->boot,
		.may_have_peers = true,
	};

	return limits_create(&settings);
}

void node_allotment_used(void *ctx)
{
	struct node *node = ctx;

	if (limit_urgent(node->limits))
		gossip_usage_changed(node->gossip);
}

uint32_t node_usage(void *ctx, bool sums, struct limit_entry *entries,
		    uint32_t max)
{
	struct node *node = ctx;

	return limit_export(node->limits, clock_now(node->clock), sums, entries,
			    max);
}

void node_usage_sent(void *ctx)
{
	struct node *node = ctx;

	limit_exported(node->limits);
}

/* Ignores organisations that are not in the configuration in force. */
void node_usage_received(void *ctx, const struct limit_source *source,
			 const struct limit_entry *entry)
{
	struct node *node = ctx;
	const struct catalog *catalog = forward_catalog(node->forward);
	const struct organisation *organisation = NULL;

	if (catalog && catalog->organisations)
		organisation = organisation_find(catalog->organisations,
						 entry->account);
	if (!organisation || organisation->allotment.rate <= 0.0)
		return;
	limit_merge(node->limits, clock_now(node->clock), source, entry,
		    &organisation->allotment);
	node_allotment_used(node);
}
