/*
 * rates.h - how fast a service's engines are, learnt from requests
 *
 * DESCRIPTION
 *	What one engine does differs by several times from the next one's, so
 *	decisions that need a rate take the one that was seen. Each estimate is
 *	a running median: a sample above it moves it up by RATES_STEP, one
 *	below it down by as much, so a slow or failing server moves it no
 *	further than any other. It starts at a given value, and is within a
 *	tenth of a rate twice as high after some twenty samples.
 *
 *	Times are in microseconds, rates in tokens a second.
 */
#ifndef FORWARD_RATES_H
#define FORWARD_RATES_H

#include <stdint.h>

/* Part of the estimate that one sample moves it by. */
#define RATES_STEP 0.04

struct median {
	double value;
	uint32_t samples;
};

/* Starts at value, not yet seen. */
void median_init(struct median *median, double value);
void median_add(struct median *median, double sample);

/* Prompt tokens a second of a prefill server that none was seen of yet: of a
 * large model on one host. */
#define PREFILL_RATE_START 33000.0

/* What engines of a service were seen to do. */
struct engine_rates {
	struct median prefill; /* prompt tokens a second of a prefill server */
	struct median cost;    /* of a request, see stream_cost() */
};

/* What a request takes of a decode server: memory held, in tokens, times tokens
 * to be generated meanwhile, a measure of time. Where memory is full more
 * callers are served in time if those go first that take little. */
double stream_cost(uint32_t prompt, uint32_t output);
/* That, as a multiple of what a request of the service mostly takes. */
double engine_rates_weight(const struct engine_rates *rates, double cost);
/* A prompt of so many tokens was read, behind those that were ahead of it. */
void engine_rates_add_prefill(struct engine_rates *rates, uint32_t tokens,
			      uint32_t ahead, int64_t usec);

#endif
