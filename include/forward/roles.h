/*
 * roles.h - how many runners of a service prefill, how many decode
 *
 * DESCRIPTION
 *	One instance decides, the one with the lowest name of those live that
 *	reach the store, and it orders only under a lease on the platform's log,
 *	whose offset fences the order (coord/lease.h). It holds the lease as
 *long as it decides, since a new holder waits for what orders of the former may
 *	still do.
 *
 *	The prefill runners wanted are those that read the prompts asked for at
 *	1.25 to 2.4 times the mean rate; while nothing was asked for yet, a
 *	fixed part of all. A change must be wanted for half a minute once there
 *	is traffic, but for three seconds where runners were lost and those left
 *	cannot read the mean demand. Until the list shows a server in its new
 *	role, instances tell each other to send it nothing more in the old one.
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
	/* Whether this instance is the one that decides. */
	bool (*decides)(void *ctx);
	/* Prompt tokens a second asked for at all instances. */
	double (*demand)(void *ctx);
	/* Prompt tokens a second that one prefill server reads. */
	double (*prefill_rate)(void *ctx);
	const struct catalog *(*catalog)(void *ctx);
};

struct roles_parts {
	struct clock *clock;
	struct fleet *fleet;
	struct log_store log;
	struct backend_ops backends;
	const char *name; /* of this instance: the holder of its orders */
	uint64_t boot;
	struct roles_ops ops;
	void *ctx;
};

struct roles *roles_create(const struct roles_parts *parts);
void roles_destroy(struct roles *roles);

/* The servers that this instance has ordered to change and that the list does
 * not show in their new role yet, at most so many; returns how many. */
uint32_t roles_pending_changes(const struct roles *roles,
			       struct backend_change *moves, uint32_t most);
/* How many of the prefill runners are to become decode runners, or with a minus
 * the other way. rate is the demand, capacity what one runner reads, both in
 * tokens a second; rate 0: not known yet. */
int32_t roles_prefill_surplus(uint32_t prefill, uint32_t total, double rate,
			      double capacity);

#endif
