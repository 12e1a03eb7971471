/*
 * node_speeds.c - speeds of servers, to and from other instances
 */
#include "node.h"

#include "common/log.h"

/* Least transit time of a message, added to the age of its entries. */
#define TRANSIT_MSEC 1u

static void on_changed(void *ctx, const struct speed_change *change)
{
	const struct node *node = ctx;
	const struct backend *backend = fleet_find(node->fleet, change->server);

	if (!backend)
		return;
	log_event(LOG_INFO, "server_speed", LOG_S("backend", backend->info.id),
		  LOG_F("factor", change->factor),
		  LOG_F("before", change->before),
		  LOG_F("seen", change->seen.factor),
		  LOG_F("seen_samples", change->seen.weight),
		  LOG_F("stated", change->stated.factor),
		  LOG_F("stated_samples", change->stated.weight),
		  LOG_F("peers", change->peers.factor),
		  LOG_F("peers_samples", change->peers.weight));
}

struct speeds *node_speeds_create(struct node *node)
{
	struct speeds *speeds = speeds_create();

	speeds_on_change(speeds, on_changed, node);
	return speeds;
}

uint32_t node_speeds(void *ctx, bool group, struct speed_entry *entries,
		     uint32_t max)
{
	const struct node *node = ctx;
	int64_t now = clock_now(node->clock);

	return group ? speeds_export_group(node->speeds, now, entries, max)
		     : speeds_export(node->speeds, now, entries, max);
}

uint32_t node_speeds_next(void *ctx, uint64_t *cursor,
			  struct speed_entry *entries, uint32_t max)
{
	const struct node *node = ctx;

	return speeds_export_next(node->speeds, clock_now(node->clock),
				  node->boot, cursor, entries, max);
}

/* Ignores servers that are not listed. At its start an instance may be sent
 * speeds before the list. */
void node_speed_received(void *ctx, const struct speed_entry *entry)
{
	const struct node *node = ctx;
	struct speed_entry received = *entry;

	if (fleet_all(node->fleet)->len > 0 &&
	    !fleet_find(node->fleet, entry->server))
		return;
	received.age_msec += TRANSIT_MSEC;
	speeds_merge(node->speeds, clock_now(node->clock), &received);
}

void node_speeds_count(const struct node *node)
{
	gauge_get(node->counters, "jt_speed_servers",
		  "Backend servers whose speed is known", NULL)
		->value =
		(int64_t)speeds_known(node->speeds, clock_now(node->clock));
}
