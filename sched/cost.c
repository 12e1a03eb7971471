#include "sched/cost.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

/* Relative step of the running medians, from STEP_START for the first sample
 * down to STEP_END: a key is known to a tenth after about 30 samples. */
#define STEP_START 0.5
#define STEP_END 0.02
/* Weight of a new sample in the mean errors. */
#define ERROR_WEIGHT 0.02
/* Samples before a prediction is used. */
#define SAMPLES_MIN 30u
/* The prediction has to be better than the estimate by this factor, as both
 * errors are known to about a tenth. */
#define BETTER_FACTOR 0.9

struct running {
	double log_value;
	uint32_t samples;
};

struct cost {
	uint64_t key;
	GList link; /* in costs->recent */
	struct running ratio;
	struct running plain;
	double estimate_error;
	double prediction_error;
};

struct costs {
	GHashTable *by_key; /* key to struct cost */
	GQueue recent;	    /* struct cost, latest first */
};

struct costs *costs_create(void)
{
	struct costs *costs = g_new0(struct costs, 1);

	costs->by_key = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	return costs;
}

void costs_destroy(struct costs *costs)
{
	if (!costs)
		return;
	g_hash_table_destroy(costs->by_key);
	g_free(costs);
}

static bool is_cost(double value)
{
	return isfinite(value) && value > 0.0;
}

/* The first sample is the value; each further one moves it by a step. */
static void running_add(struct running *running, double log_sample)
{
	double step =
		MAX(STEP_START / (1.0 + running->samples / 4.0), STEP_END);

	if (running->samples == 0)
		running->log_value = log_sample;
	else if (log_sample > running->log_value)
		running->log_value += step;
	else if (log_sample < running->log_value)
		running->log_value -= step;
	if (running->samples < UINT32_MAX)
		running->samples++;
}

static struct cost *cost_get(struct costs *costs, uint64_t key)
{
	struct cost *cost = g_hash_table_lookup(costs->by_key, &key);

	if (cost) {
		g_queue_unlink(&costs->recent, &cost->link);
	} else {
		if (costs->recent.length >= COSTS_MAX) {
			struct cost *oldest = g_queue_peek_tail(&costs->recent);

			g_queue_unlink(&costs->recent, &oldest->link);
			g_hash_table_remove(costs->by_key, &oldest->key);
		}
		cost = g_new0(struct cost, 1);
		cost->key = key;
		cost->link.data = cost;
		g_hash_table_insert(costs->by_key, &cost->key, cost);
	}
	g_queue_push_head_link(&costs->recent, &cost->link);
	return cost;
}

/* Mean, of all samples at first and decayed later. */
static void error_add(double *error, uint32_t samples, double sample)
{
	*error += (fabs(sample) - *error) *
		  MAX(1.0 / (samples + 1.0), ERROR_WEIGHT);
}

void costs_add(struct costs *costs, uint64_t key, double estimate,
	       double came_to)
{
	struct cost *cost;
	double off;

	if (!is_cost(came_to))
		return;
	cost = cost_get(costs, key);
	running_add(&cost->plain, log(came_to));
	if (!is_cost(estimate))
		return;
	off = log(came_to) - log(estimate);
	error_add(&cost->estimate_error, cost->ratio.samples, off);
	error_add(&cost->prediction_error, cost->ratio.samples,
		  off - cost->ratio.log_value);
	running_add(&cost->ratio, off);
}

double costs_predict(const struct costs *costs, uint64_t key, double estimate)
{
	const struct cost *cost = g_hash_table_lookup(costs->by_key, &key);

	if (!is_cost(estimate))
		return cost && cost->plain.samples >= SAMPLES_MIN
			       ? exp(cost->plain.log_value)
			       : 0.0;
	if (!cost || cost->ratio.samples < SAMPLES_MIN ||
	    cost->prediction_error >= cost->estimate_error * BETTER_FACTOR)
		return estimate;
	return estimate * exp(cost->ratio.log_value);
}

void costs_errors(const struct costs *costs, uint64_t key,
		  struct cost_errors *errors)
{
	const struct cost *cost = g_hash_table_lookup(costs->by_key, &key);

	*errors = (struct cost_errors){0};
	if (!cost)
		return;
	errors->samples = cost->ratio.samples;
	errors->estimate = cost->estimate_error;
	errors->prediction = cost->prediction_error;
}
