/*
 * request.h - a request inside the server
 *
 * DESCRIPTION
 *	A request is allocated in h2o's memory pool and freed with it. Its
 *	owner, the handler, may use it until the answer ends or the caller
 *	disconnects; after that only the server uses it. All sends are deferred
 *	to the end of the event loop's iteration, so that no call by the owner
 *	frees a request.
 */
#ifndef WEB_REQUEST_H
#define WEB_REQUEST_H

#include <glib.h>

#include "bodies.h"
#include "replies.h"
#include "web/loop.h"
#include "web/server.h"

struct web_request {
	h2o_generator_t generator; /* first: h2o passes it to callbacks */
	h2o_req_t *req;
	struct web_server *server;
	struct loop *loop;
	GList link; /* in the server's requests */
	struct loop_deferred flush;
	web_gone_fn gone_fn;
	void *gone_ctx;
	GByteArray *queue;     /* not yet passed to h2o */
	GByteArray *in_flight; /* being sent, from offset */
	size_t offset;
	size_t slice;	       /* bytes that h2o is sending */
	int64_t sending_since; /* when the slice was passed to h2o */
	int64_t ended_at;      /* by the owner */
	h2o_socket_t *sock;    /* HTTP/1 only: watched for a disconnect */
	struct web_header *headers;
	struct bodies *bodies;
	size_t reserved; /* in bodies */
	const struct replies *replies;
	bool watched;
	bool started;	 /* status and headers are set */
	bool no_body;	 /* HEAD, or a status without a body */
	bool head_sent;	 /* the head was passed to h2o */
	bool sending;	 /* h2o is sending a slice */
	bool ended;	 /* by the owner, or by a disconnect */
	bool truncated;	 /* end the answer truncated */
	bool final_sent; /* the last slice was passed to h2o */
};

/* An accepted connection; attached to its socket's close hook, since h2o uses
 * the socket's data pointer. */
struct web_conn {
	struct web_server *server;
	h2o_socket_t *sock;
	GList link;
	struct web_request *request; /* HTTP/1 only: the pending one */
	bool http1;		     /* has had an HTTP/1 request */
	size_t reserved;	     /* for the body that is arriving */
	uint64_t unread;	     /* bytes of a refused body */
	h2o_socket_cb h2o_read_cb;   /* set while h2o receives on HTTP/1 */
};

struct web_request *web_request_create(struct web_server *server,
				       struct loop *loop, struct bodies *bodies,
				       const struct replies *replies,
				       h2o_req_t *req);
/* The connection of an HTTP/1 request; NULL for HTTP/2. */
struct web_conn *request_conn(const struct web_request *request);
/* Whether the end of an HTTP/1 request is certain; if not, what follows it on
 * the connection may be a part of its body. */
bool request_is_framed(const struct web_request *request);
/* Runs the gone hook and truncates the answer. */
void request_hang_up(struct web_request *request);
/* Hangs up if the caller has disconnected or has read nothing for idle_usec. */
void request_sweep(struct web_request *request, int64_t idle_usec);

/* Returns reading of an HTTP/1 connection to h2o. */
void request_unwatch(struct web_request *request);

/* In server.c: the server's list of requests. */
void server_request_add(struct web_server *server, GList *link);
void server_request_remove(struct web_server *server, GList *link);

/* In reply.c. reply_kept() is the memory of an answer that is complete and not
 * yet sent, else 0. reply_drop() truncates the answer and drops queued data. */
size_t reply_kept(const struct web_request *request);
void reply_drop(struct web_request *request);
/* Whether only the end of the connection ends the body, as for callers of
 * HTTP/1.0. */
bool reply_ends_with_connection(const struct web_request *request);
void reply_proceed(h2o_generator_t *generator, h2o_req_t *req);

#endif
