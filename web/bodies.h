/*
 * bodies.h - bound on the memory of the bodies that a server holds
 *
 * DESCRIPTION
 *	h2o stores a whole body before the handler gets its request. Each body
 *	over BODY_SMALL_MAX takes its announced size from max bytes, until its
 *	answer has been sent or its connection closes; one without an announced
 *	size takes body_max. A request whose body does not fit is answered with
 *	503 and has not been handled. On HTTP/1 that happens before the body has
 *	arrived: the rest is read and dropped, as a connection that is closed
 *	with unread input is reset, and the answer could be lost. On HTTP/2 the
 *	body has been received by then.
 */
#ifndef WEB_BODIES_H
#define WEB_BODIES_H

#include <glib.h>
#include <stdbool.h>

#include "web/loop.h"
#include "web/server.h"

/* Bytes of input, with the head, that are not counted. */
#define BODY_SMALL_MAX ((size_t)16 << 10)

struct web_request;

struct bodies {
	struct loop *loop;
	const GQueue *conns; /* struct web_conn */
	struct loop_observer observer;
	size_t max; /* 0: no bound */
	size_t body_max;
	size_t reserved;
	int64_t checked_at;
};

void bodies_init(struct bodies *bodies, struct loop *loop,
		 const struct web_limits *limits, const GQueue *conns);
void bodies_clear(struct bodies *bodies);
/* Reserves the body of a complete request, in place of what its connection has
 * reserved for it; false when it does not fit. */
bool bodies_admit(struct bodies *bodies, struct web_request *request);
/* Answers a request that was not admitted. */
void bodies_refuse(struct web_request *request);
/* Releases a reservation, and sets it to 0. */
void bodies_release(struct bodies *bodies, size_t *reserved);

#endif
