/*
 * Simulates the loss of most prefill servers for five seconds, and counts the
 * callers whose prompt is prefilled in time. Compares waiting for the remaining
 * prefill servers with decode servers that prefill by themselves when the
 * remaining ones are behind. The servers are those of fleet.h and place.h, with
 * exact views.
 *
 * When all wait, 0.066 of the callers during the loss were in time; when decode
 * servers prefill, 1.00. Without a loss no decode server prefills.
 */
#include <glib.h>

#include "common/clock.h"
#include "forward/place.h"

#define PREFILLS 8u
#define DECODES 36u
#define LOST_SERVERS 6u
#define OUTAGE_FROM 5000
#define OUTAGE_TO 10000
#define END_MSEC 15000
#define PROMPT 5000u
#define CALLERS_PER_SEC 60.0
#define TOKENS_PER_MSEC 55.0
/* Part of the target of 900 ms that is left for prefilling: the rest is the
 * time from the start of a run to its first event. */
#define PREFILL_TARGET_MSEC 650
/* Tokens that a prefill server processes in 0.45 of the target. */
#define AHEAD_TOKENS_MAX 22275u
#define SERVICE 1
#define SERVERS (PREFILLS + DECODES)

struct job {
	int arrived;
	double left; /* tokens still to be prefilled */
};

struct server {
	struct backend *backend;
	GQueue jobs; /* struct job, processed in order */
	double rate; /* tokens a millisecond */
};

struct sim {
	struct clock *clock;
	struct fleet *fleet;
	GRand *rand;
	int now;
	struct server servers[SERVERS];
	bool always_waits; /* callers wait for a prefill server, however long
			      its queue is */
	uint32_t own_prefills_normal; /* such prompts without a loss */
	uint32_t requested;	      /* callers during the loss */
	uint32_t in_time;      /* callers during the loss that were in time */
	uint32_t own_prefills; /* prompts prefilled by decode servers during the
				  loss */
};

static void server_add(struct sim *sim, uint32_t i)
{
	struct backend_info info = {
		.service = SERVICE,
		.stage = i < PREFILLS ? STAGE_PREFILL : STAGE_DECODE,
		.slots = 16,
	};
	double rate = i < PREFILLS ? TOKENS_PER_MSEC : TOKENS_PER_MSEC / 2.0;

	g_snprintf(info.id, sizeof(info.id), "s%u", i);
	g_snprintf(info.address, sizeof(info.address), "10.0.0.%u:1", i);
	g_strlcpy(info.data_centre, "here", sizeof(info.data_centre));
	sim->servers[i] = (struct server){
		.backend = fleet_put(sim->fleet, &info),
		.rate = rate,
	};
	g_queue_init(&sim->servers[i].jobs);
}

static struct server *server_of(struct sim *sim, const struct backend *backend)
{
	for (uint32_t i = 0; i < SERVERS; i++)
		if (sim->servers[i].backend == backend)
			return &sim->servers[i];
	return NULL;
}

static bool in_outage(const struct sim *sim)
{
	return sim->now >= OUTAGE_FROM && sim->now < OUTAGE_TO;
}

static void caller_arrive(struct sim *sim)
{
	struct place place = {
		.fleet = sim->fleet,
		.now = clock_now(sim->clock),
		.service = SERVICE,
		.rand = sim->rand,
	};
	uint32_t at = PREFILLS +
		      (uint32_t)g_rand_int_range(sim->rand, 0, (gint32)DECODES);
	struct backend *to = sim->servers[at].backend;
	struct backend *prefiller =
		place_prompt(&place, to, PROMPT, AHEAD_TOKENS_MAX);
	struct job *job = g_new(struct job, 1);

	if (!prefiller && sim->always_waits)
		prefiller = place_prefill(&place, to);
	sim->requested += in_outage(sim);
	sim->own_prefills += !prefiller && in_outage(sim);
	sim->own_prefills_normal += !prefiller && !in_outage(sim);
	if (!prefiller)
		prefiller = to;
	*job = (struct job){sim->now, PROMPT};
	prefiller->own.prefill_tokens += PROMPT;
	g_queue_push_tail(&server_of(sim, prefiller)->jobs, job);
}

static void job_end(struct sim *sim, const struct job *job)
{
	if (job->arrived >= OUTAGE_FROM && job->arrived < OUTAGE_TO)
		sim->in_time += sim->now - job->arrived <= PREFILL_TARGET_MSEC;
}

static void server_step(struct sim *sim, struct server *server)
{
	double tokens = server->rate;
	struct job *job;

	while (tokens > 0.0 && (job = g_queue_peek_head(&server->jobs))) {
		double done = MIN(tokens, job->left);

		job->left -= done;
		tokens -= done;
		if (job->left > 0.0)
			return;
		job_end(sim, job);
		server->backend->own.prefill_tokens -= PROMPT;
		g_free(g_queue_pop_head(&server->jobs));
	}
}

/* The loss is known at once. Prompts that the lost servers had are not counted.
 */
static void servers_set_lost(struct sim *sim, bool lost)
{
	for (uint32_t i = 0; i < LOST_SERVERS; i++)
		sim->servers[i].backend->info.leaving = lost;
}

static void sim_run(struct sim *sim)
{
	for (; sim->now < END_MSEC; sim->now++) {
		if (sim->now == OUTAGE_FROM || sim->now == OUTAGE_TO)
			servers_set_lost(sim, sim->now == OUTAGE_FROM);
		if (g_rand_double(sim->rand) < CALLERS_PER_SEC / 1000.0)
			caller_arrive(sim);
		for (uint32_t i = 0; i < SERVERS; i++)
			server_step(sim, &sim->servers[i]);
	}
}

static void sim_open(struct sim *sim, uint32_t seed, bool always_waits)
{
	*sim = (struct sim){
		.clock = clock_create(0),
		.rand = g_rand_new_with_seed(seed),
		.always_waits = always_waits,
	};
	sim->fleet = fleet_create(sim->clock, "here");
	for (uint32_t i = 0; i < SERVERS; i++)
		server_add(sim, i);
}

static void sim_close(struct sim *sim)
{
	for (uint32_t i = 0; i < SERVERS; i++)
		g_queue_clear_full(&sim->servers[i].jobs, g_free);
	fleet_destroy(sim->fleet);
	clock_destroy(sim->clock);
	g_rand_free(sim->rand);
}

static void test_lost(void)
{
	double in_time[2] = {0};
	uint32_t own_prefills_normal = 0;

	for (uint32_t seed = 1; seed <= 10; seed++)
		for (int always_waits = 0; always_waits < 2; always_waits++) {
			struct sim sim;

			sim_open(&sim, seed, always_waits);
			sim_run(&sim);
			in_time[always_waits] +=
				(double)sim.in_time / sim.requested;
			own_prefills_normal +=
				always_waits ? 0 : sim.own_prefills_normal;
			sim_close(&sim);
		}
	g_test_message("in time: %.3f waiting for prefill servers, %.3f with "
		       "prefill by decode servers; %u of these without a loss",
		       in_time[1] / 10, in_time[0] / 10, own_prefills_normal);
	/* With decode servers helping, at least 99 % are in time. */
	g_assert_cmpfloat(in_time[0] / 10, >=, 0.99);
	g_assert_cmpfloat(in_time[1], <, in_time[0]);
	g_assert_cmpuint(own_prefills_normal, <=, 10);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/reading/lost", test_lost);
	return g_test_run();
}
