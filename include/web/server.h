/*
 * server.h - HTTP/1.1 and HTTP/2 server on h2o
 *
 * DESCRIPTION
 *	A server listens on one IP address and port (port 0 picks a free one)
 *	and hands each request to the handler whose path prefix is the longest
 *	match. The handler answers at once or later, whole or in pieces. Every
 *	request ends exactly once: either the answer was sent whole or cut off
 *	by web_reply_abort(), or the caller hung up first, when the gone hook
 *	runs (both protocols; HTTP/1 needs the reader taken over, see
 *	docs/design/http.md). After the gone hook, or after the last call that
 *	ends the answer, the request pointer is invalid.
 *
 *	Limits on header size, body size, connections and slow callers are
 *	those of struct web_limits; what exceeds them gets a 4xx, except that
 *	over HTTP/2 a body too large gets its stream refused (REFUSED_STREAM),
 *	and that a connection too many is closed at once. An HTTP/1 connection
 *	has the longer of idle_usec and request_usec for both. A caller that
 *	takes no byte of its answer for idle_usec counts as hung up, and so does
 *	one that shuts down its sending side.
 */
#ifndef WEB_SERVER_H
#define WEB_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

struct error;
struct loop;
struct web_server;
struct web_request;

struct web_limits {
	size_t body_bytes;
	unsigned int connections;
	int64_t idle_usec;    /* keep-alive connection without request */
	int64_t request_usec; /* from first byte to whole request */
};

struct web_text {
	const char *data;
	size_t size;
};

/* Whether the text is that word, to the letter; false for a text of no data. */
static inline bool web_text_is(struct web_text text, const char *word)
{
	return text.data && text.size == strlen(word) &&
	       memcmp(text.data, word, text.size) == 0;
}

struct web_header {
	struct web_text name; /* lower case */
	struct web_text value;
};

typedef void (*web_handler_fn)(void *ctx, struct web_request *request);
typedef void (*web_gone_fn)(void *ctx);

/* address is "IP:port". False with RESULT_IO when it cannot be bound. */
struct web_server *web_server_create(struct loop *loop, const char *address,
				     const struct web_limits *limits,
				     struct error *err);
/* Still accepts, but asks each connection to close: "Connection: close" with
 * its next answer, or GOAWAY. */
void web_server_announce(struct web_server *server);
/* Stops listening, sends GOAWAY or "Connection: close" on what remains, and
 * closes the HTTP/1 connections on which no request waits. */
void web_server_drain(struct web_server *server);
/* Requests not yet ended. */
unsigned int web_server_pending(const struct web_server *server);
/* Closes every connection at once. */
void web_server_destroy(struct web_server *server);
/* "IP:port" as bound. */
const char *web_server_address(const struct web_server *server);
/* The prefix "/" catches the rest. Prefixes match whole path segments. */
void web_server_handle(struct web_server *server, const char *prefix,
		       web_handler_fn fn, void *ctx);

struct web_text web_request_method(const struct web_request *request);
/* Path without the query; and the query, without '?', empty when none. */
struct web_text web_request_path(const struct web_request *request);
struct web_text web_request_query(const struct web_request *request);
/* Path and query as they came. */
struct web_text web_request_target(const struct web_request *request);
struct web_text web_request_authority(const struct web_request *request);
struct web_text web_request_body(const struct web_request *request);
/* The first header of that lower-case name; size 0 and data NULL when none. */
struct web_text web_request_header(const struct web_request *request,
				   const char *name);
size_t web_request_headers(const struct web_request *request,
			   const struct web_header **headers);
/* Copies the value of a query parameter; false when it is not there. */
bool web_request_param(const struct web_request *request, const char *name,
		       char *value, size_t size);
unsigned int web_request_version(const struct web_request *request);

/* Sets what runs when the caller hangs up before the answer has ended. */
void web_request_on_gone(struct web_request *request, web_gone_fn fn,
			 void *ctx);

/* Adds an answer header; call before the answer starts. Strings are copied.
 * Connection, Content-Length, Date, Server and Transfer-Encoding are the
 * server's own and have no effect here. */
void web_reply_header(struct web_request *request, const char *name,
		      const char *value);
/* Sends a whole answer and ends the request. The body is copied. */
void web_reply(struct web_request *request, int status, const char *type,
	       const void *body, size_t size);
/* Starts an answer sent in pieces. */
void web_reply_start(struct web_request *request, int status, const char *type);
/* Queues a piece (copied); pieces queued in one turn are sent together. */
void web_reply_piece(struct web_request *request, const void *data,
		     size_t size);
/* Bytes queued and not yet taken by the socket, for back-pressure. */
size_t web_reply_queued(const struct web_request *request);
/* Ends an answer sent in pieces after what is queued. */
void web_reply_end(struct web_request *request);
/* Cuts an answer off so that the caller can tell it is not whole. */
void web_reply_abort(struct web_request *request);

#endif
