/*
 * elastic.h - a published elastic scaling controller, to compare with role.h
 *
 * DESCRIPTION
 *	Algorithms 2 and 3 of Gedik and others, "Elastic Scaling for Data Stream
 *	Processing", IEEE TPDS 25(6), 2014, extended to two roles. The operating
 *	point is the number of prefill runners. When a role is congested, the
 *	controller moves a runner to it, unless the throughput last measured at
 *	that point was no higher than now. When congestion or throughput changes
 *	at a point, all measurements are discarded.
 */
#ifndef TESTS_ROLE_ELASTIC_H
#define TESTS_ROLE_ELASTIC_H

#include "coord/role.h"

#define ELASTIC_POINTS 64

struct elastic {
	double throughput; /* answers per second, set before each tick */
	double measured[ELASTIC_POINTS]; /* last; INFINITY: unknown */
	double first_measured[ELASTIC_POINTS];
	uint32_t point;
	uint32_t previous_point;
	enum role_move last_pressure; /* move that helps the congested role */
	enum role_move last_move;
	double sum;
	uint32_t ticks;
	int64_t period_end;
	int64_t dwell_until;
};

void elastic_init(struct elastic *elastic);
enum role_move elastic_tick(struct elastic *elastic, int64_t now,
			    const struct role_load *load);

#endif
