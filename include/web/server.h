/*
 * server.h - HTTP/1.1 and HTTP/2 server on h2o
 *
 * DESCRIPTION
 *	A server listens on one IP address and port (port 0 picks a free one)
 *	and hands each request to the handler whose path prefix is the longest
 *	match. The handler answers immediately or later, in one call or in
 *	pieces. Every request ends exactly once: the handler completes the
 *	answer or aborts it with web_reply_abort(), or the caller disconnects
 *	first, which runs the gone hook (for HTTP/1 the server replaces h2o's
 *	socket reader to detect this, see docs/design/http.md). After the gone
 *	hook, or the call that ends the answer, the request pointer is invalid.
 *
 *	struct web_limits limits body size, connections and slow callers; h2o
 *	limits header size. A request that exceeds a limit gets a 4xx; over
 *	HTTP/2, a body that is too large resets its stream with REFUSED_STREAM.
 *	A request whose body does not fit in bodies_bytes beside those of the
 *	others gets a 503 with Retry-After, and no handler gets it.
 *	A connection over the limit is closed immediately. On HTTP/1, the
 *	longer of idle_usec and request_usec applies to both. A caller that
 *	reads no byte of its answer for idle_usec, or shuts down its sending
 *	side, counts as disconnected.
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
	size_t bodies_bytes; /* of all large bodies; 0: no bound */
	/* Of all complete answers that callers have not read, for
	 * web_reply_make_room(); 0: no bound. */
	size_t replies_bytes;
	unsigned int connections;
	int64_t idle_usec;    /* keep-alive connection without a request */
	int64_t request_usec; /* from the first byte to the complete request */
};

struct web_text {
	const char *data;
	size_t size;
};

/* Exact, case-sensitive comparison; false when data is NULL. */
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
/* Still accepts connections, but asks each of them to close: with "Connection:
 * close" in its next answer, or GOAWAY. */
void web_server_announce_shutdown(struct web_server *server);
/* Stops listening, sends GOAWAY or "Connection: close" on open connections, and
 * closes HTTP/1 connections that wait for another request: those that have sent
 * none by now at once, the others after their answers. */
void web_server_drain(struct web_server *server);
/* Requests not yet ended. */
unsigned int web_server_pending(const struct web_server *server);
/* Closes every connection immediately. Requests that were not read yet are not
 * handled. */
void web_server_destroy(struct web_server *server);
/* "IP:port" as bound. */
const char *web_server_address(const struct web_server *server);
/* Prefixes match whole path segments; "/" matches any other path. */
void web_server_handle(struct web_server *server, const char *prefix,
		       web_handler_fn fn, void *ctx);

struct web_text web_request_method(const struct web_request *request);
/* The path without the query, and the query without '?' (empty if none). */
struct web_text web_request_path(const struct web_request *request);
struct web_text web_request_query(const struct web_request *request);
/* Path and query as received. */
struct web_text web_request_target(const struct web_request *request);
struct web_text web_request_authority(const struct web_request *request);
struct web_text web_request_body(const struct web_request *request);
/* The first header with the lower-case name; data is NULL when there is none.
 */
struct web_text web_request_header(const struct web_request *request,
				   const char *name);
size_t web_request_headers(const struct web_request *request,
			   const struct web_header **headers);
/* Copies the decoded value of a query parameter; false when the parameter is
 * absent or its value does not fit. */
bool web_request_param(const struct web_request *request, const char *name,
		       char *value, size_t size);
unsigned int web_request_version(const struct web_request *request);

/* Sets the hook that runs if the caller disconnects before the answer ends. */
void web_request_on_gone(struct web_request *request, web_gone_fn fn,
			 void *ctx);

/* Adds an answer header; call before the answer starts. Strings are copied.
 * Connection, Content-Length, Date, Server and Transfer-Encoding are ignored,
 * since the server sets them itself. */
void web_reply_header(struct web_request *request, const char *name,
		      const char *value);
/* Makes room for a complete answer of that size, which is kept until its caller
 * has read it, by truncating answers that callers have not read in ten seconds.
 * False if there is none. Small answers and a single one always have room. */
bool web_reply_make_room(struct web_request *request, size_t size);
/* Sends a complete answer and ends the request. The body is copied. */
void web_reply(struct web_request *request, int status, const char *type,
	       const void *body, size_t size);
/* Starts an answer sent in pieces. */
void web_reply_start(struct web_request *request, int status, const char *type);
/* Queues a copy of a piece; pieces queued in one iteration of the event loop
 * are sent together. */
void web_reply_piece(struct web_request *request, const void *data,
		     size_t size);
/* Bytes queued and not yet written to the socket, for back-pressure. */
size_t web_reply_queued(const struct web_request *request);
/* Ends an answer sent in pieces once the queued pieces are sent. */
void web_reply_end(struct web_request *request);
/* Truncates an answer in a way that the caller can detect. */
void web_reply_abort(struct web_request *request);

#endif
