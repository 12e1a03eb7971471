/*
 * cost.h - predicts the cost of a request from earlier ones of its kind
 *
 * DESCRIPTION
 *	For streams whose callers estimate the output badly, and for requests
 *	without an estimate. A kind of request is a key, such as a route and an
 *	organisation. A cost is any positive number, of the same unit for all
 *	requests of a key: output tokens, or microseconds.
 *
 *	Of each key a running median of cost / estimate is kept, and one of the
 *	cost for requests without an estimate. The prediction is the estimate
 *	times the former, or the latter. The mean absolute errors of the
 *	logarithm of both the estimate and the prediction are kept as well, and
 *	the prediction is used only once it is known to be the better one. Each
 *	error is measured before the request is learnt from.
 *
 *	At most COSTS_MAX keys are kept, at about 100 bytes each; the least
 *	recently added to is evicted. An estimate or cost that is not finite and
 *	positive counts as missing; nothing fails.
 */
#ifndef SCHED_COST_H
#define SCHED_COST_H

#include <stdint.h>

#define COSTS_MAX 1024u

struct costs;

/* Of one key. An error of 0.7 is a factor of 2. */
struct cost_errors {
	uint32_t samples; /* with an estimate */
	double estimate;
	double prediction;
};

struct costs *costs_create(void);
void costs_destroy(struct costs *costs);
/* A request has cost came_to; estimate is that of its caller, 0 without one. */
void costs_add(struct costs *costs, uint64_t key, double estimate,
	       double came_to);
/* The estimate itself while nothing better is known; 0 when nothing is. */
double costs_predict(const struct costs *costs, uint64_t key, double estimate);
/* All zero for an unknown key. */
void costs_errors(const struct costs *costs, uint64_t key,
		  struct cost_errors *errors);

#endif
