/* A server and a client in one event loop on loopback, and raw sockets to both.
 */
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
	const int *goal; /* loop_run() ends once it is not zero */
	/* State of the last answer. */
	int done;
	int status;
	struct web_result result;
	GString *body;
	GString *heads; /* "name: value\n" each */
	size_t pieces;
	struct web_call *cancel; /* cancelled at the first piece */
};

void world_setup(struct world *world, gconstpointer data);
void world_teardown(struct world *world, gconstpointer data);
/* Runs the loop until *goal is not zero. */
void world_run(struct world *world, const int *goal);
/* As world_run(), within limit_usec of the clock, which is moved as the loop
 * runs: an iteration that waits for the processor counts as no more than 20 ms.
 */
void world_run_within(struct world *world, const int *goal, int64_t limit_usec);
/* Runs a number of iterations of h2o's loop. */
void world_iterate(struct world *world, int iterations);
struct web_call *world_call(struct world *world, struct web_call_spec spec);
/* Sends a request and runs the loop until it is done. */
void world_get(struct world *world, const char *method, const char *path);

/* Blocks in connect(), which loopback completes immediately. */
int raw_connect(const char *address);
/* Like raw_connect(), without waiting for the connection. */
int raw_connect_start(const char *address);
void raw_send(int fd, const void *data, size_t size);
/* Like raw_send(), but runs the loop meanwhile and returns early when the
 * socket is closed. */
void raw_push(struct world *world, int fd, const char *data, size_t size);
/* Runs the loop until text was read or the peer closed; with text NULL, until
 * the peer closed. Returns everything that was read. */
GString *raw_read_until(struct world *world, int fd, const char *text);
/* Listens on loopback and sets address to "IP:port". */
int raw_listen(char *address, size_t size);

#endif
