/*
 * node.h - a forwarding process: its parts, put together
 *
 * DESCRIPTION
 *	Joins callers' server, fleet, feeds, gossip, roles and the forwarding
 *	core for one outside interface, given as tables. It tells the balancer
 *	when it is ready, and drains on SIGTERM: it says that it is not ready,
 *	goes on taking what still comes until the balancer has seen that,
 *	finishes what is under way, and stops. SIGHUP reads the settings file
 *	again.
 */
#ifndef FORWARD_NODE_H
#define FORWARD_NODE_H

#include "coord/log_store.h"
#include "forward/backend.h"
#include "forward/caller.h"
#include "forward/catalog.h"
#include "forward/feed.h"
#include "forward/settings.h"
#include "web/client.h"

struct node;

/* What the outside interface brings. Streams outlive the node. */
struct node_interface {
	struct backend_ops backends;
	struct caller_codec callers;
	struct feed_store feeds;
	struct log_store log;
	/* Sets, or with value NULL drops, a key of a keyed stream. */
	void (*put)(void *ctx, const char *stream, const char *key,
		    const char *value, void (*fn)(void *ctx, enum result_code),
		    void *fn_ctx);
	struct catalog *(*decode_catalog)(const void *data, size_t size,
					  struct error *err);
	bool (*decode_backend)(const char *id, const void *data, size_t size,
			       struct backend_info *info, struct error *err);
	/* Whether an entry repeats another but for its count of heartbeats. */
	bool (*backend_repeats)(const void *before, size_t before_size,
				const void *data, size_t size);
	/* Whether a key of the stream of configurations tells, for as long as
	 * it has a value, that a data centre is evacuated; and which. */
	bool (*decode_evacuation)(const char *key,
				  char data_centre[BACKEND_TEXT_MAX]);
	const char *config_stream;
	const char *config_key;
	const char *list_stream;
	void *ctx;
};

/* Builds the interface on the node's client, and ends it. */
struct node_factory {
	bool (*open)(void *ctx, struct web_client *client,
		     const struct clock *clock,
		     const struct forward_settings *settings,
		     struct node_interface *interface);
	void (*close)(void *ctx);
	void *ctx;
};

/* Runs until the process is told to stop; returns its exit status. file is the
 * settings file or NULL. */
int node_run(const char *file, int argc, char **argv,
	     const struct node_factory *factory);

#endif
