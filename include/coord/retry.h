/*
 * retry.h - retry budgets, backoff with jitter, and circuit breakers
 *
 * DESCRIPTION
 *	A budget allows retries in proportion to requests (a token bucket that
 *	each request fills by a fraction), so an outage cannot double the load.
 *	A circuit breaker opens after consecutive failures, and lets one probe
 *	through after a backoff that doubles, with jitter.
 */
#ifndef COORD_RETRY_H
#define COORD_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct retry_budget {
	double tokens;
	double per_request;
	double max;
};

void retry_budget_init(struct retry_budget *budget, uint32_t percent,
		       double max);
void retry_budget_request(struct retry_budget *budget);
/* Takes one retry; false when the budget is spent. */
bool retry_budget_take(struct retry_budget *budget);

/* A delay drawn uniformly between half of and all of base * 2^attempt, which is
 * capped at max. */
int64_t retry_backoff(GRand *rand, uint32_t attempt, int64_t base_us,
		      int64_t max_us);

enum circuit_state {
	CIRCUIT_CLOSED,
	CIRCUIT_OPEN,
	CIRCUIT_HALF_OPEN,
};

struct circuit {
	enum circuit_state state;
	uint32_t failures;
	uint32_t opened; /* consecutive times, for the backoff */
	int64_t until;	 /* when the next probe is allowed */
};

/* Whether a call may be made now. An open circuit becomes half-open when its
 * probe is due, and the call is that probe. */
bool circuit_allow(struct circuit *circuit, int64_t now);
void circuit_success(struct circuit *circuit);
void circuit_failure(struct circuit *circuit, GRand *rand, int64_t now);

#endif
