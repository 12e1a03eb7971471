/*
 * histogram.h - buckets of a latency histogram
 */
#ifndef COMMON_HISTOGRAM_H
#define COMMON_HISTOGRAM_H

#include "common/counter.h"

/* Four bounds per power of two, from 64 us to 1,074 s. */
#define HISTOGRAM_STEPS 4
#define HISTOGRAM_FIRST 64.0
#define HISTOGRAM_BOUNDS (24 * HISTOGRAM_STEPS + 1)

struct histogram {
	uint64_t count;
	int64_t sum;
	uint64_t buckets[HISTOGRAM_BOUNDS + 1]; /* the last has no bound */
};

/* Upper bound of bucket i, in microseconds. */
int64_t histogram_bound(size_t i);

#endif
