/*
 * Ways to place streams on engines of unequal speed, compared in the model of
 * uneven_world.h. Guards against a placement that fills slow servers like fast
 * ones, or that is worse than one without speeds where servers are alike or
 * overloaded. All figures are printed; docs/design/placing.md discusses them.
 */
#include <math.h>
#include <string.h>

#include "place_site.h"
#include "uneven_world.h"

#define SEEDS 4u

static const uint32_t sizes[] = {30, 100, 300};
static const double demands[] = {0.6, 0.9, 1.5};

double speeds_now(const struct speeds *speeds, uint64_t server, int64_t now)
{
	double age = (double)(now - speeds->stated_at) / (0.3 * USEC_PER_SEC);
	uint32_t i = 0;

	while (speeds->keys[i] != server)
		i++;
	return speeds->mean[i] +
	       (speeds->stated[i] - speeds->mean[i]) * exp2(-age);
}

double speeds_factor(const struct speeds *speeds, uint64_t server, int64_t now)
{
	return speeds_now(speeds, server, now);
}

void speeds_announce(struct sim *sim, struct speeds *speeds, double sec)
{
	double part = 1.0 - exp2(-sec / 10.0);

	for (uint32_t i = 0; i < SERVERS; i++) {
		double pace = pace_of(sim, i);

		speeds->mean[i] += (pace - speeds->mean[i]) * part;
		speeds->stated[i] = pace;
	}
	speeds->stated_at = clock_now(sim->clock);
}

static struct backend *least_requests(const struct sim *sim,
				      const struct place *place,
				      const struct instance *instance,
				      enum backend_stage stage, uint32_t tokens)
{
	const struct speeds *speeds = sim->speeds[0];
	struct backend *best = NULL;
	double lowest = G_MAXDOUBLE;

	for (uint32_t i = 0; i < SERVERS; i++) {
		struct backend *one = instance->backends[i];
		double cost = (backend_requests(one) + 1.0) *
			      speeds_factor(speeds, one->key, place->now) *
			      (1.0 + 0.2 * g_rand_double(sim->rand));

		if (one->info.stage != stage || cost >= lowest ||
		    place->now < one->full_until ||
		    backend_decode_tokens(one) + tokens >
			    uneven_traits.memory_tokens)
			continue;
		best = one;
		lowest = cost;
	}
	return best;
}

/* Leaves two servers of each stage, chosen at random, or all. */
static void servers_offer(struct sim *sim, struct instance *instance, bool two)
{
	for (uint32_t i = 0; i < SERVERS; i++)
		instance->backends[i]->info.leaving = two;
	for (uint32_t i = 0; i < 4 && two; i++) {
		gint32 from = i < 2 ? 0 : PREFILLS;
		gint32 to = i < 2 ? PREFILLS : SERVERS;

		instance->backends[g_rand_int_range(sim->rand, from, to)]
			->info.leaving = false;
	}
}

static bool choose(struct sim *sim, struct instance *instance,
		   const struct place *place, const struct stream *stream,
		   struct backend **decode, struct backend **prefill)
{
	if (sim->way == WAY_REQUESTS) {
		*decode = least_requests(sim, place, instance, STAGE_DECODE,
					 stream->charged);
		*prefill =
			least_requests(sim, place, instance, STAGE_PREFILL, 0);
		return *decode && backend_prefill_tokens(*prefill) <= AHEAD_MAX;
	}
	*decode = place_decode(place, &uneven_traits, stream->charged);
	if (!*decode)
		return false;
	*prefill = place_prompt(place, *decode, stream->prompt, AHEAD_MAX);
	return !*prefill || place_prompt_ahead(place, *prefill) <= AHEAD_MAX;
}

static bool way_choose(struct sim *sim, struct instance *instance,
		       const struct place *place, const struct stream *stream,
		       struct backend **decode, struct backend **prefill)
{
	servers_offer(sim, instance, sim->way == WAY_TWO);
	if (choose(sim, instance, place, stream, decode, prefill))
		return true;
	if (sim->way != WAY_TWO)
		return false;
	servers_offer(sim, instance, false);
	return choose(sim, instance, place, stream, decode, prefill);
}

static uint32_t index_of(const struct instance *instance,
			 const struct backend *backend)
{
	uint32_t i = 0;

	while (i < SERVERS && instance->backends[i] != backend)
		i++;
	return i;
}

bool stream_place(struct sim *sim, struct stream *stream)
{
	struct instance *instance = &sim->instances[stream->instance];
	bool today = sim->way == WAY_TODAY || sim->way == WAY_REQUESTS;
	const struct place place = {
		.fleet = instance->fleet,
		.now = clock_now(sim->clock),
		.service = SERVICE,
		.rand = sim->rand,
		.speeds = today ? NULL
			  : sim->way == WAY_TRUE
				  ? sim->actual
				  : sim->speeds[stream->instance % CENTRES],
		.stale_local = (int64_t)sim->interval[LOCAL] * STEP_MSEC *
			       USEC_PER_MSEC,
		.stale_remote = (int64_t)sim->interval[REMOTE] * STEP_MSEC *
				USEC_PER_MSEC,
	};
	struct backend *decode = NULL;
	struct backend *prefill = NULL;
	struct server *server;

	view_load(sim, stream->instance);
	if (!way_choose(sim, instance, &place, stream, &decode, &prefill))
		return false;
	stream->decode = index_of(instance, decode);
	server = &sim->servers[stream->decode];
	if (server->held + stream->charged > uneven_traits.memory_tokens) {
		backend_reservation_refused(decode, place.now,
					    place_staleness(&place, decode));
		return false;
	}
	backend_reservation_granted(decode);
	server->held += stream->charged;
	stream->prefill =
		prefill ? index_of(instance, prefill) : stream->decode;
	stream_charge(instance, stream, true, 1);
	stream_charge(instance, stream, false, 1);
	g_queue_push_tail(&sim->servers[stream->prefill].prompts, stream);
	return true;
}

/* Mean over the seeds. */
static double in_time(enum way way, uint32_t size, double demand, bool alike)
{
	double sum = 0.0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		sum += sim_run(way, size, demand, alike, seed);
	return sum / SEEDS;
}

/* Speeds as announced close at least half of the gap to true speeds. */
static void test_uneven(void)
{
	double gained = 0.0;
	double gap = 0.0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(demands); k++) {
			double today =
				in_time(WAY_TODAY, sizes[i], demands[k], false);
			double timed =
				in_time(WAY_TIME, sizes[i], demands[k], false);
			double actual =
				in_time(WAY_TRUE, sizes[i], demands[k], false);

			g_test_message("%u instances, demand %.1f: today %.3f, "
				       "time %.3f, true %.3f",
				       sizes[i], demands[k], today, timed,
				       actual);
			g_assert_cmpfloat(timed, >=, today - 0.005);
			gained += timed - today;
			gap += actual - today;
		}
	}
	g_assert_cmpfloat(gained, >=, gap / 2.0);
}

/* Where all servers are alike, speeds change nothing. */
static void test_alike(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(demands); k++) {
			double today = sim_run(WAY_TODAY, sizes[i], demands[k],
					       true, 1);
			double timed = sim_run(WAY_TIME, sizes[i], demands[k],
					       true, 1);

			g_assert_cmpfloat(fabs(timed - today), <=, 0.002);
		}
	}
}

/* The other ways, with -m slow, as they decide nothing. */
static void test_others(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(demands); k++)
			g_test_message(
				"%u instances, demand %.1f: requests "
				"%.3f, two %.3f",
				sizes[i], demands[k],
				in_time(WAY_REQUESTS, sizes[i], demands[k],
					false),
				in_time(WAY_TWO, sizes[i], demands[k], false));
}

/* The server that finishes first is chosen, not the one with the least load. */
static void test_time(void)
{
	uint64_t keys[3];
	struct speeds speeds = {.keys = keys, .mean = {2.0, 0.5, 1.0}};
	struct backend *slow;
	struct backend *fast;
	struct backend *decode;
	struct site site;

	site_open(&site);
	slow = site_add(&site, "slow", STAGE_PREFILL, "here");
	fast = site_add(&site, "fast", STAGE_PREFILL, "here");
	decode = site_add(&site, "decode", STAGE_DECODE, "here");
	keys[0] = slow->key;
	keys[1] = fast->key;
	keys[2] = decode->key;
	memcpy(speeds.stated, speeds.mean, sizeof(speeds.stated));
	slow->own.prefill_tokens = 3000;
	fast->own.prefill_tokens = 9000;
	g_assert_true(place_prompt(&site.place, decode, 3000, 4000) == slow);
	site.place.speeds = &speeds;
	g_assert_true(place_prompt(&site.place, decode, 3000, 4000) == fast);
	g_assert_cmpuint(place_prompt_ahead(&site.place, fast), ==, 4500);
	/* It reads the prompt itself in 2 x 3,000, not sooner than 6,000; if
	 * it is fast itself, it does. */
	g_assert_nonnull(place_prompt(&site.place, decode, 3000, 4000));
	speeds.mean[2] = speeds.stated[2] = 0.5;
	g_assert_null(place_prompt(&site.place, decode, 3000, 4000));
	/* Short of the allowed queue it does not. */
	g_assert_true(place_prompt(&site.place, decode, 3000, 5000) == fast);
	site_close(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/uneven/time", test_time);
	g_test_add_func("/forward/uneven/uneven", test_uneven);
	g_test_add_func("/forward/uneven/alike", test_alike);
	if (g_test_slow())
		g_test_add_func("/forward/uneven/others", test_others);
	return g_test_run();
}
