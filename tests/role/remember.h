/*
 * remember.h - the control ideas of the paper, to be measured against role.h
 *
 * DESCRIPTION
 *	Gedik and others, "Elastic Scaling for Data Stream Processing", IEEE
 *	TPDS 25(6), 2014, algorithms 2 and 3, made two-sided: the operating
 *	point is the number of prefill runners, congestion of either role asks
 *	for a step towards it, unless that point throughput no more before; a
 *change of congestion or of throughput at a point makes it points_set the
 *points on that side.
 */
#ifndef TESTS_ROLE_REMEMBER_H
#define TESTS_ROLE_REMEMBER_H

#include "coord/role.h"

#define ELASTIC_POINTS 64

struct elastic {
	double throughput; /* answers a second, set before each tick */
	double measured[ELASTIC_POINTS]; /* last; infinite when not known */
	double first_measured[ELASTIC_POINTS];
	uint32_t point;
	uint32_t previous_point;
	enum role_move last_pressure; /* which way congestion pushed last */
	enum role_move last;
	double sum;
	uint32_t ticks;
	int64_t period_end;
	int64_t rest_until;
};

void elastic_init(struct elastic *elastic);
enum role_move elastic_tick(struct elastic *elastic, int64_t now,
			    const struct role_load *load);

#endif
