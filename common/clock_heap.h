/*
 * clock_heap.h - the clock and its heap of running timers, for clock.c and
 * timer.c
 */
#ifndef COMMON_CLOCK_HEAP_H
#define COMMON_CLOCK_HEAP_H

#include <glib.h>

#include "common/clock.h"

struct clock {
	int64_t now;
	int64_t unix_zero;   /* wall-clock time at zero */
	int64_t system_zero; /* CLOCK_BOOTTIME at zero */
	uint64_t starts;     /* timers started so far */
	GPtrArray *heap; /* struct timer, a binary heap; the first to fire is at
			    0 */
};

/* Returns the next timer to fire, or NULL. */
struct timer *clock_first(const struct clock *clock);

#endif
