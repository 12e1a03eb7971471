/*
 * backend.h - the parts that every stand-in of a backend server has
 *
 * DESCRIPTION
 *	Clock, loop, HTTP server and client, the entry in the platform's list,
 *	and the graceful shutdown: on SIGTERM or SIGINT the entry is marked as
 *	leaving, the leave hook runs, and once the idle hook says so the entry
 *	is taken out and backend_run() returns. A second signal ends at once.
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
	/* Whether nothing is left to be finished. */
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
	struct timer timer;
};

/* Listens at the address; false after logging why not. */
bool backend_open(struct standin_backend *backend, const char *program,
		  const char *listen);
/* Registers, prints the address, and runs until shut down. The spec's address
 * and incarnation are filled in here. */
void backend_run(struct standin_backend *backend,
		 struct registration_spec *spec, const struct backend_ops *ops,
		 void *ctx);
/* Ends the HTTP server, so that all callers are told to be gone. */
void backend_close_server(struct standin_backend *backend);
void backend_close(struct standin_backend *backend);

#endif
