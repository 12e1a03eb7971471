/* Compares the role controller with the paper's and with a fixed split, on
 * mixes that change; prints the figures of docs/design/roles.md. */
#include <glib.h>

#include "model.h"

#define SEEDS 5u
/* Random advantage that the paper's controller may have. */
#define TOLERANCE 0.03

static const struct mix long_prompts = {6000, 300, 0.85};
static const struct mix long_answers = {2000, 400, 0.85};

static struct mix mix_steady(int second, uint32_t seed)
{
	return (struct mix){4000, 300, 0.85};
}

static struct mix mix_day(int second, uint32_t seed)
{
	struct mix mix = second / 1200 % 2 ? long_answers : long_prompts;

	mix.load = 0.75;
	return mix;
}

static struct mix mix_bursts(int second, uint32_t seed)
{
	struct mix mix = second / 20 % 2 ? long_answers : long_prompts;

	mix.load = 0.7;
	return mix;
}

static struct mix mix_surge(int second, uint32_t seed)
{
	struct mix mix = long_prompts;

	mix.load = second / 600 % 2 ? 0.9 : 0.5;
	return mix;
}

static struct mix mix_drift(int second, uint32_t seed)
{
	uint32_t phase = (uint32_t)(second / 300);
	double at = (double)((phase * 2654435761u + seed * 40503u) >> 16 & 255);

	return (struct mix){2000 + at / 255 * 4000, 400 - at / 255 * 100, 0.8};
}

/* Bounds for the role controller; counts are over all seeds. */
struct row {
	struct scenario scenario;
	double in_time;
	uint32_t reversals;
	uint32_t moves_min;
	uint32_t moves_max;
};

static const struct row rows[] = {
	{{"steady", mix_steady}, 0.9, 0, SEEDS, SEEDS},
	{{"day", mix_day}, 0.8, 0, 3 * SEEDS, 16 * SEEDS},
	{{"bursts", mix_bursts}, 0.99, 0, 0, 0},
	{{"surge", mix_surge}, 0.8, 0, 2 * SEEDS, 2 * SEEDS},
	{{"drift", mix_drift}, 0.8, 2 * SEEDS, SEEDS, 20 * SEEDS},
};

struct sum {
	double in_time; /* mean fraction over the seeds */
	double worst;
	uint32_t moves;
	uint32_t reversals;
};

static struct sum measure(const struct row *row, enum controller controller)
{
	struct sum sum = {.worst = 1};

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct outcome o = model_run(&row->scenario, controller, seed);
		double in_time = (double)o.in_time / o.requests;

		g_assert_cmpint(o.min_interval, >=, ROLE_DWELL_USEC);
		g_assert_cmpuint(o.min_runners, >=, 1);
		sum.in_time += in_time / SEEDS;
		sum.worst = MIN(sum.worst, in_time);
		sum.moves += o.moves;
		sum.reversals += o.reversals;
	}
	g_test_message(
		"%-8s %-9s good %.3f worst %.3f moves %u returns %u",
		row->scenario.name,
		(const char *[]){"none", "threshold", "remember"}[controller],
		sum.in_time, sum.worst, sum.moves, sum.reversals);
	return sum;
}

static void test_scenario(gconstpointer data)
{
	const struct row *row = data;
	struct sum none = measure(row, CONTROL_NONE);
	struct sum own = measure(row, CONTROL_THRESHOLD);
	struct sum paper = measure(row, CONTROL_ELASTIC);

	g_assert_cmpfloat(own.in_time, >=, row->in_time);
	g_assert_cmpfloat(own.in_time, >=, none.in_time);
	g_assert_cmpfloat(own.in_time, >=, paper.in_time - TOLERANCE);
	g_assert_cmpuint(own.reversals, <=, row->reversals);
	g_assert_cmpuint(own.moves, >=, row->moves_min);
	g_assert_cmpuint(own.moves, <=, row->moves_max);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_autofree char *path = g_strconcat(
			"/role/model/", rows[i].scenario.name, NULL);

		g_test_add_data_func(path, &rows[i], test_scenario);
	}
	return g_test_run();
}
