/* Speeds of servers in the summaries of instances: the bytes that they take,
 * an instance that starts, other data centres, and a partition. */
#include <glib.h>
#include <math.h>

#include "common/id.h"
#include "gossip_world.h"

/* As the uneven deployment: servers, and the answers of servers that the site
 * receives in a second. */
#define SERVERS 92u
#define ANSWERS_PER_SEC 363
#define STEP_MSEC 50
#define DATA_CENTRES 3
#define BYTES_PER_SEC_MAX 1000.0

static uint64_t key_of(uint32_t server)
{
	return id_mix(1, server);
}

static double base_of(uint32_t server)
{
	return server % 4 == 0 ? 0.55 : 1.2;
}

/* A site of so many data centres, each with a like number of instances. */
static struct site *world_open(uint32_t count, uint32_t data_centres)
{
	struct site *site = site_open(0);

	for (uint32_t i = 0; i < count; i++) {
		struct instance *instance = instance_add(site);

		instance_stop(instance);
		instance->centre = i % data_centres;
		instance_start(instance);
	}
	for (uint32_t i = 0; i < count; i++)
		add_all_peers(site, &site->instances[i]);
	site_advance(site, 5000);
	return site;
}

/* Servers state their pace, each 15% of the time a slow one. */
static void answers_run(struct site *site, GRand *rand, int64_t msec)
{
	for (; msec > 0; msec -= STEP_MSEC) {
		for (int i = 0; i < ANSWERS_PER_SEC * STEP_MSEC / 1000; i++) {
			uint32_t server =
				(uint32_t)g_rand_int_range(rand, 0, SERVERS);
			struct instance *instance =
				&site->instances[g_rand_int_range(
					rand, 0, (gint32)site->count)];
			double slow = g_rand_double(rand) < 0.15 ? 2.5 : 1.0;

			if (instance->gossip)
				speeds_stated(instance->speeds, key_of(server),
					      clock_now(site->clock),
					      base_of(server) * slow);
		}
		site_advance(site, STEP_MSEC);
	}
}

static uint64_t bytes_sent(const struct instance *instance)
{
	return gossip_traffic(instance->gossip)->sent_bytes;
}

static uint32_t known(const struct instance *instance)
{
	return speeds_known(instance->speeds, clock_now(instance->site->clock));
}

/* Bytes a second that each instance sends, from all its encoded datagrams. */
static void bytes_measure(struct site *site, GRand *rand, int64_t sec,
			  double *rates)
{
	for (uint32_t i = 0; i < site->count; i++)
		rates[i] = (double)bytes_sent(&site->instances[i]);
	if (rand)
		answers_run(site, rand, sec * 1000);
	else
		site_advance(site, sec * 1000);
	for (uint32_t i = 0; i < site->count; i++)
		rates[i] =
			((double)bytes_sent(&site->instances[i]) - rates[i]) /
			(double)sec;
}

static void bytes_check(uint32_t count, uint32_t data_centres)
{
	struct site *site = world_open(count, data_centres);
	g_autofree double *before = g_new0(double, count);
	g_autofree double *after = g_new0(double, count);
	GRand *rand = g_rand_new_with_seed(1);
	double most = 0.0;
	double sum = 0.0;
	uint32_t least = SERVERS;

	/* Until sequence numbers take three bytes, as they do from then on. */
	site_advance(site, 30000);
	bytes_measure(site, NULL, 20, before);
	answers_run(site, rand, 2000);
	bytes_measure(site, rand, 20, after);
	for (uint32_t i = 0; i < count; i++) {
		most = MAX(most, after[i] - before[i]);
		sum += after[i] - before[i];
		least = MIN(least, known(&site->instances[i]));
	}
	g_test_message("%u instances, %u data centres: %.0f bytes a second "
		       "for speeds, at most %.0f; %u servers known",
		       count, data_centres, sum / count, most, least);
	g_assert_cmpfloat(sum, >, 0.0);
	g_assert_cmpfloat(most, <=, BYTES_PER_SEC_MAX);
	g_assert_cmpuint(least, ==, SERVERS);
	g_rand_free(rand);
	site_close(site);
}

/* Instances have as little as 10 Mbit/s, which the bytes must not fill as the
 * site grows. */
static void test_bytes(void)
{
	bytes_check(3, 1);
	bytes_check(30, 1);
	bytes_check(30, 3);
	bytes_check(89, 1);
	bytes_check(89, 3);
}

/* An instance that starts would place requests as if all servers were alike. */
static void test_start(void)
{
	struct site *site = world_open(89, DATA_CENTRES);
	struct instance *instance = &site->instances[5];
	GRand *rand = g_rand_new_with_seed(2);
	double error = 0.0;

	answers_run(site, rand, 20000);
	instance_stop(instance);
	answers_run(site, rand, 3000);
	instance_start(instance);
	add_all_peers(site, instance);
	/* The first summaries arrive within 200 ms. */
	site_advance(site, 2200);
	for (uint32_t i = 0; i < SERVERS; i++)
		error += fabs(log(speeds_factor(instance->speeds, key_of(i),
						clock_now(site->clock)) /
				  (base_of(i) * 1.225)));
	g_test_message("started: %u servers known, error %.3f", known(instance),
		       error / SERVERS);
	g_assert_cmpuint(known(instance), ==, SERVERS);
	g_assert_cmpfloat(error / SERVERS, <, 0.25);
	g_rand_free(rand);
	site_close(site);
}

/* What only one data centre is told reaches the others, and no longer when it
 * is cut off from them. */
static void test_data_centres(void)
{
	struct site *site = world_open(9, DATA_CENTRES);
	int64_t now;

	for (int i = 0; i < 20; i++) {
		now = clock_now(site->clock);
		speeds_stated(site->instances[0].speeds, key_of(1), now, 3.0);
		site_advance(site, 100);
	}
	now = clock_now(site->clock);
	for (uint32_t i = 0; i < site->count; i++)
		g_assert_cmpfloat(speeds_factor(site->instances[i].speeds,
						key_of(1), now),
				  >, 2.0);
	site->paused[0] = true;
	site_advance(site, 40000);
	for (uint32_t i = 0; i < site->count; i++)
		if (site->instances[i].centre != 0)
			g_assert_cmpuint(known(&site->instances[i]), ==, 0);
	site->paused[0] = false;
	for (int i = 0; i < 40; i++) {
		now = clock_now(site->clock);
		speeds_stated(site->instances[0].speeds, key_of(1), now, 3.0);
		site_advance(site, 100);
	}
	for (uint32_t i = 0; i < site->count; i++)
		g_assert_cmpuint(known(&site->instances[i]), ==, 1);
	site_close(site);
}

#define INACTIVE_INSTANCES 3u

/* Where no server states a pace, summaries are as before. */
static void test_inactive(void)
{
	struct site *site = world_open(INACTIVE_INSTANCES, 1);
	double before[INACTIVE_INSTANCES] = {0};
	double after[INACTIVE_INSTANCES] = {0};

	bytes_measure(site, NULL, 10, before);
	for (uint32_t i = 0; i < site->count; i++)
		for (int k = 0; k < 10; k++)
			speeds_seen(site->instances[i].speeds, key_of(1),
				    clock_now(site->clock), 3.0, 1.0);
	bytes_measure(site, NULL, 10, after);
	for (uint32_t i = 0; i < site->count; i++) {
		g_test_message("%.1f bytes a second, then %.1f", before[i],
			       after[i]);
		/* Sequence numbers and ages grow by a byte. */
		g_assert_cmpfloat(after[i], <, before[i] * 1.02);
		g_assert_cmpuint(known(&site->instances[i]), ==, 0);
	}
	site_close(site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/gossip/speeds/bytes", test_bytes);
	g_test_add_func("/forward/gossip/speeds/start", test_start);
	g_test_add_func("/forward/gossip/speeds/data-centres",
			test_data_centres);
	g_test_add_func("/forward/gossip/speeds/inactive", test_inactive);
	return g_test_run();
}
