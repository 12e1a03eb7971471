/*
 * counter.h - counters, gauges and latency histograms, as text for scrapers
 *
 * DESCRIPTION
 *	A set holds named series; each is found or made once and then updated
 *	through its pointer with no look-up. Labels are given as one string,
 *	for example "class=\"urgent\",code=\"201\"". Series of a set are bounded
 *	by COUNTER_SERIES_MAX; beyond it all go into one series labelled
 *	overflow="true". The text form is that which Prometheus reads.
 */
#ifndef COMMON_COUNTER_H
#define COMMON_COUNTER_H

#include <glib.h>
#include <stdint.h>

#define COUNTER_SERIES_MAX 4096

struct counter_set;

struct counter {
	int64_t value;
};

struct histogram;

struct counter_set *counter_set_create(void);
void counter_set_destroy(struct counter_set *set);
/* Finds or makes a series; labels may be NULL. The pointer lives as long as
 * the set. */
struct counter *counter_get(struct counter_set *set, const char *name,
			    const char *help, const char *labels);
/* As counter_get(), for a value that also falls. */
struct counter *gauge_get(struct counter_set *set, const char *name,
			  const char *help, const char *labels);
/* A histogram of microseconds with bounds that grow by a factor of 2^(1/4). */
struct histogram *histogram_get(struct counter_set *set, const char *name,
				const char *help, const char *labels);
void histogram_add(struct histogram *histogram, int64_t usec);
uint64_t histogram_count(const struct histogram *histogram);
/* The upper bound, in microseconds, of the bucket that holds quantile q. */
int64_t histogram_quantile(const struct histogram *histogram, double q);
/* Appends every series, sorted by name and labels. */
void counter_set_print(const struct counter_set *set, GString *out);

#endif
