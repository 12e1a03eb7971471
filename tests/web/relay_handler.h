/* A relay on the world's server that connects to the address in the path,
 * "/IP:port". */
#ifndef TESTS_WEB_RELAY_HANDLER_H
#define TESTS_WEB_RELAY_HANDLER_H

#include "web/relay.h"
#include "world.h"

struct relay_handler {
	struct loop *loop;
	struct web_relays *relays;
	struct web_request *request; /* being connected for, or NULL */
	struct web_connect *connect;
	int64_t connect_usec; /* time-out */
	int joined;
};

void relay_handler_setup(struct relay_handler *handler, struct world *world);
/* Destroys the world's server, too. */
void relay_handler_teardown(struct relay_handler *handler, struct world *world);

#endif
