#include "coord/retry.h"

void retry_budget_init(struct retry_budget *budget, uint32_t percent,
		       double max)
{
	budget->per_request = (double)MIN(percent, 100) / 100.0;
	budget->max = MAX(max, 0.0);
	/* The bucket starts full, so retries are possible from the start. */
	budget->tokens = percent ? budget->max : 0.0;
}

void retry_budget_request(struct retry_budget *budget)
{
	budget->tokens = MIN(budget->tokens + budget->per_request, budget->max);
}

bool retry_budget_take(struct retry_budget *budget)
{
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}

int64_t retry_backoff(GRand *rand, uint32_t attempt, int64_t base_us,
		      int64_t max_us)
{
	int64_t full = MAX(base_us, 1);

	max_us = MAX(max_us, 1);
	while (attempt-- && full < max_us)
		full = full > max_us / 2 ? max_us : full * 2;
	full = MIN(full, max_us);
	return full - (int64_t)(g_rand_double(rand) * ((double)full / 2.0));
}
