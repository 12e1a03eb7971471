/*
 * retry.h - retry budgets, backoff with jitter, and circuits
 *
 * DESCRIPTION
 *	A budget allows retries as a share of requests (a token bucket that each
 *	request fills a little), so an outage cannot double the load. A circuit
 *opens after consecutive failures, then lets one trial through after a backoff
 *that doubles, with jitter.
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

/* Full jitter between half of and all of base * 2^attempt, at most max. */
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
	uint32_t opened; /* times in a row, for the backoff */
	int64_t until;
};

/* Whether a call may be made now; takes the one trial when it is due. */
bool circuit_allow(struct circuit *circuit, int64_t now);
void circuit_success(struct circuit *circuit);
void circuit_failure(struct circuit *circuit, GRand *rand, int64_t now);

#endif
