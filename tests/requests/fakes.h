/*
 * fakes.h - fakes of the modules that the request side calls; they log calls
 *
 * The test invokes the callbacks. A request has at most one engine call, one
 * call to a server and one claim at a time, so the fakes hold one of each.
 */
#ifndef TESTS_REQUESTS_FAKES_H
#define TESTS_REQUESTS_FAKES_H

#include <glib.h>

#include "coord/cell_load.h"
#include "entry/engine.h"
#include "entry/entry.h"
#include "web/client.h"

struct web_request {
	int ended; /* number of answers ended and disconnects of the caller */
	web_gone_fn gone;
	void *gone_ctx;
	const char *method;
	const char *path;
	const char *body;
	struct web_header headers[8];
	size_t header_count;
};

struct fakes {
	GString *events;
	struct entry entry;
	struct config config;
	/* The engine call, cancellation and call to a server in flight. */
	const struct engine_ops *engine_ops;
	void *engine_ctx;
	engine_cancel_fn cancel_fn;
	void *cancel_ctx;
	const struct web_call_ops *call_ops;
	void *call_ctx;
	uint64_t submitted; /* the last request submitted or claimed */
	uint32_t attempt;
	uint32_t grants;   /* not yet released */
	uint32_t streams;  /* named by an engine and not yet ended */
	uint32_t measured; /* requests that were measured */
	bool peer_alive;
	enum cell_level level; /* of the local cell; the remote one is free */
};

extern struct fakes fakes;

void fakes_setup(void);
void fakes_teardown(void);
/* Sets the load of the local cell and configures a second data centre. */
void fakes_level(enum cell_level level);
void fakes_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
