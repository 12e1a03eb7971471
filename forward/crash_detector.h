/*
 * crash_detector.h - whether a server that broke off a request has crashed
 *
 * DESCRIPTION
 *	A connection lost in the middle of a request may mean that the server
 *	has crashed, or only that the connection failed: a reset, a network
 *	partition, a corrupt answer. The detector sends a health check on a new
 *	connection, and again through another instance if that is refused. The
 *	server has crashed if nothing listens at its address as seen from there,
 *	if another incarnation answers or is listed, or if the list has dropped
 *	it and it does not answer. It has not if it answers, and a server that
 *	was leaving is not checked. A check without a result is repeated for
 *	fleet_unlisting_usec(); after that nothing is reported. A server that
 *	refused a check and answers the next has crashed if the list drops it by
 *then: another incarnation answers at its address.
 *
 *	Requests lost at one incarnation of a server share one check.
 */
#ifndef FORWARD_CRASH_DETECTOR_H
#define FORWARD_CRASH_DETECTOR_H

#include "common/address.h"
#include "coord/suspects.h"
#include "forward/backend.h"
#include "forward/fleet.h"

struct crash_detector;

/* The incarnation of the server crashed while it ran a request. */
typedef void (*crash_fn)(void *ctx, const struct backend_info *server,
			 const struct suspects *suspects);

struct crash_detector_parts {
	struct clock *clock;
	const struct fleet *fleet;
	const struct backend_ops *backends; /* must outlive the detector */
	crash_fn fn;
	/* As relay_choose of struct forward_parts. */
	bool (*relay_choose)(void *ctx, const struct backend_info *to,
			     char relay[ADDRESS_TEXT_MAX]);
	void *ctx;
};

struct crash_detector *
crash_detector_create(const struct crash_detector_parts *parts);
/* Cancels checks in flight. */
void crash_detector_destroy(struct crash_detector *detector);
/* To be called when the request has lost its connection to the server.
 * health_path is the service's. */
void crash_detector_check(struct crash_detector *detector,
			  const struct backend_info *server,
			  const char *health_path,
			  const struct suspects *suspects);

#endif
