#include "relay_handler.h"

#define CONNECT_USEC (1 * USEC_PER_SEC)

static void on_connected(void *ctx, enum web_connect_result result,
			 struct web_connection *connection)
{
	struct relay_handler *handler = ctx;
	struct web_request *request = handler->request;

	handler->connect = NULL;
	handler->request = NULL;
	if (connection) {
		handler->joined++;
		web_relay_join(handler->relays, request, connection);
		return;
	}
	web_reply(request, result == WEB_CONNECT_REFUSED ? 502 : 504, NULL,
		  "no", 2);
}

static void on_gone(void *ctx)
{
	struct relay_handler *handler = ctx;

	web_connect_cancel(handler->connect);
	handler->connect = NULL;
	handler->request = NULL;
}

static void on_request(void *ctx, struct web_request *request)
{
	struct relay_handler *handler = ctx;
	struct web_text path = web_request_path(request);
	g_autofree char *address = g_strndup(path.data + 1, path.size - 1);

	g_assert_true(web_relay_requested(request));
	handler->request = request;
	web_request_on_gone(request, on_gone, handler);
	handler->connect =
		web_connect(handler->loop, address, handler->connect_usec,
			    on_connected, handler);
}

void relay_handler_setup(struct relay_handler *handler, struct world *world)
{
	*handler = (struct relay_handler){
		.loop = world->loop,
		.relays = web_relays_create(world->loop),
		.connect_usec = CONNECT_USEC,
	};
	web_server_handle(world->server, "/", on_request, handler);
}

void relay_handler_teardown(struct relay_handler *handler, struct world *world)
{
	web_server_destroy(world->server);
	world->server = NULL;
	web_relays_destroy(handler->relays);
}
