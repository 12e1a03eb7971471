/* Runs an event loop on the system clock until a condition holds. */
#ifndef TESTS_ENTRY_RUN_H
#define TESTS_ENTRY_RUN_H

#include <stdbool.h>

#include "common/clock.h"
#include "common/counter.h"
#include "web/loop.h"

struct run {
	struct clock *clock;
	struct loop *loop;
	struct counter_set *counters;
	struct timer poll;
	bool (*condition)(void *ctx);
	void *ctx;
	int64_t deadline;
	bool met; /* the condition became true */
};

void run_setup(struct run *run);
void run_teardown(struct run *run);
/* False when the condition did not hold within five seconds. */
bool run_until(struct run *run, bool (*condition)(void *ctx), void *ctx);
/* Runs the loop for usec. */
void run_for(struct run *run, int64_t usec);
/* The value of the counter of this name and labels. */
int64_t run_counter(struct run *run, const char *name, const char *labels);

#endif
