/*
 * targets.h - chooses the entry instance for a call, as a load balancer would
 *
 * DESCRIPTION
 *	Chooses at random among the healthy targets, or among all if none is
 *	healthy or no health addresses were given. Polls the health of each
 *	target every TARGETS_HEALTH_INTERVAL_USEC, with a timeout of the same
 *	length.
 */
#ifndef LOAD_TARGETS_H
#define LOAD_TARGETS_H

#include <stdint.h>

#include "common/clock.h"

#define TARGETS_HEALTH_INTERVAL_USEC (200 * USEC_PER_MSEC)

struct targets;
struct web_client;

/* Addresses must outlive the targets; health may be NULL. */
struct targets *targets_create(struct web_client *client, struct clock *clock,
			       const char *const *addresses,
			       const char *const *health, unsigned int count,
			       uint32_t seed);
void targets_destroy(struct targets *targets);
/* Prefers a healthy target other than last, which may be NULL. */
const char *targets_pick(struct targets *targets, const char *last);

#endif
