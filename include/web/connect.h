/*
 * connect.h - a TCP connection without a protocol
 *
 * DESCRIPTION
 *	web_connect() connects to an address and reports the result through fn,
 *	exactly once and never before it returns, unless web_connect_cancel()
 *	came first. The connection then belongs to the receiver, which closes it
 *	with web_connection_close() or passes it to web_relay_join().
 */
#ifndef WEB_CONNECT_H
#define WEB_CONNECT_H

#include <stdint.h>

struct loop;
struct web_connect;    /* an attempt in progress */
struct web_connection; /* an open connection */

enum web_connect_result {
	WEB_CONNECTED,
	WEB_CONNECT_REFUSED,   /* nothing listens there, or it cannot be routed
				  to */
	WEB_CONNECT_TIMED_OUT, /* no reply */
};

/* connection is NULL unless the result is WEB_CONNECTED. */
typedef void (*web_connect_fn)(void *ctx, enum web_connect_result result,
			       struct web_connection *connection);

/* address is "IP:port". */
struct web_connect *web_connect(struct loop *loop, const char *address,
				int64_t timeout_usec, web_connect_fn fn,
				void *ctx);
void web_connect_cancel(struct web_connect *connect);
void web_connection_close(struct web_connection *connection);

#endif
