#include "forward/rates.h"

#include "common/clock.h"

/* Shorter prompts tell more of connections and queues than of reading. */
#define TOKENS_LEAST 500u

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

void engine_rates_read(struct engine_rates *rates, uint32_t tokens,
		       uint32_t ahead, int64_t usec)
{
	if (tokens < TOKENS_LEAST || usec <= 0)
		return;
	median_add(&rates->read, ((double)tokens + (double)ahead) *
					 (double)USEC_PER_SEC / (double)usec);
}
