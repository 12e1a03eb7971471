/*
 * request.h - a request inside the server
 *
 * DESCRIPTION
 *	A request lives in h2o's memory pool and dies with it. Its owner, the
 *	handler's side, may use it until the answer has ended or the caller has
 *	gone; the rest of its life is the server's. All sends are deferred to
 *	the end of the turn, so that no call of the owner frees a request.
 */
#ifndef WEB_REQUEST_H
#define WEB_REQUEST_H

#include <glib.h>

#include "web/loop.h"
#include "web/server.h"

struct web_request {
	h2o_generator_t generator; /* first: h2o hands it back */
	h2o_req_t *req;
	struct web_server *server;
	struct loop *loop;
	GList link; /* in the server's requests */
	struct loop_deferred flush;
	web_gone_fn gone_fn;
	void *gone_ctx;
	GByteArray *queue;  /* not yet given to h2o */
	GByteArray *flight; /* being sent, from offset on */
	size_t offset;
	size_t slice;	    /* bytes of flight that h2o holds now */
	int64_t since;	    /* when h2o got the slice */
	h2o_socket_t *sock; /* HTTP/1 only: watched for a hang-up */
	struct web_header *headers;
	bool watched;
	bool started;  /* the head is decided */
	bool bodiless; /* HEAD, or a status that has no body */
	bool opened;   /* the head was given to h2o */
	bool sending;  /* h2o holds a slice */
	bool ended;    /* the owner is done with it, or was told it is gone */
	bool cut;      /* to be ended short */
	bool final;    /* h2o has got the last of it */
};

/* An accepted connection; found through its socket's close hook, since h2o
 * owns the socket's data pointer. */
struct web_conn {
	struct web_server *server;
	h2o_socket_t *sock;
	GList link;
	struct web_request *request; /* HTTP/1 only: the one that waits */
	bool http1;		     /* had an HTTP/1 request last */
};

struct web_request *web_request_create(struct web_server *server,
				       struct loop *loop, h2o_req_t *req);
/* Tells the owner that the caller has gone, and cuts the answer off. */
void request_hang_up(struct web_request *request);
/* Hangs up when the caller has gone, or has taken nothing for idle_usec. */
void request_sweep(struct web_request *request, int64_t idle_usec);

/* Gives the reader of an HTTP/1 connection back to h2o. */
void request_unwatch(struct web_request *request);

/* Of server.c: keep count of the requests. */
void server_request_add(struct web_server *server, GList *link);
void server_request_remove(struct web_server *server, GList *link);

/* Of reply.c. reply_drop() cuts the answer off and drops what is queued. */
void reply_drop(struct web_request *request);
void reply_proceed(h2o_generator_t *generator, h2o_req_t *req);

#endif
