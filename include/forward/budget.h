/*
 * budget.h - how often requests may be sent to a further backend server
 *
 * DESCRIPTION
 *	All instances together may add ratio times the requests for a service
 *	plus slack sends in any window. No call is made to share that out: each
 *	instance uses the ratio of the requests that it took itself, and its
 *	part of the slack, the slack divided by the instances that it counts.
 *	It counts an instance as live for long after the last word of it, so a
 *	cut only makes budgets smaller.
 *
 *	Cost: two additions a request; the window is kept in slices.
 */
#ifndef FORWARD_BUDGET_H
#define FORWARD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct budgets;

struct budget_settings {
	double ratio;
	double slack; /* sends a window, of all instances */
	int64_t window_usec;
};

/* now is when the process began: what it sent before a restart is not known, so
 * its part of the slack grows from nothing over the first window. */
struct budgets *budgets_create(const struct budget_settings *settings,
			       int64_t now);
void budgets_destroy(struct budgets *budgets);
/* From the next call on. */
void budgets_configure(struct budgets *budgets,
		       const struct budget_settings *settings);
/* A caller's request for the service came in. */
void budget_request(struct budgets *budgets, uint64_t service, int64_t now);
/* Takes one more send; false when there is none left in the window. */
bool budget_take(struct budgets *budgets, uint64_t service, int64_t now,
		 uint32_t instances);

#endif
