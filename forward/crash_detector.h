/*
 * crash_detector.h - whether a server that broke off a request has ended
 *
 * DESCRIPTION
 *	A connection that is lost in the middle of a request may mean that the
 *	server has ended, or only that the connection has: a reset, a cut link,
 *	a spoilt answer. So the server is asked for its health on a new
 *	connection. It has ended if nothing listens there any more, if another
 *	life answers or is listed, or if the list has dropped it and it does not
 *	answer. An answer clears it, and so does that it was leaving anyway.
 *	One that cannot be reached is asked again for CRASH_WATCH_USEC; if
 *	nothing is sure by then, nothing is held against the request.
 *
 *	Requests lost at one life of a server share one check.
 */
#ifndef FORWARD_CRASH_DETECTOR_H
#define FORWARD_CRASH_DETECTOR_H

#include "coord/fingerprint.h"
#include "forward/backend.h"
#include "forward/fleet.h"

/* A server that has fallen silent leaves the list three heartbeats, some four
 * seconds, after its last one. */
#define CRASH_WATCH_USEC (6 * USEC_PER_SEC)

struct crash_detector;

/* A request as it is known to coord/quarantine.h. */
struct request_identity {
	struct request_fingerprint fingerprint;
	uint64_t keyed_hash;
};

/* The life of the server ended while it ran the work. */
typedef void (*crash_fn)(void *ctx, const struct backend_info *server,
			 const struct request_identity *identity);

struct crash_detector_parts {
	struct clock *clock;
	const struct fleet *fleet;
	const struct backend_ops *backends; /* must outlive it */
	crash_fn fn;
	void *ctx;
};

struct crash_detector *
crash_detector_create(const struct crash_detector_parts *parts);
/* Checks under way are given up. */
void crash_detector_destroy(struct crash_detector *detector);
/* A request of that work lost its connection to the server. health_path is the
 * service's. */
void crash_detector_check(struct crash_detector *detector,
			  const struct backend_info *server,
			  const char *health_path,
			  const struct request_identity *identity);

#endif
