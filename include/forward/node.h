/*
 * node.h - main loop of a forwarding process
 *
 * DESCRIPTION
 *	Connects the web servers, fleet, feeds, gossip, roles and the forwarding
 *	core to one platform, given as tables of functions. Health checks report
 *	whether the process is ready. SIGTERM drains it: health checks fail, new
 *	requests are accepted until the balancer has noticed, requests in
 *	progress end, and the process exits. SIGHUP reads the settings file
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

/* The platform's functions and stream names, which stay valid longer than the
 * node. */
struct node_interface {
	struct backend_ops backends;
	struct caller_codec callers;
	struct feed_store feeds;
	struct log_store log;
	/* Sets a key of a keyed stream, or deletes it if value is NULL. */
	void (*put)(void *ctx, const char *stream, const char *key,
		    const char *value, void (*fn)(void *ctx, enum result_code),
		    void *fn_ctx);
	struct catalog *(*decode_catalog)(const void *data, size_t size,
					  struct error *err);
	bool (*decode_backend)(const char *id, const void *data, size_t size,
			       struct backend_info *info, struct error *err);
	/* Whether two entries differ at most in their count of heartbeats. */
	bool (*backend_repeats)(const void *before, size_t before_size,
				const void *data, size_t size);
	/* Whether an entry was written after another of the same server. */
	bool (*backend_newer)(const void *before, size_t before_size,
			      const void *data, size_t size);
	/* Whether an entry was written earlier than the one known before it.
	 * False if the entries do not tell. */
	bool (*backend_outdated)(const void *before, size_t before_size,
				 const void *data, size_t size);
	/* Whether a key of the configuration stream marks a data centre as
	 * evacuated while it has a value; sets data_centre. */
	bool (*decode_evacuation)(const char *key,
				  char data_centre[BACKEND_TEXT_MAX]);
	const char *config_stream;
	const char *config_key;
	const char *list_stream;
	void *ctx;
};

/* Opens the interface with the node's HTTP client, and closes it. */
struct node_factory {
	bool (*open)(void *ctx, struct web_client *client,
		     const struct clock *clock,
		     const struct forward_settings *settings,
		     struct node_interface *interface);
	void (*close)(void *ctx);
	void *ctx;
};

/* Runs until a signal stops the process; returns the exit status. file is the
 * settings file or NULL. */
int node_run(const char *file, int argc, char **argv,
	     const struct node_factory *factory);

#endif
