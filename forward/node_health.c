/*
 * node_health.c - answers to health checks and to metrics scrapers
 */
#include "node.h"

/* With this many requests waiting for memory at an instance of a partitioned
 * data centre, callers are better served by another data centre. */
#define DEGRADED_WAITING_MIN 6u

/* While partitioned from other data centres, an instance serves callers with
 * the servers it reaches. If it reaches none of a service, or too many requests
 * wait, its health check fails, so callers go to another data centre. */
static bool is_degraded(const struct node *node)
{
	const struct catalog *catalog = forward_catalog(node->forward);
	GHashTableIter iter;
	uint64_t *id;

	if (!gossip_partitioned(node->gossip))
		return false;
	if (forward_waiting(node->forward) >= DEGRADED_WAITING_MIN)
		return true;
	g_hash_table_iter_init(&iter, catalog->services);
	while (g_hash_table_iter_next(&iter, (gpointer *)&id, NULL))
		if (!fleet_service_reachable(node->fleet, *id))
			return true;
	return false;
}

static bool is_ready(const struct node *node)
{
	return !node->draining && forward_catalog(node->forward) &&
	       fleet_all(node->fleet)->len > 0 && !is_degraded(node);
}

void node_health(void *ctx, struct web_request *request)
{
	bool ready = is_ready(ctx);

	web_reply(request, ready ? 200 : 503, "text/plain",
		  ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
}

static void traffic_count(struct node *node)
{
	const struct gossip_traffic *traffic = gossip_traffic(node->gossip);
	struct counter_set *set = node->counters;

	counter_get(set, "jt_datagrams_total", "Datagrams between instances",
		    "way=\"sent\"")
		->value = (int64_t)traffic->sent;
	counter_get(set, "jt_datagrams_total", "Datagrams between instances",
		    "way=\"received\"")
		->value = (int64_t)traffic->received;
	counter_get(set, "jt_datagram_bytes_total",
		    "Their bytes, without headers", "way=\"sent\"")
		->value = (int64_t)traffic->sent_bytes;
	counter_get(set, "jt_datagram_bytes_total",
		    "Their bytes, without headers", "way=\"received\"")
		->value = (int64_t)traffic->received_bytes;
}

static void quarantine_count(struct node *node)
{
	struct counter_set *set = node->counters;

	gauge_get(set, "jt_quarantine_works", "Works under which servers ended",
		  "state=\"held\"")
		->value = (int64_t)quarantine_held(node->quarantine);
	gauge_get(set, "jt_quarantine_works", "", "state=\"suspected\"")
		->value = (int64_t)quarantine_suspects(node->quarantine);
}

static void backpressure_count(struct node *node)
{
	gauge_get(node->counters, "jt_limited_servers",
		  "Backend servers that name a limit of requests a second",
		  NULL)
		->value = (int64_t)backpressure_limited(node->backpressure);
}

static void reach_count(struct node *node)
{
	gauge_get(node->counters, "jt_cut_off",
		  "1 while no backend server can be connected to", NULL)
		->value = fleet_cut_off(node->fleet);
}

void node_metrics(void *ctx, struct web_request *request)
{
	struct node *node = ctx;
	g_autoptr(GString) text = g_string_new(NULL);

	traffic_count(node);
	quarantine_count(node);
	backpressure_count(node);
	reach_count(node);
	node_speeds_count(node);
	counter_set_print(node->counters, text);
	web_reply(request, 200, "text/plain; version=0.0.4", text->str,
		  text->len);
}
