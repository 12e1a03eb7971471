/*
 * remember.h - the control ideas of the paper, to be measured against role.h
 *
 * DESCRIPTION
 *	Gedik and others, "Elastic Scaling for Data Stream Processing", IEEE
 *	TPDS 25(6), 2014, algorithms 2 and 3, made two-sided: the operating
 *	point is the number of prefill runners, congestion of either role asks
 *	for a step towards it, unless that point gave no more before; a change
 *	of congestion or of throughput at a point makes it forget the points
 *	on that side.
 */
#ifndef TESTS_ROLE_REMEMBER_H
#define TESTS_ROLE_REMEMBER_H

#include "coord/role.h"

#define REMEMBER_POINTS 64

struct remember {
	double throughput; /* answers a second, set before each tick */
	double gave[REMEMBER_POINTS]; /* last; infinite when not known */
	double first[REMEMBER_POINTS];
	uint32_t point;
	uint32_t before;
	enum role_move pressed; /* which way congestion pushed last */
	enum role_move last;
	double sum;
	uint32_t ticks;
	int64_t period_end;
	int64_t rest_until;
};

void remember_init(struct remember *remember);
enum role_move remember_tick(struct remember *remember, int64_t now,
			     const struct role_load *load);

#endif
