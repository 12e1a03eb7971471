/*
 * targets.h - the entry instances that calls go to, as a balancer chooses them
 *
 * DESCRIPTION
 *	One is drawn at random among those whose health is good; among all when
 *	none is, or when no health addresses were given. Health is asked every
 *	TARGETS_HEALTH_USEC with a time-out of the same.
 */
#ifndef LOAD_TARGETS_H
#define LOAD_TARGETS_H

#include <stdint.h>

#include "common/clock.h"

#define TARGETS_HEALTH_USEC (200 * USEC_PER_MSEC)

struct targets;
struct web_client;

/* Addresses must outlive the targets; health may be NULL. */
struct targets *targets_create(struct web_client *client, struct clock *clock,
			       const char *const *addresses,
			       const char *const *health, unsigned int count,
			       uint32_t seed);
void targets_destroy(struct targets *targets);
/* Another than last, when there is one. */
const char *targets_draw(struct targets *targets, const char *last);

#endif
