/* Rates estimated from requests: close to the actual rate after 60 samples, and
 * not moved by a few outliers. */
#include <glib.h>

#include "common/clock.h"
#include "forward/rates.h"

#define TOKENS 5000u

struct rate_case {
	const char *name;
	double rate;	      /* of most servers, in tokens a second */
	double other;	      /* of the others */
	uint32_t other_every; /* one sample in this many; 0: none */
};

static const struct rate_case cases[] = {
	{"initial estimate", 33000, 0, 0},
	{"faster", 66000, 0, 0},
	{"slower", 16000, 0, 0},
	{"a third is slower", 55000, 42000, 3},
	{"one in five is stalled", 55000, 500, 5},
};

static void test_case(gconstpointer data)
{
	const struct rate_case *row = data;
	struct engine_rates rates;

	median_init(&rates.prefill, PREFILL_RATE_START);
	for (uint32_t i = 1; i <= 60; i++) {
		bool other = row->other_every && i % row->other_every == 0;
		double rate = other ? row->other : row->rate;
		uint32_t ahead = i % 2 ? TOKENS : 0;

		engine_rates_add_prefill(&rates, TOKENS, ahead,
					 (int64_t)((TOKENS + ahead) / rate *
						   (double)USEC_PER_SEC));
	}
	g_test_message("%s: %.0f", row->name, rates.prefill.value);
	g_assert_cmpfloat(rates.prefill.value, >, row->rate * 0.85);
	g_assert_cmpfloat(rates.prefill.value, <, row->rate * 1.15);
}

/* Short prompts do not count, nor do samples without a duration. */
static void test_short(void)
{
	struct engine_rates rates;

	median_init(&rates.prefill, PREFILL_RATE_START);
	engine_rates_add_prefill(&rates, 100, 0, USEC_PER_SEC);
	engine_rates_add_prefill(&rates, TOKENS, 0, 0);
	g_assert_cmpuint(rates.prefill.samples, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/forward/rates/%zu", i);

		g_test_add_data_func(path, &cases[i], test_case);
	}
	g_test_add_func("/forward/rates/short", test_short);
	return g_test_run();
}
