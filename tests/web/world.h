/* A server and a client in one loop on loopback, and raw sockets to either. */
#ifndef TESTS_WEB_WORLD_H
#define TESTS_WEB_WORLD_H

#include <glib.h>

#include "common/clock.h"
#include "common/error.h"
#include "web/client.h"
#include "web/loop.h"
#include "web/server.h"

struct world {
	struct clock *clock;
	struct loop *loop;
	struct web_server *server;
	struct web_client *client;
	const int *goal; /* loop_run() ends when it is not zero */
	/* Of the last answer. */
	int done;
	int status;
	struct web_result result;
	GString *body;
	GString *heads; /* "name: value\n" each */
	size_t pieces;
	struct web_call *cancel; /* cancelled at its first piece */
};

void world_setup(struct world *world, gconstpointer data);
void world_teardown(struct world *world, gconstpointer data);
/* Runs the loop until *goal is not zero. */
void world_run(struct world *world, const int *goal);
/* Runs a number of turns. */
void world_turns(struct world *world, int turns);
struct web_call *world_call(struct world *world, struct web_call_spec spec);
/* Calls and runs until done. */
void world_get(struct world *world, const char *method, const char *path);

/* Blocking only in connect, which loopback answers at once. */
int raw_connect(const char *address);
/* As raw_connect(), without waiting for the connection. */
int raw_connect_start(const char *address);
void raw_send(int fd, const void *data, size_t size);
/* As raw_send(), turning the loop; what a closed socket takes not is lost. */
void raw_push(struct world *world, int fd, const char *data, size_t size);
/* Runs the loop until the text was read, the other side closed, or, when text
 * is NULL, until it closed. Returns all that was read. */
GString *raw_read_until(struct world *world, int fd, const char *text);
/* A listener on loopback; address as "IP:port". */
int raw_listen(char *address, size_t size);

#endif
