/*
 * call.h - a call inside the client
 *
 * DESCRIPTION
 *	A call is busy while one of its callbacks runs. A cancel or failure is
 *	then recorded and takes effect when the callback returns, since h2o uses
 *	its client object until then.
 */
#ifndef WEB_CALL_H
#define WEB_CALL_H

#include <glib.h>

#include "common/clock.h"
#include "head.h"
#include "web/client.h"
#include "web/loop.h"

struct web_client {
	struct loop *loop;
	h2o_http1client_ctx_t context;
	h2o_timeout_t io;
	GHashTable *pools; /* address to struct pool */
	GQueue calls;
};

/* The connections to one address: keep-alive ones, and those of fresh calls,
 * which are shut down before h2o can reuse them. */
struct pool {
	h2o_socketpool_t keepalive;
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
	struct loop_deferred wrap; /* wraps h2o's socket callbacks */
	/* With a relay only: its request, the pool of the server's address, and
	 * the connection that the relay has joined with the server's. */
	GString *tunnel;
	h2o_socketpool_t *sockets;
	h2o_socket_t *tunnel_sock;
	struct loop_deferred joined;
	int relay_status; /* of the relay's answer; 0: none */
	h2o_socket_cb h2o_read_cb;
	h2o_socket_cb h2o_write_cb;
	struct head head; /* of the answer that is arriving */
	int64_t connect_usec;
	int64_t head_usec;
	int64_t idle_usec;
	int64_t body_usec;   /* from the head to the end; 0: no limit */
	int64_t last_active; /* when it began, connected or last got bytes of
				the head or body */
	int64_t head_began;  /* first byte of the head that is arriving */
	int64_t head_at;     /* when the head was complete */
	size_t head_bytes;   /* read before the head was complete */
	size_t body_read;    /* read after that, with the framing of chunks */
	size_t body_bytes;   /* of the body itself */
	const char *text;
	bool is_head;
	bool fresh;
	bool is_connected;
	enum web_body_end body_end; /* that the head announces */
	bool has_head;		    /* the head has arrived */
	bool was_reset;		    /* the connection ended with an error */
	bool busy;
	bool cancelled;
	bool timed_out;
	bool rejected; /* the answer exceeded a bound */
};

/* Creates and links a call without connecting. */
struct web_call *call_create(struct web_client *client,
			     const struct web_call_spec *spec,
			     const struct web_call_ops *ops, void *ctx);
/* Starts the timer for connecting. */
void call_timer_start(struct web_call *call);
void call_connect(struct web_call *call, h2o_socketpool_t *sockets);
/* Bounds what is read from the connection; called each time that h2o sets its
 * callbacks. */
void call_wrap_later(struct web_call *call);
/* Connects to the relay, and through it to the server. */
void tunnel_connect(struct web_call *call, const struct web_call_spec *spec,
		    h2o_socketpool_t *relay, h2o_socketpool_t *sockets);
/* Reports the result and frees the call. */
void call_done(struct web_call *call, bool ok);
/* Enclose each callback of h2o: in between the call is busy. call_leave() frees
 * a call that was cancelled or failed meanwhile, and returns false then; h2o
 * has to close the connection. */
void call_enter(struct web_call *call);
bool call_leave(struct web_call *call);
/* Fails the call now, or when its running callback returns. */
void call_fail(struct web_call *call, const char *text);
/* As call_fail(), since the answer exceeds a bound. */
void call_reject(struct web_call *call, const char *text);
/* As call_fail(), but defers done to the end of the event loop's iteration. */
void call_fail_later(struct web_call *call, const char *text);
#endif
