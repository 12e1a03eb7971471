/*
 * relay.h - joins a caller's connection with another one
 *
 * DESCRIPTION
 *	A caller asks for the protocol WEB_RELAY_PROTOCOL in a GET request (HTTP
 *	Upgrade, RFC 9110, 7.8). web_relay_join() answers 101, and from then on
 *	the bytes of the caller's connection and of the given one pass both ways
 *	unchanged, with back-pressure. When the caller closes, both are closed.
 *	When the other end closes, the bytes received are passed on first, and a
 *	reset is passed on as a reset. The caller's connection is reset also
 *	when the relay ends for another reason, or its process does, so that an
 *	orderly close is always that of the other end.
 */
#ifndef WEB_RELAY_H
#define WEB_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "web/connect.h"
#include "web/server.h"

#define WEB_RELAY_PROTOCOL "jacinthtrestle-relay"

/* The pairs of connections of one server. */
struct web_relays;

struct web_relays *web_relays_create(struct loop *loop);
/* Closes all pairs. To be called after the server was destroyed. */
void web_relays_destroy(struct web_relays *relays);
uint32_t web_relays_count(const struct web_relays *relays);
/* Whether the request asks for the protocol on a connection that allows it. */
bool web_relay_requested(const struct web_request *request);
/* Ends the request; takes the connection over. */
void web_relay_join(struct web_relays *relays, struct web_request *request,
		    struct web_connection *connection);

#endif
