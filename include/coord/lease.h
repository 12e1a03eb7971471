/*
 * lease.h - leases on the log, whose offsets fence orders to engines
 *
 * DESCRIPTION
 *	A lease names one holder for a task (an order to an engine, a role
 *	change). It is taken by appending to the stream "leases"; the first
 *	record after the former lease's end wins, and its offset plus one is the
 *	fencing number. A holder stops acting margin before its lease ends by
 *	its own clock; a taker waits term + margin after it first read the
 *	former record. Engines that check refuse an older number; for those that
 *	do not, the next holder waits out term + margin + order timeout.
 */
#ifndef COORD_LEASE_H
#define COORD_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/id.h"
#include "coord/log_store.h"

#define LEASE_TERM_USEC (10 * USEC_PER_SEC)
#define LEASE_MARGIN_USEC (1 * USEC_PER_SEC)

struct lease_ops {
	/* fence rises with each holder, never with a renewal by the same. */
	void (*taken)(void *ctx, uint64_t task, uint64_t fence);
	/* The lease is lost or about to end: start nothing more under it. */
	void (*lost)(void *ctx, uint64_t task);
};

struct leases;

struct leases *leases_create(struct clock *clock, const struct owner *self,
			     const struct log_store *store,
			     const struct lease_ops *ops, void *ctx);
void leases_destroy(struct leases *leases);
/* Keeps trying to take and renew the task's lease until given up. */
void lease_want(struct leases *leases, uint64_t task);
void lease_give_up(struct leases *leases, uint64_t task);
/* Whether the lease is held now, by this process's own clock. */
bool lease_valid(const struct leases *leases, uint64_t task, uint64_t *fence);

#endif
