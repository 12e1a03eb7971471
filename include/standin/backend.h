/*
 * backend.h - common parts of the stand-ins for backend servers
 *
 * DESCRIPTION
 *	Clock, event loop, HTTP server and client, the entry in the platform's
 *	list, and graceful shutdown. On SIGTERM or SIGINT the entry is marked
 *	as leaving and the leave hook runs. Once the idle hook returns true,
 *	the entry is removed and backend_run() returns. A second signal makes
 *	it return immediately.
 */
#ifndef STANDIN_BACKEND_H
#define STANDIN_BACKEND_H

#include <stdbool.h>

#include "common/clock.h"
#include "standin/register.h"

struct loop;
struct web_client;
struct web_server;

struct backend_ops {
	void (*leave)(void *ctx);
	/* Whether all accepted work has finished. */
	bool (*idle)(void *ctx);
};

struct standin_backend {
	struct clock *clock;
	struct loop *loop;
	struct web_client *client;
	struct web_server *server;
	struct registration *registration;
	const struct backend_ops *ops;
	void *ctx;
	bool leaving;
	bool ending;
	struct timer idle_timer;
};

/* Listens on the address; logs the error and returns false if it cannot. */
bool backend_open(struct standin_backend *backend, const char *program,
		  const char *listen);
/* Fills in the spec's address and incarnation, registers, logs the address and
 * runs until shut down. */
void backend_run(struct standin_backend *backend,
		 struct registration_spec *spec, const struct backend_ops *ops,
		 void *ctx);
/* Stops updating the entry and destroys the HTTP server, which runs the gone
 * hooks of all open requests. */
void backend_close_server(struct standin_backend *backend);
void backend_close(struct standin_backend *backend);

#endif
