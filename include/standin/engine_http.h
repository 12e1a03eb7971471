/*
 * engine_http.h - the calls of an engine stand-in, as in docs/PROTOCOLS.md
 */
#ifndef STANDIN_ENGINE_HTTP_H
#define STANDIN_ENGINE_HTTP_H

struct engine_http;
struct engine_model;
struct web_client;
struct web_server;

/* Answers for the model on the server; KV caches of other engines are fetched
 * by the client. All three are the caller's. */
struct engine_http *engine_http_create(struct engine_model *model,
				       struct web_server *server,
				       struct web_client *client);
/* A role order was taken that names the pool that the engine now belongs to. */
typedef void (*engine_pool_fn)(void *ctx, const char *pool);
void engine_http_on_pool(struct engine_http *http, engine_pool_fn fn,
			 void *ctx);
/* Destroy the server and the model first: both call back. */
void engine_http_destroy(struct engine_http *http);

#endif
