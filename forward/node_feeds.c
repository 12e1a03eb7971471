/*
 * node_feeds.c - what a process follows in the platform's store
 */
#include "node.h"

#include <string.h>

#include "common/log.h"

/* Where instances write their addresses, each under its name. */
#define PEER_STREAM "instances"
/* A waiting read. Its answer may be lost when the store or the path to it
 * fails, so it is given up soon enough to follow a change two seconds after it,
 * once the store has been well for three. */
#define CONFIG_WAIT_USEC (1800 * USEC_PER_MSEC)
/* Peers meet through the store only at the start; this is how often one that
 * has been cut off since its start would still find a new one that way. */
#define PEER_INTERVAL_USEC (20 * USEC_PER_SEC)
#define REGISTER_RETRY_USEC (500 * USEC_PER_MSEC)

static void refused_log(struct node *node, const char *what, const char *key,
			uint64_t offset, const struct error *err)
{
	node->malformed->value++;
	log_event(LOG_WARNING, "record_refused", LOG_S("what", what),
		  LOG_S("key", key), LOG_D("offset", offset),
		  LOG_S("reason", err->text));
}

static void on_config(void *ctx, const struct feed_record *record)
{
	struct node *node = ctx;
	struct catalog *catalog;
	struct error err;

	if (strcmp(record->key, node->interface.config_key) != 0 ||
	    !record->value)
		return;
	catalog = node->interface.decode_catalog(record->value, record->size,
						 &err);
	if (!catalog) {
		refused_log(node, "configuration", record->key, record->offset,
			    &err);
		return;
	}
	forward_set_catalog(node->forward, catalog);
	catalog_unref(catalog);
}

static void on_backend(void *ctx, const struct feed_record *record)
{
	struct node *node = ctx;
	struct backend_info info;
	struct error err;

	if (!record->value) {
		fleet_remove(node->fleet, record->key);
		return;
	}
	if (node->interface.decode_backend(record->key, record->value,
					   record->size, &info, &err))
		fleet_put(node->fleet, &info);
	else
		refused_log(node, "backend server", record->key, record->offset,
			    &err);
}

static void on_list_begin(void *ctx)
{
	struct node *node = ctx;

	fleet_snapshot_begin(node->fleet);
}

static void on_list_end(void *ctx)
{
	struct node *node = ctx;

	fleet_snapshot_end(node->fleet);
}

/* The waiting read of the configuration may have been lost meanwhile. */
static void on_list_regained(void *ctx)
{
	struct node *node = ctx;

	feed_hurry(node->config_feed);
}

static void on_peer(void *ctx, const struct feed_record *record)
{
	struct node *node = ctx;
	g_autofree char *address = NULL;

	if (!record->value)
		return;
	address = g_strndup(record->value, record->size);
	gossip_meet(node->gossip, address);
}

static void on_registered(void *ctx, enum result_code code)
{
	struct node *node = ctx;

	if (node->draining)
		return;
	node->registered = code == RESULT_OK;
	if (node->registered)
		feed_start(node->peer_feed);
	else
		timer_start(&node->register_timer, REGISTER_RETRY_USEC);
}

/* Written before the others are read, so of two that start together at least
 * one finds the other. */
static void on_register(struct timer *timer, void *ctx)
{
	struct node *node = ctx;

	node->interface.put(node->interface.ctx, PEER_STREAM,
			    node->settings.name, node->settings.gossip_listen,
			    on_registered, node);
}

static void on_unregistered(void *ctx, enum result_code code)
{
	if (code != RESULT_OK)
		log_event(LOG_NOTICE, "unregister_failed",
			  LOG_S("reason", result_label(code)));
}

void node_unregister(struct node *node)
{
	timer_stop(&node->register_timer);
	if (node->registered)
		node->interface.put(node->interface.ctx, PEER_STREAM,
				    node->settings.name, NULL, on_unregistered,
				    node);
	node->registered = false;
}

void node_feeds_start(struct node *node)
{
	static const struct feed_ops config_ops = {.record = on_config};
	static const struct feed_ops list_ops = {on_list_begin, on_list_end,
						 on_backend, on_list_regained};
	static const struct feed_ops peer_ops = {.record = on_peer};
	const struct feed_store *store = &node->interface.feeds;
	const struct feed_settings config = {
		.stream = node->interface.config_stream,
		.wait_usec = CONFIG_WAIT_USEC,
	};
	const struct feed_settings list = {
		.stream = node->interface.list_stream,
		.interval_usec = (int64_t)(node->settings.list_sec *
					   (double)USEC_PER_SEC),
	};
	const struct feed_settings peers = {
		.stream = PEER_STREAM,
		.interval_usec = PEER_INTERVAL_USEC,
	};

	node->config_feed =
		feed_create(node->clock, store, &config, &config_ops, node);
	node->list_feed =
		feed_create(node->clock, store, &list, &list_ops, node);
	node->peer_feed =
		feed_create(node->clock, store, &peers, &peer_ops, node);
	timer_init(&node->register_timer, node->clock, on_register, node);
	feed_start(node->config_feed);
	feed_start(node->list_feed);
	timer_start(&node->register_timer, 0);
}

void node_feeds_stop(struct node *node)
{
	timer_stop(&node->register_timer);
	feed_destroy(node->config_feed);
	feed_destroy(node->list_feed);
	feed_destroy(node->peer_feed);
}
