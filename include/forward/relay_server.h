/*
 * relay_server.h - connects to backend servers on behalf of other instances
 *
 * DESCRIPTION
 *	Answers the requests of forward/relay.h. Connects only to servers that
 *	are listed, under the address in the list.
 */
#ifndef FORWARD_RELAY_SERVER_H
#define FORWARD_RELAY_SERVER_H

#include <glib.h>
#include <stdint.h>

#include "common/counter.h"
#include "forward/fleet.h"
#include "web/loop.h"
#include "web/server.h"

struct relay_server;

/* The arguments must outlive the server. */
struct relay_server *relay_server_create(struct loop *loop, struct fleet *fleet,
					 struct counter_set *counters,
					 GRand *rand);
/* Closes all connections. To be called after the web server was destroyed. */
void relay_server_destroy(struct relay_server *server);
/* A web_handler_fn for RELAY_PATH. */
void relay_server_handle(void *ctx, struct web_request *request);
/* Accepts no more requests; those in progress go on. */
void relay_server_drain(struct relay_server *server);
/* Connections in progress. */
uint32_t relay_server_count(const struct relay_server *server);

#endif
