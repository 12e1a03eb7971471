/*
 * Estimates of servers' speeds: uneven servers are learnt by instances that
 * each see few answers, and one failure at a time.
 */
#include <glib.h>
#include <math.h>

#include "common/clock.h"
#include "sched/speed.h"

#define START (100 * USEC_PER_SEC)
#define SERVER 7u

static double factor_at(const struct speeds *speeds, double sec)
{
	return speeds_factor(speeds, SERVER,
			     START + (int64_t)(sec * (double)USEC_PER_SEC));
}

static struct speed_entry entry_of(uint64_t server, uint32_t percent)
{
	return (struct speed_entry){
		.server = server, .percent = percent, .weight = 4};
}

/* ---- load ---- */

/* Instances of a data centre of the uneven deployment, the engine servers and
 * the last few, plain ones, and the answers of each kind that the data centre
 * receives in a second. */
#define INSTANCES 30
#define SERVERS 92
#define PLAIN_SERVERS 3
#define ENGINE_ANSWERS_PER_SEC 53
#define PLAIN_ANSWERS_PER_SEC 68
#define STEP_USEC (10 * USEC_PER_MSEC)
#define EXCHANGE_USEC (500 * USEC_PER_MSEC)
#define SLOW_USEC (600 * USEC_PER_MSEC)
#define SLOW_SHARE 0.15
#define SLOW 2.5

struct world {
	GRand *rand;
	int64_t now;
	struct speeds *instances[INSTANCES];
	int64_t slow_until[SERVERS];
	uint32_t lost_percent;
};

static double base_of(uint32_t server)
{
	return server % 4 == 0 ? 0.55 : 1.2;
}

static double pace_of(const struct world *world, uint32_t server)
{
	return base_of(server) *
	       (world->now < world->slow_until[server] ? SLOW : 1.0);
}

/* Long-run mean of the pace. */
static double usual_of(uint32_t server)
{
	return base_of(server) * (1.0 + SLOW_SHARE * (SLOW - 1.0));
}

static void slow_down(struct world *world)
{
	double chance = SLOW_SHARE / (1.0 - SLOW_SHARE) * (double)STEP_USEC /
			(double)SLOW_USEC;

	for (uint32_t i = 0; i < SERVERS; i++)
		if (world->now >= world->slow_until[i] &&
		    g_rand_double(world->rand) < chance)
			world->slow_until[i] = world->now + SLOW_USEC;
}

static void answers_add(struct world *world, int per_sec, uint32_t from,
			uint32_t to)
{
	double due = (double)per_sec * (double)STEP_USEC / (double)USEC_PER_SEC;

	int whole = (int)due;

	for (int i = 0; i <= whole; i++) {
		uint32_t server = (uint32_t)g_rand_int_range(
			world->rand, (gint32)from, (gint32)to);
		int32_t at = g_rand_int_range(world->rand, 0, INSTANCES);

		if (i < whole || g_rand_double(world->rand) < due - whole)
			speeds_stated(world->instances[at], server + 1,
				      world->now, pace_of(world, server));
	}
}

/* One entry in each summary, as the budget of bytes allows at this size. */
static void exchange(struct world *world, uint32_t from)
{
	struct speed_entry entry;

	if (speeds_export(world->instances[from], world->now, &entry, 1) == 0)
		return;
	for (uint32_t i = 0; i < INSTANCES; i++)
		if (i != from && g_rand_int_range(world->rand, 0, 100) >=
					 (gint32)world->lost_percent)
			speeds_merge(world->instances[i], world->now, &entry);
}

static void world_run(struct world *world, int64_t usec)
{
	int64_t steps = EXCHANGE_USEC / STEP_USEC;

	for (int64_t end = world->now + usec; world->now < end;
	     world->now += STEP_USEC) {
		int64_t step = world->now / STEP_USEC;

		slow_down(world);
		answers_add(world, ENGINE_ANSWERS_PER_SEC, 0,
			    SERVERS - PLAIN_SERVERS);
		answers_add(world, PLAIN_ANSWERS_PER_SEC,
			    SERVERS - PLAIN_SERVERS, SERVERS);
		for (uint32_t i = 0; i < INSTANCES; i++)
			if (step % steps == i * steps / INSTANCES)
				exchange(world, i);
	}
}

static struct world *world_open(uint32_t lost_percent)
{
	struct world *world = g_new0(struct world, 1);

	world->rand = g_rand_new_with_seed(1);
	world->now = START;
	world->lost_percent = lost_percent;
	for (uint32_t i = 0; i < INSTANCES; i++)
		world->instances[i] = speeds_create();
	return world;
}

static void world_close(struct world *world)
{
	for (uint32_t i = 0; i < INSTANCES; i++)
		speeds_destroy(world->instances[i]);
	g_rand_free(world->rand);
	g_free(world);
}

/* Mean absolute logarithm of factor to usual speed over instances and servers,
 * and the share of these pairs that mistake a fast server for a slow one or the
 * reverse. */
static double world_error(const struct world *world, double *wrong)
{
	double sum = 0.0;

	*wrong = 0.0;
	for (uint32_t i = 0; i < INSTANCES; i++)
		for (uint32_t j = 0; j < SERVERS; j++) {
			double factor = speeds_factor(world->instances[i],
						      j + 1, world->now);

			sum += fabs(log(factor / usual_of(j)));
			*wrong += (factor < 0.95) != (base_of(j) < 0.95);
		}
	*wrong /= INSTANCES * SERVERS;
	return sum / (INSTANCES * SERVERS);
}

static void uneven_check(uint32_t lost_percent, double early_max,
			 double wrong_max, double error_max)
{
	struct world *world = world_open(lost_percent);
	double wrong;
	double error;

	for (int sec = 2; sec <= 30; sec += 4) {
		world_run(world, (sec == 2 ? 2 : 4) * USEC_PER_SEC);
		error = world_error(world, &wrong);
		g_test_message("lost %u%%, %d s: error %.3f, mistaken %.3f",
			       lost_percent, sec, error, wrong);
		if (sec == 10)
			g_assert_cmpfloat(wrong, <, early_max);
	}
	g_assert_cmpfloat(wrong, <, wrong_max);
	g_assert_cmpfloat(error, <, error_max);
	world_close(world);
}

/* Fast and slow servers that are not told apart get the same share. */
static void test_uneven(void)
{
	uneven_check(0, 0.1, 0.05, 0.2);
}

/* ---- failures ---- */

/* A pace of one moment must not stand for the seconds after it, nor a steady
 * difference be forgotten as fast as a moment. */
static void test_moment(void)
{
	struct speeds *speeds = speeds_create();

	for (int i = -20; i < 0; i++)
		speeds_stated(speeds, SERVER, START + i * USEC_PER_SEC / 10,
			      1.0);
	speeds_stated(speeds, SERVER, START, 2.5);
	g_assert_cmpfloat_with_epsilon(speeds_now(speeds, SERVER, START), 2.5,
				       0.01);
	g_assert_cmpfloat_with_epsilon(
		speeds_now(speeds, SERVER, START + 300 * USEC_PER_MSEC), 1.78,
		0.05);
	g_assert_cmpfloat_with_epsilon(factor_at(speeds, 0.0), 1.63, 0.05);
	g_assert_cmpfloat_with_epsilon(factor_at(speeds, 2.0), 1.07, 0.05);
	speeds_destroy(speeds);
}

/* A server that states a good pace and is slow would draw all load. */
static void test_liar(void)
{
	struct speeds *speeds = speeds_create();
	struct speed_entry entry;

	for (int i = 0; i < 100; i++)
		speeds_stated(speeds, SERVER, START, 0.25);
	g_assert_cmpfloat(factor_at(speeds, 0.0), <, 0.3);
	for (int i = 0; i < 3; i++)
		speeds_seen(speeds, SERVER, START, 2000.0, 1000.0);
	g_assert_cmpfloat(factor_at(speeds, 0.0), <, 0.5);
	speeds_seen(speeds, SERVER, START, 2000.0, 1000.0);
	g_assert_cmpfloat_with_epsilon(factor_at(speeds, 0.0), 2.0, 0.001);
	g_assert_cmpfloat_with_epsilon(speeds_now(speeds, SERVER, START), 2.0,
				       0.001);
	g_assert_cmpuint(speeds_export(speeds, START, &entry, 1), ==, 1);
	g_assert_cmpuint(entry.percent, ==, 200);
	/* It may state a worse pace than is seen, but not an absurd one. */
	speeds_stated(speeds, SERVER, START, 1000.0);
	g_assert_cmpfloat_with_epsilon(speeds_now(speeds, SERVER, START),
				       SPEED_FACTOR_MAX, 0.001);
	speeds_stated(speeds, SERVER, START, NAN);
	speeds_stated(speeds, SERVER, START, -1.0);
	speeds_seen(speeds, SERVER, START, 1000.0, 0.0);
	g_assert_cmpfloat(speeds_now(speeds, SERVER, START), <=,
			  SPEED_FACTOR_MAX);
	speeds_destroy(speeds);
}

/* With a tenth of the summaries lost, and with most of them. */
static void test_lost(void)
{
	uneven_check(10, 0.1, 0.05, 0.2);
	uneven_check(70, 0.2, 0.15, 0.25);
}

/* A single lost entry of a server that no longer changes is made up for. */
static void test_lost_once(void)
{
	struct speeds *speeds = speeds_create();
	struct speed_entry entries[SPEED_ENTRIES_MAX];
	int64_t again = START + 2 * USEC_PER_SEC;

	speeds_stated(speeds, SERVER, START, 0.5);
	g_assert_cmpuint(
		speeds_export(speeds, START, entries, SPEED_ENTRIES_MAX), ==,
		1);
	speeds_stated(speeds, SERVER, START + 1, 0.5);
	g_assert_cmpuint(
		speeds_export(speeds, again - 1, entries, SPEED_ENTRIES_MAX),
		==, 0);
	g_assert_cmpuint(
		speeds_export(speeds, again, entries, SPEED_ENTRIES_MAX), ==,
		1);
	g_assert_cmpuint(entries[0].age_msec, ==, 1999);
	/* A change by over a tenth does not wait. */
	speeds_stated(speeds, SERVER, again, 1.5);
	g_assert_cmpuint(
		speeds_export(speeds, again, entries, SPEED_ENTRIES_MAX), ==,
		1);
	speeds_destroy(speeds);
}

/* What a killed instance has sent must not stand for ever: its entries lose
 * half of their weight in ten seconds and count no more after thirty. */
static void test_killed(void)
{
	struct speeds *speeds = speeds_create();
	struct speed_entry entry = entry_of(SERVER, 300);
	double start;

	speeds_merge(speeds, START, &entry);
	start = factor_at(speeds, 0.0);
	g_assert_cmpfloat(start, >, 2.6);
	g_assert_cmpfloat_with_epsilon(factor_at(speeds, 10.0),
				       1.0 + (start - 1.0) / 2.0, 0.001);
	g_assert_true(speeds_active(speeds, START + 30 * USEC_PER_SEC));
	g_assert_false(speeds_active(speeds, START + 31 * USEC_PER_SEC));
	g_assert_cmpfloat(factor_at(speeds, 31.0), ==, 1.0);
	g_assert_cmpuint(speeds_known(speeds, START + 31 * USEC_PER_SEC), ==,
			 0);
	speeds_destroy(speeds);
}

/* Instances whose servers have ceased to state a pace must not keep each
 * other's entries alive. */
static void test_circle(void)
{
	struct speeds *speeds[2] = {speeds_create(), speeds_create()};
	struct speed_entry entries[SPEED_ENTRIES_MAX];

	speeds_stated(speeds[0], SERVER, START, 2.0);
	for (int64_t msec = 0; msec < 100000; msec += 100)
		for (int i = 0; i < 2; i++) {
			int64_t now = START + msec * USEC_PER_MSEC;
			uint32_t count;

			speeds_seen(speeds[i], SERVER, now, 2.0, 1.0);
			count = speeds_export(speeds[i], now, entries,
					      SPEED_ENTRIES_MAX);
			for (uint32_t k = 0; k < count; k++)
				speeds_merge(speeds[!i], now, &entries[k]);
			count = speeds_export_group(speeds[i], now, entries,
						    SPEED_ENTRIES_MAX);
			for (uint32_t k = 0; k < count; k++) {
				entries[k].remote = true;
				speeds_merge(speeds[!i], now, &entries[k]);
			}
		}
	for (int i = 0; i < 2; i++) {
		g_assert_false(
			speeds_active(speeds[i], START + 100 * USEC_PER_SEC));
		speeds_destroy(speeds[i]);
	}
}

/* A restarted server has another key: what is known of the old process must not
 * count for the new one. */
static void test_restart(void)
{
	struct speeds *speeds = speeds_create();

	for (int i = 0; i < 10; i++)
		speeds_stated(speeds, SERVER, START, 2.5);
	g_assert_cmpfloat(speeds_factor(speeds, SERVER + 1, START), ==, 1.0);
	speeds_stated(speeds, SERVER + 1, START, 0.5);
	g_assert_cmpfloat(speeds_factor(speeds, SERVER + 1, START), <, 0.65);
	g_assert_cmpfloat(factor_at(speeds, 0.0), >, 2.0);
	speeds_forget(speeds, SERVER);
	g_assert_cmpfloat(factor_at(speeds, 0.0), ==, 1.0);
	g_assert_cmpuint(speeds_known(speeds, START), ==, 1);
	speeds_destroy(speeds);
}

/* Cut off from servers and peers, a factor must not stay; entries held up by
 * the partition must not count as new ones when it heals. */
static void test_partition(void)
{
	struct speeds *speeds = speeds_create();
	struct speed_entry entry = entry_of(SERVER, 50);
	double start;

	for (int i = 0; i < 20; i++)
		speeds_stated(speeds, SERVER, START, 2.0);
	start = factor_at(speeds, 2.0);
	g_assert_cmpfloat_with_epsilon(factor_at(speeds, 12.0),
				       1.0 + (start - 1.0) / 2.0, 0.02);
	entry.age_msec = 11000;
	speeds_merge(speeds, START + 12 * USEC_PER_SEC, &entry);
	g_assert_cmpfloat(factor_at(speeds, 12.0), >, 1.2);
	entry.age_msec = 0;
	for (int i = 0; i < 20; i++)
		speeds_merge(speeds,
			     START + 12 * USEC_PER_SEC +
				     i * 100 * USEC_PER_MSEC,
			     &entry);
	g_assert_cmpfloat(factor_at(speeds, 14.0), <, 1.0);
	speeds_destroy(speeds);
}

/* An entry beyond the bounds of a faulty peer would draw or repel all load. */
static void test_absurd(void)
{
	static const struct speed_entry rows[] = {
		{.server = SERVER, .percent = 0, .weight = 1},
		{.server = SERVER, .percent = 24, .weight = 1},
		{.server = SERVER, .percent = 401, .weight = 1},
		{.server = SERVER, .percent = UINT32_MAX, .weight = 1},
		{.server = SERVER, .percent = 200, .weight = 0},
		{.server = SERVER, .percent = 200, .weight = 101},
		{.server = SERVER, .percent = 200, .weight = UINT32_MAX},
		{.server = SERVER,
		 .percent = 200,
		 .weight = 1,
		 .age_msec = 30001},
		{.server = SERVER,
		 .percent = 200,
		 .weight = 1,
		 .age_msec = UINT32_MAX},
	};
	struct speeds *speeds = speeds_create();
	struct speed_entry entry = entry_of(SERVER, 400);

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		speeds_merge(speeds, START, &rows[i]);
	g_assert_false(speeds_active(speeds, START));
	/* One that repeats a valid entry outweighs no own samples. */
	for (int i = 0; i < 20; i++)
		speeds_stated(speeds, SERVER, START, 1.0);
	for (int i = 0; i < 100; i++)
		speeds_merge(speeds, START + i, &entry);
	g_assert_cmpfloat(factor_at(speeds, 0.0), <, 1.5);
	speeds_destroy(speeds);
}

/* Memory is bounded; what was learnt last stays. */
static void test_full(void)
{
	struct speeds *speeds = speeds_create();
	uint32_t servers = 3 * SPEED_SERVERS_MAX;

	for (uint32_t i = 1; i <= servers; i++) {
		speeds_stated(speeds, i, START + i, 2.0);
		speeds_stated(speeds, servers + 1, START + i, 3.0);
	}
	g_assert_cmpuint(speeds_known(speeds, START + servers), ==,
			 SPEED_SERVERS_MAX);
	g_assert_cmpfloat(speeds_factor(speeds, servers + 1, START + servers),
			  >, 2.5);
	g_assert_cmpfloat(speeds_factor(speeds, servers, START + servers), >,
			  1.5);
	g_assert_cmpfloat(speeds_factor(speeds, 1, START + servers), ==, 1.0);
	speeds_destroy(speeds);
}

/* Where no server states a pace, times that are seen change nothing. */
static void test_inactive(void)
{
	struct speeds *speeds = speeds_create();
	struct speed_entry entries[SPEED_ENTRIES_MAX];
	uint64_t cursor = 0;

	for (int i = 0; i < 10; i++)
		speeds_seen(speeds, SERVER, START, 3.0, 1.0);
	g_assert_false(speeds_active(speeds, START));
	g_assert_cmpfloat(factor_at(speeds, 0.0), ==, 1.0);
	g_assert_cmpuint(speeds_known(speeds, START), ==, 0);
	g_assert_cmpuint(
		speeds_export(speeds, START, entries, SPEED_ENTRIES_MAX), ==,
		0);
	g_assert_cmpuint(
		speeds_export_group(speeds, START, entries, SPEED_ENTRIES_MAX),
		==, 0);
	g_assert_cmpuint(speeds_export_next(speeds, START, 1, &cursor, entries,
					    SPEED_ENTRIES_MAX),
			 ==, 0);
	speeds_stated(speeds, SERVER + 1, START, 1.0);
	g_assert_cmpfloat_with_epsilon(factor_at(speeds, 0.0), 3.0, 0.001);
	speeds_destroy(speeds);
	speeds_seen(NULL, SERVER, START, 1.0, 1.0);
	speeds_stated(NULL, SERVER, START, 1.0);
	g_assert_cmpfloat(speeds_factor(NULL, SERVER, START), ==, 1.0);
	g_assert_cmpfloat(speeds_now(NULL, SERVER, START), ==, 1.0);
	g_assert_false(speeds_active(NULL, START));
}

/* An instance that starts is sent each server once, in an order of the sender.
 */
static void test_all(void)
{
	struct speeds *speeds = speeds_create();
	struct speeds *started = speeds_create();
	struct speed_entry entries[SPEED_ENTRIES_MAX];
	uint64_t cursor = 0;
	uint32_t count;
	uint32_t sent = 0;

	for (uint32_t i = 1; i <= SERVERS; i++)
		speeds_stated(speeds, i, START, base_of(i));
	while ((count = speeds_export_next(speeds, START, 5, &cursor, entries,
					   SPEED_ENTRIES_MAX)) > 0) {
		sent += count;
		for (uint32_t i = 0; i < count; i++)
			speeds_merge(started, START, &entries[i]);
	}
	g_assert_cmpuint(sent, ==, SERVERS);
	g_assert_cmpuint(speeds_known(started, START), ==, SERVERS);
	speeds_destroy(started);
	speeds_destroy(speeds);
}

static void on_change(void *ctx, const struct speed_change *change)
{
	struct speed_change *last = ctx;

	*last = *change;
	g_assert_cmpuint(change->server, ==, SERVER);
}

/* An operator finds each change of a quarter, with its sources. */
static void test_reported(void)
{
	struct speeds *speeds = speeds_create();
	struct speed_change last = {0};

	speeds_on_change(speeds, on_change, &last);
	speeds_stated(speeds, SERVER, START, 1.2);
	g_assert_cmpuint(last.server, ==, 0);
	for (int i = 0; i < 9; i++)
		speeds_stated(speeds, SERVER, START + i, 2.2);
	g_assert_cmpuint(last.server, ==, SERVER);
	g_assert_cmpfloat(last.before, ==, 1.0);
	g_assert_cmpfloat(last.factor, >, 1.25);
	g_assert_cmpfloat(last.stated.weight, >, 1.0);
	g_assert_cmpfloat(last.seen.weight, ==, 0.0);
	speeds_destroy(speeds);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/speed/uneven", test_uneven);
	g_test_add_func("/sched/speed/moment", test_moment);
	g_test_add_func("/sched/speed/liar", test_liar);
	g_test_add_func("/sched/speed/lost", test_lost);
	g_test_add_func("/sched/speed/lost-once", test_lost_once);
	g_test_add_func("/sched/speed/killed", test_killed);
	g_test_add_func("/sched/speed/circle", test_circle);
	g_test_add_func("/sched/speed/restart", test_restart);
	g_test_add_func("/sched/speed/partition", test_partition);
	g_test_add_func("/sched/speed/absurd", test_absurd);
	g_test_add_func("/sched/speed/full", test_full);
	g_test_add_func("/sched/speed/inactive", test_inactive);
	g_test_add_func("/sched/speed/all", test_all);
	g_test_add_func("/sched/speed/reported", test_reported);
	return g_test_run();
}
