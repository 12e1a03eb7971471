/*
 * node.h - the parts of a forwarding process
 */
#ifndef FORWARD_NODE_PRIVATE_H
#define FORWARD_NODE_PRIVATE_H

#include "common/counter.h"
#include "forward/forward.h"
#include "forward/gossip.h"
#include "forward/node.h"
#include "forward/roles.h"
#include "web/server.h"

struct node {
	struct forward_settings settings;
	const char *file;
	int argc;
	char **argv;
	const struct node_factory *factory;
	struct node_interface interface;
	struct clock *clock;
	struct loop *loop;
	GRand *rand;
	struct counter_set *counters;
	struct web_client *client;
	struct fleet *fleet;
	struct budgets *budgets;
	struct forward *forward;
	struct gossip *gossip;
	struct roles *roles;
	struct feed *config_feed;
	struct feed *list_feed;
	struct feed *peer_feed;
	struct web_server *callers;
	struct web_server *health;
	struct web_server *admin;
	uint64_t boot;
	bool registered;
	bool draining;
	int64_t hurried; /* when a peer's word had the configuration read */
	int64_t drained_from;
	struct timer drain_timer;
	struct timer register_timer;
	struct counter *malformed;
	int status;
};

/* Of node_feeds.c: configuration, list and peers out of the store. */
void node_feeds_start(struct node *node);
void node_feeds_stop(struct node *node);
/* Takes this instance out of the store's list of peers. */
void node_unregister(struct node *node);

/* Of node_drain.c. */
void node_drain(struct node *node);
void node_drain_stop(struct node *node);

#endif
