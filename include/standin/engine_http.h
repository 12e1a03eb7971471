/*
 * engine_http.h - HTTP API of an engine stand-in, see docs/PROTOCOLS.md
 */
#ifndef STANDIN_ENGINE_HTTP_H
#define STANDIN_ENGINE_HTTP_H

struct engine_http;
struct engine_model;
struct web_client;
struct web_server;

/* Serves the model's API on the server. The client fetches KV caches from other
 * engines. All three stay owned by the caller. */
struct engine_http *engine_http_create(struct engine_model *model,
				       struct web_server *server,
				       struct web_client *client);
/* Called when a role order was accepted that names the engine's new pool. */
typedef void (*engine_pool_fn)(void *ctx, const char *pool);
void engine_http_on_pool(struct engine_http *http, engine_pool_fn fn,
			 void *ctx);
/* The server and the model must be destroyed first, since both call back. */
void engine_http_destroy(struct engine_http *http);

#endif
