/*
 * patience.h - how long an instance waits for the dispatcher of a service
 *
 * DESCRIPTION
 *	The caller's side of dispatch.h: one struct per service. A dispatcher
 *	that does not answer in time, because it is gone, frozen or partitioned,
 *	or because a datagram was lost, is not asked for PATIENCE_SILENT_USEC;
 *	then one call probes it. All zero is the initial state. Times are in
 *	microseconds.
 */
#ifndef SCHED_PATIENCE_H
#define SCHED_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

/* Wait for an answer, beyond the recent wait in the queue: several round trips
 * between data centres, of 1 to 3 ms each. */
#define PATIENCE_USEC INT64_C(25000)
/* Longest wait; also at most half of the time until the target, so that the
 * call can still be in time without a grant. */
#define PATIENCE_MAX_USEC INT64_C(100000)
#define PATIENCE_SILENT_USEC INT64_C(300000)

struct patience {
	int64_t silent_until;
	int64_t queued_usec; /* wait in the queue by the last answer */
};

/* Whether the next call may ask. After a silence this makes it the probe: until
 * it is answered, no other may. */
bool patience_may_ask(struct patience *patience, int64_t now);
/* Wait for the first answer. */
int64_t patience_first(const struct patience *patience, int64_t target_usec);
/* Longest wait of a call that the dispatcher has put into its queue. */
int64_t patience_longest(int64_t target_usec);
/* An answer came; queued_usec: time in the queue, -1 when not known. */
void patience_answered(struct patience *patience, int64_t queued_usec);
void patience_silent(struct patience *patience, int64_t now);

#endif
