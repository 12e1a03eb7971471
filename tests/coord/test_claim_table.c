/* Verdicts of the claim table after each record. */
#include <glib.h>

#include "claim_table.h"
#include "coord/claim.h"

#define HOUR (3600 * USEC_PER_SEC)

struct step {
	uint64_t key;
	uint64_t request;
	int64_t time; /* hours */
	enum claim_verdict verdict;
	uint64_t winner; /* request; 0: unsure */
};

static const struct {
	const char *name;
	uint32_t max;
	struct step steps[8];
} tables[] = {
	{"the first wins",
	 9,
	 {{1, 1, 0, CLAIM_WON, 1},
	  {1, 2, 0, CLAIM_LOST, 1},
	  {2, 3, 0, CLAIM_WON, 3},
	  {1, 4, 5, CLAIM_LOST, 1}}},
	{"appended twice, it is one claim",
	 9,
	 {{1, 1, 0, CLAIM_WON, 1},
	  {1, 2, 0, CLAIM_LOST, 1},
	  {1, 1, 1, CLAIM_WON, 1},
	  {1, 2, 1, CLAIM_LOST, 1}}},
	{"kept for a day after the last claim",
	 9,
	 {{1, 1, 0, CLAIM_WON, 1},
	  {1, 2, 23, CLAIM_LOST, 1},
	  {1, 3, 46, CLAIM_LOST, 1},
	  {1, 4, 70, CLAIM_WON, 4},
	  {1, 1, 71, CLAIM_LOST, 4}}},
	{"the log's clock set back keeps keys longer",
	 9,
	 {{1, 1, 50, CLAIM_WON, 1},
	  {2, 2, 10, CLAIM_WON, 2},
	  {2, 3, 40, CLAIM_LOST, 2},
	  {2, 4, 73, CLAIM_LOST, 2},
	  {2, 5, 97, CLAIM_WON, 5}}},
	{"when full, no unknown key is won for a day",
	 2,
	 {{1, 1, 0, CLAIM_WON, 1},
	  {2, 2, 20, CLAIM_WON, 2},
	  {3, 3, 21, CLAIM_UNSURE, 0},
	  {1, 4, 22, CLAIM_LOST, 1},
	  {3, 5, 44, CLAIM_UNSURE, 5},
	  {2, 6, 44, CLAIM_UNSURE, 0}}},
	{"a key first seen while unsure stays unsure",
	 2,
	 {{1, 1, 0, CLAIM_WON, 1},
	  {2, 2, 0, CLAIM_WON, 2},
	  {3, 3, 23, CLAIM_UNSURE, 0},
	  {3, 4, 24, CLAIM_UNSURE, 4},
	  {3, 4, 25, CLAIM_UNSURE, 4},
	  {3, 5, 25, CLAIM_LOST, 4},
	  {4, 6, 48, CLAIM_WON, 6}}},
};

static struct claim step_claim(const struct step *step)
{
	return (struct claim){
		.key = step->key,
		.id = {.owner = {step->request, 1}, .request = step->request},
	};
}

static void test_verdicts(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		struct claim_table *table = claim_table_create(tables[i].max);

		for (const struct step *step = tables[i].steps; step->key;
		     step++) {
			struct claim claim = step_claim(step);
			struct owner winner = {0};

			g_test_message("%s: request %" G_GUINT64_FORMAT,
				       tables[i].name, step->request);
			g_assert_cmpint(
				claim_table_fold(table, &claim,
						 (step->time + 1) * HOUR,
						 &winner),
				==, step->verdict);
			g_assert_cmpuint(winner.instance, ==, step->winner);
			g_assert_cmpuint(claim_table_size(table), <=,
					 tables[i].max);
		}
		claim_table_destroy(table);
	}
}

/* A reader that lacks the oldest records reaches the same verdicts on the rest,
 * except where they depend on a missing record of the same key. */
static void test_late_reader(void)
{
	struct claim_table *early = claim_table_create(1000);
	struct claim_table *late = claim_table_create(1000);
	int64_t last[8] = {0};

	for (uint64_t i = 1; i < 5000; i++) {
		uint64_t key = (uint64_t)g_test_rand_int_range(0, 8);
		int64_t time = (int64_t)i * HOUR;
		struct claim claim = {key, {{i, 1}, i}};
		struct owner a, b;
		enum claim_verdict verdict =
			claim_table_fold(early, &claim, time, &a);

		if (i > 100) {
			enum claim_verdict other =
				claim_table_fold(late, &claim, time, &b);

			/* A key that neither knows is new to both. */
			if (last[key] > 100 * HOUR || verdict == CLAIM_WON)
				g_assert_cmpint(other, ==, verdict);
		}
		g_assert_cmpint(verdict == CLAIM_WON, ==,
				!last[key] ||
					time - last[key] >= CLAIM_KEEP_USEC);
		last[key] = time;
	}
	claim_table_destroy(early);
	claim_table_destroy(late);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim_table/verdicts", test_verdicts);
	g_test_add_func("/claim_table/late_reader", test_late_reader);
	return g_test_run();
}
