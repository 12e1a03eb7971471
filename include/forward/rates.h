/*
 * rates.h - estimates how fast the engines of a service are, from its requests
 *
 * DESCRIPTION
 *	Engines differ in speed by several times, so decisions that need a
 *	rate use the measured one. Each estimate is a running median: a sample
 *	above it raises it by RATES_STEP, a sample below it lowers it by as
 *	much. So a slow or failing server moves the estimate no more than any
 *	other. The estimate starts at a given value. It comes within a tenth of
 *	a rate twice as high after about twenty samples.
 *
 *	Times are in microseconds, rates in tokens a second.
 */
#ifndef FORWARD_RATES_H
#define FORWARD_RATES_H

#include <stdbool.h>
#include <stdint.h>

/* Relative step by which one sample moves the estimate. */
#define RATES_STEP 0.04
/* Number of samples from which on an estimate counts as known. */
#define RATES_SAMPLES_MIN 5u

struct median {
	double value;
	uint32_t samples;
};

/* Sets the initial estimate, before any sample. */
void median_init(struct median *median, double value);
void median_add(struct median *median, double sample);

/* Initial prefill rate of a server, in prompt tokens a second: that of a large
 * model on one host. */
#define PREFILL_RATE_START 33000.0

/* Estimates for the engines of a service. */
struct engine_rates {
	struct median prefill; /* prompt tokens a second of a prefill server */
	struct median cost;    /* of a request, as stream_cost() */
	struct median event;   /* microseconds between events of a stream */
};

/* Cost of a request at a decode server: the memory that it holds, in tokens,
 * times the tokens that it generates, which measure time. Where memory is full,
 * more callers are served in time if the cheapest requests go first. */
double stream_cost(uint32_t prompt, uint32_t output);
/* The cost as a multiple of the median request of the service, bounded by 1/2
 * and 2. */
double engine_rates_weight(const struct engine_rates *rates, double cost);
/* Whether the time of a prompt of this many tokens measures the rate. */
bool engine_rates_measures(uint32_t tokens);
/* Adds a sample: a prompt of this many tokens was prefilled in usec, behind
 * ahead tokens that were queued before it. */
void engine_rates_add_prefill(struct engine_rates *rates, uint32_t tokens,
			      uint32_t ahead, int64_t usec);

#endif
