/*
 * budget.h - retry budget: limits additional sends of a request
 *
 * DESCRIPTION
 *	All instances together may add ratio times the requests for a service
 *	plus slack sends in any window. Instances do not coordinate: each uses
 *	the ratio of the requests that it received itself, and an equal share of
 *	the slack, which is divided by the number of known instances. An
 *	instance stays in that number for long after its last message, so a
 *	partition only makes budgets smaller.
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
	double slack; /* sends per window, of all instances */
	int64_t window_usec;
};

/* now is the start of the process: sends before a restart are not known, so its
 * share of the slack grows from 0 over the first window. */
struct budgets *budgets_create(const struct budget_settings *settings,
			       int64_t now);
void budgets_destroy(struct budgets *budgets);
/* Takes effect from the next call on. */
void budgets_configure(struct budgets *budgets,
		       const struct budget_settings *settings);
/* Counts a caller's request for the service. */
void budget_request(struct budgets *budgets, uint64_t service, int64_t now);
/* Takes one additional send; false when none is left in the window. */
bool budget_take(struct budgets *budgets, uint64_t service, int64_t now,
		 uint32_t instances);

#endif
