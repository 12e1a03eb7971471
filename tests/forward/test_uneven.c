/*
 * Streams on engines of unequal speed: one quarter takes 0.55 of the usual time,
 * the others 1.2, and 15% of all take 2.5 times as long for 600 ms at a time.
 * Guards against a placement that fills slow servers like fast ones. Servers
 * are those of fleet.h and place.h. Each instance has its own view, and learns
 * loads and speeds of others when these announce them, at the interval of
 * gossip.h. Simulated in steps of STEP_MSEC. A stream that has no room waits at
 * its instance, and is dropped once it cannot begin within the target.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "forward/place.h"

#define SERVICE 1u
#define CENTRES 3u
#define PREFILLS 13u
#define SERVERS 89u
#define INSTANCES_MAX 300u
#define STEP_MSEC 10
#define END_MSEC 20000
#define FROM_MSEC 4000
#define TARGET_MSEC 900
#define PROMPT_MEAN 3000.0
#define OUTPUT_MEAN 640.0
#define PROMPT_PER_MSEC 33.0
#define SLOW_MSEC 600.0
#define SLOW_PART 0.15
#define SLOW_FACTOR 2.5
/* Tokens that a prefill server processes in 0.45 of the target. */
#define AHEAD_MAX 13365u
/* Streams a second that the servers can serve: of prompts, with the mean speed
 * of the servers, 13 x 33,000 x 0.98 / 3,000. */
#define CAPACITY_PER_SEC 140.0

static const struct engine_traits traits = {.slots = 12,
					    .memory_tokens = 26415};

enum way {
	WAY_TODAY,    /* load without speeds */
	WAY_REQUESTS, /* least requests x factor */
	WAY_TIME,     /* place.c with speeds as announced */
	WAY_TWO,      /* the better of two servers at random */
	WAY_TRUE,     /* place.c with speeds as they are */
	WAY_COUNT,
};

static const char *const way_names[WAY_COUNT] = {"today", "requests", "time",
						 "two", "true"};

/* The speeds that a data centre, or an oracle, knows. Stands in for
 * sched/speed.c, whose estimates have errors of their own. */
struct speeds {
	const uint64_t *keys;
	double mean[SERVERS];	/* half-life 10 s */
	double stated[SERVERS]; /* as last announced */
	int64_t stated_at;
};

enum load_kind { LOCAL, REMOTE, KINDS };

struct stream {
	uint32_t instance;
	int arrived;
	uint32_t prompt;
	uint32_t charged; /* decode tokens */
	double left;	  /* of the step: prompt or output tokens */
	uint32_t decode;
	uint32_t prefill; /* SERVERS: none */
};

struct server {
	bool fast;
	bool slow_now;
	uint32_t held;	 /* decode tokens */
	GQueue prompts;	 /* struct stream */
	GPtrArray *runs; /* struct stream */
};

struct instance {
	struct fleet *fleet;
	struct backend *backends[SERVERS];
	struct backend_load announced[KINDS][SERVERS];
	GQueue waiting; /* struct stream */
};

struct sim {
	uint32_t remote_prompts; /* of another data centre than the run */
	enum way way;
	bool alike;
	uint32_t count;
	double per_sec;
	int interval[KINDS]; /* in steps */
	struct clock *clock;
	GRand *rand;	/* of placement */
	GRand *arrival; /* of requests and paces, the same for all ways */
	uint64_t keys[SERVERS];
	struct server servers[SERVERS];
	struct instance *instances;
	struct load_sum sums[CENTRES][KINDS][SERVERS];
	struct speeds *speeds[CENTRES]; /* as announced */
	struct speeds *actual;
	int step;
	uint32_t asked;
	uint32_t placed;
	uint32_t in_time;
};

static double pace_of(const struct sim *sim, uint32_t i)
{
	const struct server *server = &sim->servers[i];

	if (sim->alike)
		return 1.0;
	return (server->fast ? 0.55 : 1.2) *
	       (server->slow_now ? SLOW_FACTOR : 1.0);
}

static bool chance(struct sim *sim, double part)
{
	return g_rand_double(sim->arrival) < part;
}

/* Log-normal with that mean. */
static double draw(struct sim *sim, double mean, double sigma)
{
	double u = 1.0 - g_rand_double(sim->arrival);
	double normal = sqrt(-2.0 * log(u)) *
			cos(2.0 * G_PI * g_rand_double(sim->arrival));

	return mean * exp(sigma * normal - sigma * sigma / 2.0);
}

/* ---- speeds ---- */

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

static void speeds_announce(struct sim *sim, struct speeds *speeds, double sec)
{
	double part = 1.0 - exp2(-sec / 10.0);

	for (uint32_t i = 0; i < SERVERS; i++) {
		double pace = pace_of(sim, i);

		speeds->mean[i] += (pace - speeds->mean[i]) * part;
		speeds->stated[i] = pace;
	}
	speeds->stated_at = clock_now(sim->clock);
}

static void paces_step(struct sim *sim)
{
	double leave = STEP_MSEC / SLOW_MSEC;
	double enter = leave * SLOW_PART / (1.0 - SLOW_PART);

	for (uint32_t i = 0; i < SERVERS; i++)
		if (chance(sim, sim->servers[i].slow_now ? leave : enter))
			sim->servers[i].slow_now = !sim->servers[i].slow_now;
	speeds_announce(sim, sim->actual, STEP_MSEC / 1000.0);
	for (uint32_t i = 0; i < CENTRES; i++)
		if (sim->step % sim->interval[REMOTE] == 0)
			speeds_announce(sim, sim->speeds[i],
					sim->interval[REMOTE] * STEP_MSEC /
						1000.0);
}

/* ---- views ---- */

static void load_add(struct load_sum *sum, const struct backend_load *load,
		     int times)
{
	sum->requests += times * (int64_t)load->requests;
	sum->decode_tokens += times * (int64_t)load->decode_tokens;
	sum->prefill_tokens += times * (int64_t)load->prefill_tokens;
}

static void announce(struct sim *sim, uint32_t at, enum load_kind kind)
{
	struct instance *instance = &sim->instances[at];

	for (uint32_t i = 0; i < SERVERS; i++) {
		struct load_sum *sum = &sim->sums[at % CENTRES][kind][i];

		load_add(sum, &instance->announced[kind][i], -1);
		instance->announced[kind][i] = instance->backends[i]->own;
		load_add(sum, &instance->announced[kind][i], 1);
	}
}

static void view_load(struct sim *sim, uint32_t at)
{
	struct instance *instance = &sim->instances[at];
	uint32_t here = at % CENTRES;

	for (uint32_t i = 0; i < SERVERS; i++) {
		struct load_sum *peers = &instance->backends[i]->peers;

		*peers = sim->sums[here][LOCAL][i];
		load_add(peers, &instance->announced[LOCAL][i], -1);
		for (uint32_t c = 0; c < CENTRES; c++) {
			const struct load_sum *sum = &sim->sums[c][REMOTE][i];

			if (c == here)
				continue;
			peers->requests += sum->requests;
			peers->decode_tokens += sum->decode_tokens;
			peers->prefill_tokens += sum->prefill_tokens;
		}
	}
}

/* ---- placing ---- */

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
		    backend_decode_tokens(one) + tokens > traits.memory_tokens)
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
		*prefill = least_requests(sim, place, instance, STAGE_PREFILL,
					  0);
		return *decode && backend_prefill_tokens(*prefill) <= AHEAD_MAX;
	}
	*decode = place_decode(place, &traits, stream->charged);
	if (!*decode)
		return false;
	*prefill = place_prompt(place, *decode, stream->prompt, AHEAD_MAX);
	return !*prefill || place_prompt_ahead(place, *prefill) <= AHEAD_MAX;
}

static uint32_t index_of(const struct instance *instance,
			 const struct backend *backend)
{
	uint32_t i = 0;

	while (i < SERVERS && instance->backends[i] != backend)
		i++;
	return i;
}

static void charge(struct instance *instance, struct stream *stream, bool run,
		   int times)
{
	const struct backend_load load = {
		.requests = 1,
		.decode_tokens = run ? stream->charged : 0,
		.prefill_tokens = run ? 0 : stream->prompt,
	};

	backend_charge(instance->backends[run ? stream->decode : stream->prefill],
		       &load, times);
}

/* False when there is no room, as far as known or in fact. */
static bool stream_place(struct sim *sim, struct stream *stream)
{
	struct instance *instance = &sim->instances[stream->instance];
	bool today = sim->way == WAY_TODAY || sim->way == WAY_REQUESTS;
	const struct place place = {
		.fleet = instance->fleet,
		.now = clock_now(sim->clock),
		.service = SERVICE,
		.rand = sim->rand,
		.speeds = today			? NULL
			  : sim->way == WAY_TRUE ? sim->actual
						 : sim->speeds[stream->instance % CENTRES],
		.stale_local = (int64_t)sim->interval[LOCAL] * STEP_MSEC *
			       USEC_PER_MSEC,
		.stale_remote = (int64_t)sim->interval[REMOTE] * STEP_MSEC *
				USEC_PER_MSEC,
	};
	struct backend *decode = NULL;
	struct backend *prefill = NULL;
	struct server *server;
	bool chosen;

	view_load(sim, stream->instance);
	servers_offer(sim, instance, sim->way == WAY_TWO);
	chosen = choose(sim, instance, &place, stream, &decode, &prefill);
	if (!chosen && sim->way == WAY_TWO) {
		servers_offer(sim, instance, false);
		chosen = choose(sim, instance, &place, stream, &decode,
				&prefill);
	}
	if (!chosen)
		return false;
	stream->decode = index_of(instance, decode);
	server = &sim->servers[stream->decode];
	if (server->held + stream->charged > traits.memory_tokens) {
		backend_reservation_refused(decode, place.now,
					    place_staleness(&place, decode));
		return false;
	}
	backend_reservation_granted(decode);
	server->held += stream->charged;
	stream->prefill = prefill ? index_of(instance, prefill)
				  : stream->decode;
	charge(instance, stream, true, 1);
	charge(instance, stream, false, 1);
	sim->placed++;
	sim->remote_prompts +=
		stream->prefill % CENTRES != stream->decode % CENTRES;
	g_queue_push_tail(&sim->servers[stream->prefill].prompts, stream);
	return true;
}

/* ---- time ---- */

static bool counts(const struct stream *stream)
{
	return stream->arrived >= FROM_MSEC && stream->arrived < END_MSEC - 2000;
}

static void stream_arrive(struct sim *sim)
{
	struct stream *stream = g_new0(struct stream, 1);
	double output = draw(sim, OUTPUT_MEAN, 0.5);

	stream->instance = (uint32_t)g_rand_int_range(sim->arrival, 0,
						      (gint32)sim->count);
	stream->arrived = sim->step * STEP_MSEC;
	stream->prompt = (uint32_t)CLAMP(draw(sim, PROMPT_MEAN, 0.4), 200,
					 9000);
	stream->charged = stream->prompt + (uint32_t)CLAMP(output, 20, 4000);
	stream->left = (double)stream->prompt;
	sim->asked += counts(stream);
	g_queue_push_tail(&sim->instances[stream->instance].waiting, stream);
}

static void instance_step(struct sim *sim, uint32_t at)
{
	GQueue *waiting = &sim->instances[at].waiting;
	int now = sim->step * STEP_MSEC;
	struct stream *stream;

	while ((stream = g_queue_peek_head(waiting))) {
		if (now - stream->arrived >= TARGET_MSEC)
			g_free(stream);
		else if (!stream_place(sim, stream))
			break;
		g_queue_pop_head(waiting);
	}
	for (int kind = 0; kind < KINDS; kind++)
		if ((sim->step + (int)at) % sim->interval[kind] == 0)
			announce(sim, at, kind);
}

static void server_step(struct sim *sim, uint32_t at)
{
	struct server *server = &sim->servers[at];
	double msec = STEP_MSEC / pace_of(sim, at);
	double tokens = msec * PROMPT_PER_MSEC * (at < PREFILLS ? 1.0 : 0.5);
	double output = msec / (4.34 + 0.151 * server->runs->len);
	struct stream *stream;

	for (guint i = server->runs->len; i > 0; i--) {
		stream = server->runs->pdata[i - 1];
		stream->left -= output;
		if (stream->left > 0.0)
			continue;
		server->held -= stream->charged;
		charge(&sim->instances[stream->instance], stream, true, -1);
		g_ptr_array_remove_index_fast(server->runs, i - 1);
		g_free(stream);
	}
	while (tokens > 0.0 && (stream = g_queue_peek_head(&server->prompts))) {
		double done = MIN(tokens, stream->left);

		stream->left -= done;
		tokens -= done;
		if (stream->left > 0.0)
			return;
		g_queue_pop_head(&server->prompts);
		charge(&sim->instances[stream->instance], stream, false, -1);
		stream->left = stream->charged - stream->prompt;
		g_ptr_array_add(sim->servers[stream->decode].runs, stream);
		sim->in_time += counts(stream) && sim->step * STEP_MSEC + 20 -
							  stream->arrived <=
						  TARGET_MSEC;
	}
}

static void sim_open(struct sim *sim)
{
	static const char *const centres[CENTRES] = {"a", "b", "c"};

	sim->clock = clock_create(0);
	clock_advance(sim->clock, 100 * USEC_PER_SEC);
	sim->instances = g_new0(struct instance, sim->count);
	for (uint32_t i = 0; i < sim->count; i++)
		sim->instances[i].fleet =
			fleet_create(sim->clock, centres[i % CENTRES]);
	for (uint32_t i = 0; i < CENTRES; i++) {
		sim->speeds[i] = g_new0(struct speeds, 1);
		sim->speeds[i]->keys = sim->keys;
	}
	sim->actual = g_new0(struct speeds, 1);
	sim->actual->keys = sim->keys;
	for (uint32_t s = 0; s < SERVERS; s++) {
		struct backend_info info = {
			.service = SERVICE,
			.stage = s < PREFILLS ? STAGE_PREFILL : STAGE_DECODE,
			.slots = 12,
		};

		g_snprintf(info.id, sizeof(info.id), "s%u", s);
		g_strlcpy(info.address, "127.0.0.1:1", sizeof(info.address));
		g_strlcpy(info.data_centre, centres[s % CENTRES],
			  sizeof(info.data_centre));
		for (uint32_t i = 0; i < sim->count; i++)
			sim->instances[i].backends[s] =
				fleet_put(sim->instances[i].fleet, &info);
		sim->servers[s].fast = s % 4 == 1;
		sim->servers[s].runs = g_ptr_array_new();
		for (uint32_t i = 0; i < CENTRES; i++)
			sim->speeds[i]->mean[s] = pace_of(sim, s);
		sim->keys[s] = backend_key(&info);
	}
}

/* Part of the streams whose first event was in time. */
static double sim_run(enum way way, uint32_t count, double demand, bool alike,
		      uint32_t seed)
{
	/* As gossip_interval(): a third of the instances is local. */
	uint32_t local = MIN(100 * MAX(count / CENTRES / 6, 1), 1000);
	uint32_t remote = MIN(100 * MAX(count * 2 / CENTRES / 8, 1), 400);
	struct sim *sim = g_new0(struct sim, 1);
	double result;

	log_setup(NULL, "test", LOG_ERR);
	sim->way = way;
	sim->alike = alike;
	sim->count = count;
	sim->per_sec = demand * CAPACITY_PER_SEC;
	sim->interval[LOCAL] = (int)local / STEP_MSEC;
	sim->interval[REMOTE] = (int)remote / STEP_MSEC;
	sim->rand = g_rand_new_with_seed(seed);
	sim->arrival = g_rand_new_with_seed(seed);
	sim_open(sim);
	for (sim->step = 0; sim->step * STEP_MSEC < END_MSEC; sim->step++) {
		double due = sim->per_sec * STEP_MSEC / 1000.0;

		clock_advance(sim->clock, clock_now(sim->clock) +
						  STEP_MSEC * USEC_PER_MSEC);
		paces_step(sim);
		for (int i = 0; i < 8; i++)
			if (chance(sim, due / 8.0))
				stream_arrive(sim);
		for (uint32_t i = 0; i < count; i++)
			instance_step(sim, i);
		for (uint32_t i = 0; i < SERVERS; i++)
			server_step(sim, i);
	}
	result = sim->in_time / (double)MAX(sim->asked, 1);
	/* The process ends after the test; streams are left to it. */
	for (uint32_t i = 0; i < count; i++)
		fleet_destroy(sim->instances[i].fleet);
	clock_destroy(sim->clock);
	g_rand_free(sim->rand);
	g_rand_free(sim->arrival);
	return result;
}

int main(int argc, char **argv)
{
	static const uint32_t counts_[] = {30, 100, 300};
	static const double demands[] = {0.6, 0.9, 1.5};
	int seeds = argc > 1 ? atoi(argv[1]) : 2;
	for (int a = 0; a < 2; a++)
		for (int c = 0; c < 3; c++)
			for (int d = 0; d < 3; d++) {
				printf("%s %3u %.1f", a ? "alike " : "uneven",
					counts_[c], demands[d]);
				for (int w = 0; w < WAY_COUNT; w++) {
					double sum = 0;
					for (int k = 0; k < seeds; k++)
						sum += sim_run(w, counts_[c],
							demands[d], a, k + 1) / seeds;
					printf(" %s %.3f", way_names[w], sum);
				}
				printf("\n"); fflush(stdout);
			}
	return 0;
}
