#include "load/arrival.h"

#include <math.h>

#include "common/clock.h"
#include "load/workload.h"

static double rate_at(double rate, const struct load_bursts *bursts, double sec)
{
	double period = bursts->period_ms / 1000.0;
	double outside_share;

	if (bursts->factor <= 1)
		return rate;
	if (fmod(sec, period) < bursts->share * period)
		return rate * bursts->factor;
	outside_share = 1 - bursts->factor * bursts->share;
	return rate * outside_share / (1 - bursts->share);
}

int64_t arrival_next(GRand *rand, double rate, const struct load_bursts *bursts,
		     int64_t after_usec)
{
	double max_rate = rate * MAX(1, bursts->factor);
	double sec = (double)after_usec / USEC_PER_SEC;

	do {
		sec -= log1p(-g_rand_double(rand)) / max_rate;
	} while (g_rand_double(rand) * max_rate >= rate_at(rate, bursts, sec));
	return (int64_t)(sec * USEC_PER_SEC);
}
