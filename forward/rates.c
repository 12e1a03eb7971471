#include "forward/rates.h"

#include <glib.h>

#include "common/clock.h"

/* Shorter prompts are not sampled: their time depends more on connections and
 * queues than on the prefill rate. */
#define TOKENS_MIN 500u
/* Upper bound of a weight, and inverse of the lower bound, because the output
 * lengths estimated by callers are often far off. */
#define WEIGHT_MAX 2.0

void median_init(struct median *median, double value)
{
	*median = (struct median){.value = value};
}

void median_add(struct median *median, double sample)
{
	median->samples++;
	if (sample > median->value)
		median->value *= 1.0 + RATES_STEP;
	else
		median->value /= 1.0 + RATES_STEP;
}

double stream_cost(uint32_t prompt, uint32_t output)
{
	return ((double)prompt + (double)output / 2.0) *
	       (double)MAX(output, 1u);
}

double engine_rates_weight(const struct engine_rates *rates, double cost)
{
	if (rates->cost.value <= 0.0)
		return 1.0;
	return CLAMP(cost / rates->cost.value, 1.0 / WEIGHT_MAX, WEIGHT_MAX);
}

bool engine_rates_measures(uint32_t tokens)
{
	return tokens >= TOKENS_MIN;
}

void engine_rates_add_prefill(struct engine_rates *rates, uint32_t tokens,
			      uint32_t ahead, int64_t usec)
{
	if (!engine_rates_measures(tokens) || usec <= 0)
		return;
	median_add(&rates->prefill, ((double)tokens + (double)ahead) *
					    (double)USEC_PER_SEC /
					    (double)usec);
}
