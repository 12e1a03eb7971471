/*
 * limit.h - request rates per organisation and service, shared by instances
 *
 * DESCRIPTION
 *	A token bucket for each pair of organisation and service, in a table of
 *	bounded size: the pair used longest ago is forgotten first, which gives
 *	it a full bucket again. Each instance allows its share of a rate, the
 *	rate divided by the number of live instances, so no call asks another
 *	instance; the platform's balancer spreads callers evenly. A bucket holds
 *	LIMIT_BURST_SEC of the share and at least one request.
 *
 *	Cost: one hash look-up a request; 64 bytes a pair.
 */
#ifndef COORD_LIMIT_H
#define COORD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#define LIMIT_BURST_SEC 2.0
#define LIMIT_PAIRS_MAX 65536u

struct limits;

/* pairs_max bounds the table; 0 takes LIMIT_PAIRS_MAX. */
struct limits *limits_create(uint32_t pairs_max);
void limits_destroy(struct limits *limits);
/* Takes one request from the pair's bucket. rate is in requests a second over
 * the whole site, 0 for no limit; instances is the number that share it. When
 * false, retry_after tells in how many microseconds one will be allowed. */
bool limit_take(struct limits *limits, int64_t now, uint64_t pair, double rate,
		uint32_t instances, int64_t *retry_after);
/* Pairs now in the table. */
uint32_t limits_count(const struct limits *limits);

#endif
