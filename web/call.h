/*
 * call.h - a call inside the client
 *
 * DESCRIPTION
 *	While one of a call's own callbacks runs the call is busy: a cancel or
 *	failure is then noted and carried out when the callback returns, since
 *	h2o goes on using its client until then.
 */
#ifndef WEB_CALL_H
#define WEB_CALL_H

#include <glib.h>

#include "common/clock.h"
#include "web/client.h"
#include "web/loop.h"

struct web_client {
	struct loop *loop;
	h2o_http1client_ctx_t context;
	h2o_timeout_t io;
	GHashTable *pools; /* address to struct pool */
	GQueue calls;
};

/* The connections to one address: those kept, and those of fresh calls, which
 * are shut down before h2o can keep them. */
struct pool {
	h2o_socketpool_t kept;
	h2o_socketpool_t fresh;
};

struct web_call {
	struct web_client *client;
	h2o_http1client_t *http; /* NULL once h2o is done with it */
	GList link;
	struct web_call_ops ops;
	void *ctx;
	void (*release)(void *ctx);	   /* may be NULL; frees ctx */
	void (*owned_release)(void *data); /* may be NULL */
	void *owned;
	GString *request;
	h2o_iovec_t vec;
	struct timer timer;
	struct loop_deferred fail;
	struct loop_deferred watch; /* puts our reader before h2o's */
	h2o_socket_cb h2o_reader;
	h2o_socket_cb h2o_writer;
	int64_t connect_usec;
	int64_t head_usec;
	int64_t idle_usec;
	int64_t active; /* when bytes arrived last */
	const char *text;
	bool is_head;
	bool fresh;
	bool connected;
	bool answered; /* the head has arrived */
	bool chunked;  /* its body ends with an empty chunk */
	bool reset;    /* the connection did not end in order */
	bool busy;
	bool cancelled;
	bool timed_out;
};

/* Links a call that does nothing yet. */
struct web_call *call_create(struct web_client *client,
			     const struct web_call_spec *spec,
			     const struct web_call_ops *ops, void *ctx);
void call_connect(struct web_call *call, h2o_socketpool_t *sockets);
/* Fails the call: at once, or when its callback returns. */
void call_fail(struct web_call *call, const char *text);
/* As call_fail(), but done is only called at the end of the turn. */
void call_fail_later(struct web_call *call, const char *text);
#endif
