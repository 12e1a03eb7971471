/*
 * Which waiting stream is served next, over all instances. Guards against
 * urgent streams losing the engines' memory to deferrable ones, which look for
 * it first; against memory that is kept idle by claims of instances that are
 * gone; and against a table or a number of datagrams that grows without bound.
 */
#include <glib.h>

#include "common/clock.h"
#include "precedence_model.h"
#include "sched/precedence.h"

#define MSEC USEC_PER_MSEC
#define VIEW_MSEC 100
#define FAILURE_SEEDS 3

/* ---- table of claims ---- */

static void claim_put(struct precedence *precedence, int64_t now, uint64_t from,
		      uint64_t server, uint32_t rank, int64_t usec)
{
	const struct room_claim claim = {7, rank, server, 1000, usec};

	precedence_claim(precedence, now, &claim, from);
}

static uint32_t claimed(const struct precedence *precedence, int64_t now,
			uint64_t server, uint32_t rank)
{
	return precedence_claimed(precedence, now, server, rank, false).tokens;
}

/* A claim must bind lower ranks only, and must end without its claimant. */
static void test_claims(void)
{
	struct precedence *precedence = precedence_create();

	claim_put(precedence, 0, 1, 50, 1, 60 * USEC_PER_SEC);
	claim_put(precedence, 0, 2, 50, 2, 200 * MSEC);
	g_assert_cmpuint(claimed(precedence, 0, 50, 0), ==, 0);
	g_assert_cmpuint(claimed(precedence, 0, 50, 1), ==, 0);
	g_assert_cmpuint(claimed(precedence, 0, 50, 2), ==, 1000);
	g_assert_cmpuint(claimed(precedence, 0, 50, 3), ==, 2000);
	g_assert_cmpuint(claimed(precedence, 0, 51, 3), ==, 0);
	/* Same chain as server 50. */
	g_assert_cmpuint(claimed(precedence, 0, 50 + 256, 3), ==, 0);
	g_assert_cmpuint(claimed(precedence, 200 * MSEC, 50, 3), ==, 1000);
	/* Whatever the claim states. */
	g_assert_cmpuint(claimed(precedence, PRECEDENCE_CLAIM_USEC, 50, 3), ==,
			 0);
	claim_put(precedence, 400 * MSEC, 1, 50, 1, PRECEDENCE_CLAIM_USEC);
	claim_put(precedence, 400 * MSEC, 1, 50, 1, 0);
	g_assert_cmpuint(precedence_count(precedence, 400 * MSEC), ==, 0);
	precedence_destroy(precedence);
}

/* A deferrable request that would miss its target must not wait for a claim
 * that has been renewed for long. */
static void test_due(void)
{
	struct precedence *precedence = precedence_create();

	for (int64_t now = 0; now <= 400 * MSEC; now += PRECEDENCE_RENEW_USEC)
		claim_put(precedence, now, 1, 50, 0, PRECEDENCE_CLAIM_USEC);
	g_assert_cmpuint(
		precedence_claimed(precedence, 400 * MSEC, 50, 1, true).tokens,
		==, 0);
	g_assert_cmpuint(claimed(precedence, 400 * MSEC, 50, 1), ==, 1000);
	g_assert_cmpuint(precedence_claimed(precedence, 250 * MSEC, 50, 1, true)
				 .requests,
			 ==, 1);
	precedence_destroy(precedence);
}

/* An instance that floods must displace only its own claims, and a full table
 * must drop and count. */
static void test_bounds(void)
{
	struct precedence *precedence = precedence_create();
	uint64_t from = 2;

	claim_put(precedence, 0, 1, 50, 0, PRECEDENCE_CLAIM_USEC);
	for (uint64_t server = 100; server < 10000; server++)
		claim_put(precedence, 1, 2, server, 0, PRECEDENCE_CLAIM_USEC);
	g_assert_cmpuint(claimed(precedence, 1, 50, 1), ==, 1000);
	g_assert_cmpuint(precedence_count(precedence, 1), ==,
			 1 + PRECEDENCE_SOURCE_MAX);
	for (uint32_t i = 0; i < PRECEDENCE_CLAIMS_MAX; i++)
		claim_put(precedence, 2, ++from, i, 0, PRECEDENCE_CLAIM_USEC);
	g_assert_cmpuint(precedence_count(precedence, 2), ==,
			 PRECEDENCE_CLAIMS_MAX);
	g_assert_cmpuint(precedence_dropped(precedence), ==,
			 1 + PRECEDENCE_SOURCE_MAX);
	/* Expired claims make room. */
	claim_put(precedence, USEC_PER_SEC, 1, 50, 0, PRECEDENCE_CLAIM_USEC);
	g_assert_cmpuint(precedence_count(precedence, USEC_PER_SEC), ==, 1);
	precedence_destroy(precedence);
}

/* Nothing may be sent when no request could yield, nor more than the bound. */
static void test_sends(void)
{
	struct precedence *precedence = precedence_create();
	uint32_t sent[5] = {0};

	precedence_seen(precedence, 0, 1);
	g_assert_true(precedence_useful(precedence, MSEC, 0));
	g_assert_false(precedence_useful(precedence, MSEC, 1));
	g_assert_false(precedence_useful(precedence, 2 * USEC_PER_SEC, 0));
	for (int64_t now = 0; now < 5 * USEC_PER_SEC; now += MSEC)
		sent[now / USEC_PER_SEC] += precedence_send(precedence, now);
	for (guint i = 0; i < G_N_ELEMENTS(sent); i++)
		g_assert_cmpuint(sent[i], <=, PRECEDENCE_SENDS_MAX);
	precedence_destroy(precedence);
}

/* The rank must follow the order of urgency and then priority, or requests
 * would yield to others that are served after them. */
static void test_ranks(void)
{
	struct precedence_levels levels = {.by_pair = false};
	uint32_t before = 0;

	g_assert_cmpuint(precedence_rank(&levels, 3, 3), ==, 3);
	g_assert_cmpuint(precedence_rank(&levels, 90, 90), ==, 7);
	levels.by_pair = true;
	for (uint32_t i = 0; i < 12; i++)
		precedence_level_add(&levels, (i * 5) % 4, (i * 7) % 3);
	g_assert_cmpuint(levels.count, ==, PRECEDENCE_RANKS);
	for (uint32_t urgency = 0; urgency < 5; urgency++)
		for (uint32_t priority = 0; priority < 4; priority++) {
			uint32_t rank =
				precedence_rank(&levels, urgency, priority);

			g_assert_cmpuint(rank, >=, before);
			g_assert_cmpuint(rank, <, PRECEDENCE_RANKS);
			before = rank;
		}
	g_assert_cmpuint(precedence_rank(&levels, 0, 0), ==, 0);
	g_assert_cmpuint(precedence_rank(&levels, 0, 1), ==, 1);
	g_assert_cmpuint(precedence_rank(&levels, 1, 0), ==, 3);
}

/* ---- load ---- */

static struct figures run(const struct model *model, enum way way,
			  uint32_t seeds)
{
	struct model one = *model;
	struct figures figures = {0};

	one.way = way;
	one.view_msec = way == WAY_GLOBAL ? 1 : VIEW_MSEC;
	for (one.seed = 1; one.seed <= seeds; one.seed++)
		model_run(&one, &figures);
	return figures;
}

static double urgent(const struct figures *figures)
{
	return figures->in_time[0] / figures->callers[0];
}

static double idle(const struct figures *figures)
{
	return figures->idle / figures->samples;
}

static void figures_print(const char *name, const struct figures *figures)
{
	g_test_message("%s: urgent %.3f, others %.3f, all %.3f in time, "
		       "idle %.4f, refused by servers %.2f, claims %.2f /s "
		       "per instance, at most %.0f",
		       name, urgent(figures),
		       figures->in_time[1] / figures->callers[1],
		       figures_in_time(figures), idle(figures),
		       figures->refusals / MAX(figures->places, 1.0),
		       figures->claims / figures->instance_sec,
		       figures->claims_max);
}

static uint32_t seeds_of(const struct model *model)
{
	return model->instances < 10 ? 12 : model->instances < 100 ? 2 : 1;
}

/* The bounds for all requests, idle memory and datagrams are requirements. For
 * urgent requests the requirement is 0.98, which the single queue does not
 * reach everywhere either: those that need a quarter of a server's memory find
 * it too late. So the bound is relative to that queue. */
static void load_check(const struct model *model)
{
	uint32_t seeds = seeds_of(model);
	const struct figures today = run(model, WAY_TODAY, seeds);
	const struct figures claims = run(model, WAY_CLAIMS, seeds);
	const struct figures global = run(model, WAY_GLOBAL, seeds);

	g_test_message("%u instances, %.1f of capacity, %s", model->instances,
		       model->demand, model->burst ? "burst" : "steady");
	figures_print("today", &today);
	figures_print("claims", &claims);
	figures_print("one queue", &global);
	g_assert_cmpfloat(urgent(&claims), >=, urgent(&global) - 0.05);
	g_assert_cmpfloat(urgent(&claims), >=, urgent(&today));
	g_assert_cmpfloat(figures_in_time(&claims), >=,
			  figures_in_time(&global) - 0.05);
	g_assert_cmpfloat(idle(&claims), <, 0.02);
	g_assert_cmpfloat(claims.claims_max, <=, PRECEDENCE_SENDS_MAX);
}

static void test_load(gconstpointer data)
{
	static const double demands[] = {1.2, 1.5, 2.5};

	for (guint i = 0; i < G_N_ELEMENTS(demands); i++)
		for (int burst = 0; burst < 2; burst++) {
			const struct model model = {
				.instances = GPOINTER_TO_UINT(data),
				.demand = demands[i],
				.burst = burst,
				.tries = 1,
			};

			load_check(&model);
		}
}

/* The alternatives of docs/design/precedence.md. */
static void test_ways(void)
{
	static const char *const names[] = {"today",   "order",	 "hold back",
					    "tickets", "claims", "one queue"};
	const struct model model = {.instances = 60, .demand = 1.5, .tries = 1};

	for (int way = WAY_TODAY; way <= WAY_GLOBAL; way++) {
		const struct figures figures = run(&model, (enum way)way, 2);

		figures_print(names[way], &figures);
	}
}

/* ---- one failure at a time ---- */

static void failure_check(const char *name, enum failure failure, double loss)
{
	struct model model = {.instances = 60, .demand = 1.5, .tries = 1};
	static struct figures today;
	static struct figures whole;
	struct figures failed;

	if (whole.samples == 0) {
		today = run(&model, WAY_TODAY, FAILURE_SEEDS);
		whole = run(&model, WAY_CLAIMS, FAILURE_SEEDS);
	}
	model.failure = failure;
	model.loss = loss;
	failed = run(&model, WAY_CLAIMS, FAILURE_SEEDS);
	figures_print(name, &failed);
	g_assert_cmpfloat(idle(&failed), <, 0.02);
	g_assert_cmpfloat(urgent(&failed), >, urgent(&today));
	g_assert_cmpfloat(figures_in_time(&failed), >=,
			  figures_in_time(&whole) - 0.03);
}

static void test_lost(void)
{
	failure_check("10% of datagrams lost", FAILURE_NONE, 0.1);
}

static void test_killed(void)
{
	failure_check("claimant killed", FAILURE_KILLED, 0.0);
}

static void test_frozen(void)
{
	failure_check("claimant frozen", FAILURE_FROZEN, 0.0);
}

static void test_partitioned(void)
{
	failure_check("claimant partitioned", FAILURE_PARTITIONED, 0.0);
}

static void test_gone(void)
{
	failure_check("claims for servers that are gone", FAILURE_GONE, 0.0);
}

static void test_flood(void)
{
	failure_check("claims flooded by one instance", FAILURE_FLOOD, 0.0);
}

/* The requirement, which is not met: large urgent requests are placed too late.
 */
static void test_urgent(void)
{
	const struct model model = {.instances = 60, .demand = 1.5, .tries = 1};
	const struct figures figures = run(&model, WAY_CLAIMS, 2);

	figures_print("claims", &figures);
	g_assert_cmpfloat(urgent(&figures), >=, 0.98);
}

/* ---- retries ---- */

/* Retry times by the length of the queue against random ones. Only compared:
 * forward/waiting.c has the better. */
static void test_retries(void)
{
	static const double demands[] = {1.2, 2.5};

	for (guint i = 0; i < G_N_ELEMENTS(demands); i++)
		for (int burst = 0; burst < 2; burst++)
			for (int drained = 0; drained < 2; drained++) {
				const struct model model = {
					.instances = 60,
					.demand = demands[i],
					.burst = burst,
					.tries = 3,
					.retry_drained = drained,
				};
				const struct figures figures =
					run(&model, WAY_CLAIMS, 2);

				g_test_message(
					"%.1f of capacity, %s, retry %s",
					demands[i], burst ? "burst" : "steady",
					drained ? "by the queue" : "at random");
				figures_print("claims", &figures);
			}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/precedence/claims", test_claims);
	g_test_add_func("/sched/precedence/due", test_due);
	g_test_add_func("/sched/precedence/bounds", test_bounds);
	g_test_add_func("/sched/precedence/sends", test_sends);
	g_test_add_func("/sched/precedence/ranks", test_ranks);
	g_test_add_data_func("/sched/precedence/load/7", GUINT_TO_POINTER(7),
			     test_load);
	g_test_add_data_func("/sched/precedence/load/60", GUINT_TO_POINTER(60),
			     test_load);
	g_test_add_data_func("/sched/precedence/load/300",
			     GUINT_TO_POINTER(300), test_load);
	g_test_add_func("/sched/precedence/ways", test_ways);
	g_test_add_func("/sched/precedence/lost", test_lost);
	g_test_add_func("/sched/precedence/killed", test_killed);
	g_test_add_func("/sched/precedence/frozen", test_frozen);
	g_test_add_func("/sched/precedence/partitioned", test_partitioned);
	g_test_add_func("/sched/precedence/gone", test_gone);
	g_test_add_func("/sched/precedence/flood", test_flood);
	g_test_add_func("/sched/precedence/urgent", test_urgent);
	g_test_add_func("/sched/precedence/retries", test_retries);
	return g_test_run();
}
