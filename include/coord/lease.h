/*
 * lease.h - leases on the log, whose offsets fence orders to engines
 *
 * DESCRIPTION
 *	A lease gives one holder at a time a task: to send orders to an engine,
 *	or to change roles. It is taken by appending a record to the stream
 *	"leases". A record is valid when its author had read every earlier
 *	record of the task. The offset of the take plus one is the fencing
 *	number.
 *
 *	A holder stops acting LEASE_MARGIN_USEC before its term ends, counted by
 *	its own clock from before it appended the record. Another instance takes
 *	the lease LEASE_TERM_USEC plus LEASE_MARGIN_USEC after it read the
 *	holder's last record. This holds while each clock runs at most 5 % fast
 *	or slow.
 *
 *	A holder that was paused may send an order after its lease has expired.
 *	Engines that check fencing numbers refuse an order with a lower number.
 *	For engines that do not, the next holder also waits for the timeout of
 *	an order.
 *
 *	The result of an append is ignored: a record takes effect once it has
 *	been read back, and until then the append is retried with a backoff.
 *	While the log is down no lease can be renewed, so all expire.
 *
 *	An order under a lease must be sent in the iteration of the event loop
 *	in which lease_valid() returned true.
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
	/* fence rises with each new holder; a renewal leaves it as it is. */
	void (*taken)(void *ctx, uint64_t task, uint64_t fence);
	/* The lease is lost or about to expire: start no more work under it. */
	void (*lost)(void *ctx, uint64_t task);
};

struct leases;

struct leases *leases_create(struct clock *clock, const struct owner *self,
			     const struct log_store *store,
			     const struct lease_ops *ops, void *ctx);
void leases_destroy(struct leases *leases);
/* Replaces LEASE_TERM_USEC; a term below twice LEASE_MARGIN_USEC is raised to
 * that. All users of the log must set the same term before they acquire a
 * lease. */
void leases_set_term(struct leases *leases, int64_t term_us);
/* Takes and renews the task's lease, with retries, until lease_release(). */
void lease_acquire(struct leases *leases, uint64_t task);
/* As lease_acquire(), for engines that do not check fencing numbers. An order
 * must take effect within order_timeout_us of being sent, or never. */
void lease_acquire_unfenced(struct leases *leases, uint64_t task,
			    int64_t order_timeout_us);
/* Releases the lease; lost() is not called for it. The next holder need not
 * wait for the term, but an unfenced one waits for the order's timeout. */
void lease_release(struct leases *leases, uint64_t task);
/* Whether the lease is held now, by this process's clock. */
bool lease_valid(const struct leases *leases, uint64_t task, uint64_t *fence);

#endif
