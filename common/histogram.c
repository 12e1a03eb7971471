#include "histogram.h"

#include <math.h>

int64_t histogram_bound(size_t i)
{
	return llround(HISTOGRAM_FIRST *
		       exp2((double)i / (double)HISTOGRAM_STEPS));
}

static size_t histogram_bucket(int64_t usec)
{
	double steps;
	size_t i;

	if (usec <= (int64_t)HISTOGRAM_FIRST)
		return 0;
	steps = log2((double)usec / HISTOGRAM_FIRST) * HISTOGRAM_STEPS;
	if (steps > HISTOGRAM_BOUNDS)
		return HISTOGRAM_BOUNDS;
	/* Bounds are rounded, so the computed index may be one off. */
	i = (size_t)steps;
	while (i < HISTOGRAM_BOUNDS && usec > histogram_bound(i))
		i++;
	return i;
}

void histogram_add(struct histogram *histogram, int64_t usec)
{
	usec = MAX(usec, 0);
	histogram->count++;
	histogram->sum += usec;
	histogram->buckets[histogram_bucket(usec)]++;
}

uint64_t histogram_count(const struct histogram *histogram)
{
	return histogram->count;
}

int64_t histogram_quantile(const struct histogram *histogram, double q)
{
	double rank = CLAMP(q, 0.0, 1.0) * (double)histogram->count;
	uint64_t seen = 0;

	if (!histogram->count)
		return 0;
	for (size_t i = 0; i < HISTOGRAM_BOUNDS; i++) {
		seen += histogram->buckets[i];
		if (seen && (double)seen >= rank)
			return histogram_bound(i);
	}
	return INT64_MAX;
}
