/*
 * lease.h - leases on the log, whose offsets fence orders to engines
 *
 * DESCRIPTION
 *	A lease names one holder for a task (an order to an engine, a role
 *	change). It is taken by appending to the stream "leases": a record is
 *	valid when its author had read every record of the task before it, and
 *	its offset plus one is the fencing number. A holder stops acting
 *	LEASE_MARGIN_USEC before its term ends, counted by its own clock from
 *	before it called the log; a taker waits LEASE_TERM_USEC plus
 *	LEASE_MARGIN_USEC after it first read the former record. Each clock may
 *run wrong by a twentieth. The former holder may have stood still: engines that
 *check refuse an order with an older number; for those that do not, the next
 *holder also waits out the order's timeout.
 *
 *	An answer of the log decides nothing; records are read back, and
 *	repeated when they are not. While the log is down, leases run out.
 *
 *	An order under a lease is to be sent in the turn of the loop in which
 *	lease_valid() was asked.
 *
 * SEE ALSO
 *	docs/design/leases.md; Gray and Cheriton, "Leases", SOSP 1989
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
/* Another term than LEASE_TERM_USEC, the same for all that share the log, at
 * least twice the margin; to be set before a lease is wanted. */
void leases_set_term(struct leases *leases, int64_t term_us);
/* Keeps trying to take and renew the task's lease until given up. */
void lease_acquire(struct leases *leases, uint64_t task);
/* The same for an engine that does not check fencing numbers: an order takes
 * effect within order_timeout_us of being sent, or not at all. */
void lease_acquire_unfenced(struct leases *leases, uint64_t task,
			    int64_t order_timeout_us);
/* Ends it with no further call of lost(). The next holder does not wait for the
 * term; where the engine does not check fencing numbers, it does wait for the
 * order's timeout. */
void lease_release(struct leases *leases, uint64_t task);
/* Whether the lease is held now, by this process's own clock. */
bool lease_valid(const struct leases *leases, uint64_t task, uint64_t *fence);

#endif
