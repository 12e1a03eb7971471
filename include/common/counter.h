/*
 * counter.h - counters, gauges and histograms in the Prometheus text format
 *
 * DESCRIPTION
 *	A set holds named series. Callers look a series up once, which creates
 *	it if needed, and then update it through the pointer. Labels are given
 *	as one string, for example "class=\"urgent\",code=\"201\"". A set holds
 *	at most COUNTER_SERIES_MAX series; beyond that, each name has one more
 *	series, labelled overflow="true", which counts all further labels.
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
/* Finds or creates a series; labels may be NULL. The pointer is valid for the
 * lifetime of the set. */
struct counter *counter_get(struct counter_set *set, const char *name,
			    const char *help, const char *labels);
/* As counter_get(), for a value that may decrease. */
struct counter *gauge_get(struct counter_set *set, const char *name,
			  const char *help, const char *labels);
/* A histogram of durations in microseconds; each bucket bound is 2^(1/4) times
 * the one before. */
struct histogram *histogram_get(struct counter_set *set, const char *name,
				const char *help, const char *labels);
void histogram_add(struct histogram *histogram, int64_t usec);
uint64_t histogram_count(const struct histogram *histogram);
/* The upper bound, in microseconds, of the bucket that contains quantile q. */
int64_t histogram_quantile(const struct histogram *histogram, double q);
/* Appends all series as text, sorted by name and labels. */
void counter_set_print(const struct counter_set *set, GString *out);

#endif
