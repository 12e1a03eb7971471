/*
 * roles.h - decides how many runners of a service prefill and how many decode
 *
 * DESCRIPTION
 *	One instance decides: the one with the lowest name among the live
 *	instances that reach the store. It orders changes only under a lease on
 *	the platform's log, whose offset fences the order (coord/lease.h). It
 *	holds the lease for as long as it decides, because a new holder must
 *	wait for orders of the previous one that may still arrive.
 *
 *	The prefill runners must process the demanded prompt tokens at 1.25 to
 *	2.4 times the mean rate. While the demand is unknown, a fixed part of
 *	all runners prefills. Once there is traffic, a change must be wanted for
 *	30 s, or for 3 s where runners were lost and the remaining ones cannot
 *	keep up with the mean demand. Until the list shows a server in its new
 *	role, instances tell each other not to send it requests for the old one.
 *
 * SEE ALSO
 *	docs/design/roles.md; docs/design/platform.md
 */
#ifndef FORWARD_ROLES_H
#define FORWARD_ROLES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coord/log_store.h"
#include "forward/backend.h"
#include "forward/catalog.h"
#include "forward/fleet.h"

struct roles;

struct roles_ops {
	/* Whether this instance decides the roles for the site. */
	bool (*decides)(void *ctx);
	/* Demand at all instances, in prompt tokens a second. */
	double (*demand)(void *ctx);
	/* Prompt tokens a second that one prefill server processes. */
	double (*prefill_rate)(void *ctx);
	const struct catalog *(*catalog)(void *ctx);
};

struct roles_parts {
	struct clock *clock;
	struct fleet *fleet;
	struct log_store log;
	struct backend_ops backends;
	const char *name; /* of this instance, the holder named in its orders */
	uint64_t boot;
	struct roles_ops ops;
	void *ctx;
};

struct roles *roles_create(const struct roles_parts *parts);
void roles_destroy(struct roles *roles);

/* Copies up to max servers that this instance has ordered to change their
 * role and that the list does not yet show in the new one. Returns their
 * number. */
uint32_t roles_pending_changes(const struct roles *roles,
			       struct backend_change *changes, uint32_t max);
/* Number of prefill runners beyond those that are needed; negative when that
 * many are missing. rate is the demand and capacity what one runner prefills,
 * both in prompt tokens a second. A rate of 0 means that the demand is not
 * known yet. */
int32_t roles_prefill_surplus(uint32_t prefill, uint32_t total, double rate,
			      double capacity);

#endif
