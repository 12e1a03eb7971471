/*
 * client.h - HTTP/1.1 client on h2o, with a pool of keep-alive connections
 *
 * DESCRIPTION
 *	web_call() sends one request and reports its answer through callbacks:
 *	head once, body any number of times, then done exactly once unless
 *	web_call_cancel() came first. No callback runs before web_call()
 *	returns, nor after done or a cancel. Cancelling closes the connection.
 *	With a relay the request is sent only after the relay has reported
 *	that it is connected to the server; connect_usec covers both steps.
 *	The client never retries: a call on a pooled connection that the server
 *	has closed fails with sent = true, unless no byte was written.
 *
 *	Answers are bounded: a head, with the informational ones before it, is
 *	at most WEB_HEAD_BYTES_MAX bytes long and arrives within
 *	WEB_HEAD_RECEIVE_USEC of its first byte; the framing of chunks is at
 *	most WEB_FRAME_BYTES_MAX bytes and 16 times the body so far, and does
 *	not count as progress for idle_usec. A call beyond a bound fails with
 *	rejected = true, and its connection is closed at once.
 */
#ifndef WEB_CLIENT_H
#define WEB_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "web/server.h"

struct web_client;
struct web_call;

/* Heads of known backend servers have less than 2 KB. With 200 heads at once
 * this is 6.4 MB. */
#define WEB_HEAD_BYTES_MAX ((size_t)32 << 10)
/* Servers send a head in one piece; this covers retransmissions. */
#define WEB_HEAD_RECEIVE_USEC INT64_C(1000000)
#define WEB_FRAME_BYTES_MAX ((size_t)16 << 10)

/* What ended the body of a whole answer. */
enum web_body_end {
	WEB_BODY_SIZED,	 /* its length, or it has none */
	WEB_BODY_CHUNKS, /* the last chunk */
	WEB_BODY_CLOSED, /* its connection, in order: the kernel closes the
			    connections of a process that was killed alike */
};

/* How a call ended. */
struct web_result {
	bool ok;   /* the whole answer arrived */
	bool sent; /* at least one byte may have reached the server */
	bool timed_out;
	/* The server sent more, or for longer, than an answer may: see
	 * web_call(). Its connection was closed by this side. */
	bool rejected;
	/* Of a call through a relay: the status of the relay's answer, 101 when
	 * it has joined the connections; 0: no answer, or no relay. */
	int relay_status;
	enum web_body_end body_end; /* when ok */
	const char *text;	    /* reason when not ok */
};

struct web_call_ops {
	/* May be NULL. Headers are valid during the call. */
	void (*head)(void *ctx, int status, const struct web_header *headers,
		     size_t count);
	/* May be NULL. */
	void (*body)(void *ctx, const void *data, size_t size);
	void (*done)(void *ctx, const struct web_result *result);
};

struct web_call_spec {
	const char *address; /* "IP:port" */
	const char *method;
	const char *path;     /* with query */
	struct web_text host; /* empty: the address */
	const struct web_header
		*headers; /* the client adds host and content-length */
	size_t header_count;
	const void *body; /* copied */
	size_t body_size;
	int64_t connect_usec; /* time to connect; 0: default */
	int64_t head_usec;    /* time to the answer's head; 0: default */
	int64_t idle_usec;    /* time between pieces of the body; 0: default */
	int64_t body_usec;    /* time from the head to the end of the body, for
				 answers that are short; 0: no limit */
	bool fresh; /* open a new connection, for calls that run at most once */
	/* "IP:port" of a server that opens the connection on behalf of this
	 * client, and the path to request it there (web/relay.h); NULL: connect
	 * directly. Such a connection is always a new one. */
	const char *relay;
	const char *relay_path;
};

struct web_client *web_client_create(struct loop *loop);
void web_client_destroy(struct web_client *client);
/* Never NULL; failures are reported through done. */
struct web_call *web_call(struct web_client *client,
			  const struct web_call_spec *spec,
			  const struct web_call_ops *ops, void *ctx);
void web_call_cancel(struct web_call *call);
/* Releases data after the call's last callback or its cancellation. */
void web_call_attach(struct web_call *call, void *data,
		     void (*release)(void *data));

/* Collects the whole answer; fails as rejected when it exceeds limit bytes. */
typedef void (*web_answer_fn)(void *ctx, const struct web_result *result,
			      int status, const void *body, size_t size);
struct web_call *web_fetch(struct web_client *client,
			   const struct web_call_spec *spec, size_t limit,
			   web_answer_fn fn, void *ctx);
/* Like web_fetch(); also calls head when the answer's head arrives. */
typedef void (*web_head_fn)(void *ctx, int status,
			    const struct web_header *headers, size_t count);
struct web_call *web_fetch_head(struct web_client *client,
				const struct web_call_spec *spec, size_t limit,
				web_head_fn head, web_answer_fn fn, void *ctx);

#endif
