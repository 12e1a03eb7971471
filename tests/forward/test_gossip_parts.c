/*
 * One part of prompts that crashes each server that begins to answer on it, in
 * requests that have nothing else in common, at random instances, with 7, 83
 * and 300 of them: the number of servers that crash, and how many sound
 * requests with the other parts are served. By whole requests alone each one
 * crashed a server.
 */
#include <glib.h>

#include "common/id.h"
#include "coord/suspects.h"
#include "gossip_world.h"

#define STEP_MSEC 50
/* From the start of a run to the crash of the server, and to its end. */
#define CRASH_STEPS 2
#define RUN_STEPS 10
/* Sound requests only, then others beside them. */
#define CALM_STEPS 100
#define TROUBLE_STEPS 400
#define SOUND_PER_STEP 2
#define OUTAGE_SECONDS 60
/* One request in so many steps has the part that crashes servers. */
#define DEADLY_STEPS 4
/* Crashes after which the instances have SETTLE_STEPS to find the part, and
 * requests that may reach servers later. */
#define CRASHES_MAX 5u
#define SETTLE_STEPS 60
#define LATE_MAX 3u

/* The parts of prompts. All requests have the first one. */
enum part {
	PART_FIRST = 1,
	PART_COMMON, /* and the next two */
	PART_RARE = PART_COMMON + 3,
	PART_DEADLY,
};

struct run {
	struct instance *instance;
	struct suspects suspects;
	uint32_t end_step;
	bool deadly;
};

struct result {
	uint32_t crashed;
	uint32_t fifth_step;  /* when the fifth server crashed */
	uint32_t late;	      /* deadly ones sent after the time to settle */
	uint32_t sound;	      /* sent after twice that time */
	uint32_t sound_begun; /* of those, not refused */
	uint32_t rare;
	uint32_t rare_begun;
};

struct scenario {
	struct site *site;
	GArray *runs; /* struct run */
	uint32_t step;
	uint64_t last_request;
	bool with_rare; /* deadly ones mostly have the rare part */
	struct result result;
};

static void on_changed(void *ctx, const struct request_fingerprint *fingerprint)
{
	struct instance *instance = ctx;

	gossip_quarantine_changed(
		instance->gossip,
		quarantine_find(instance->quarantine, fingerprint));
}

static int64_t now_of(const struct scenario *scenario)
{
	return clock_now(scenario->site->clock);
}

static void part_add(struct suspects *suspects, uint64_t name)
{
	suspects_add(suspects, (struct suspect){{name, name << 1}, name});
}

static struct suspects request_make(struct scenario *scenario, bool deadly,
				    bool rare)
{
	uint64_t number = 1000 + ++scenario->last_request;
	struct suspects suspects = {.attempt = id_mix(number, 0)};

	/* The request as a whole is never the same. */
	part_add(&suspects, number);
	part_add(&suspects, PART_FIRST);
	part_add(&suspects,
		 PART_COMMON + (uint64_t)g_test_rand_int_range(0, 3));
	if (rare)
		part_add(&suspects, PART_RARE);
	if (deadly)
		part_add(&suspects, PART_DEADLY);
	return suspects;
}

static void run_start(struct scenario *scenario, bool deadly, bool rare)
{
	struct site *site = scenario->site;
	struct result *result = &scenario->result;
	struct run run = {
		.instance = &site->instances[g_test_rand_int_range(
			0, (gint32)site->count)],
		.suspects = request_make(scenario, deadly, rare),
		.end_step = scenario->step + (deadly ? CRASH_STEPS : RUN_STEPS),
		.deadly = deadly,
	};
	bool begun =
		!suspects_find_held(run.instance->quarantine, &run.suspects,
				    now_of(scenario), on_changed, run.instance);
	uint32_t since =
		result->fifth_step ? scenario->step - result->fifth_step : 0;

	if (begun)
		g_array_append_val(scenario->runs, run);
	if (deadly) {
		result->late += begun && since > SETTLE_STEPS;
		return;
	}
	if (scenario->step < CALM_STEPS + 2 * SETTLE_STEPS)
		return;
	result->sound += !rare;
	result->sound_begun += !rare && begun;
	result->rare += rare;
	result->rare_begun += rare && begun;
}

static void crash_record(struct scenario *scenario, const struct run *run)
{
	suspects_record_crash(run->instance->quarantine, &run->suspects,
			      scenario->result.crashed, now_of(scenario),
			      on_changed, run->instance);
}

/* A sound request that was beside it is lost, too. */
static void bystander_crash(struct scenario *scenario)
{
	guint at;

	if (scenario->runs->len == 0)
		return;
	at = (guint)g_test_rand_int_range(0, (gint32)scenario->runs->len);
	if (g_array_index(scenario->runs, struct run, at).deadly)
		return;
	crash_record(scenario, &g_array_index(scenario->runs, struct run, at));
	g_array_remove_index_fast(scenario->runs, at);
}

static void server_crash(struct scenario *scenario, const struct run *run)
{
	struct result *result = &scenario->result;

	if (++result->crashed == CRASHES_MAX)
		result->fifth_step = scenario->step;
	crash_record(scenario, run);
	bystander_crash(scenario);
}

static void run_end(struct scenario *scenario, const struct run *run)
{
	struct quarantine *quarantine = run->instance->quarantine;

	if (run->deadly) {
		server_crash(scenario, run);
		return;
	}
	suspects_record_success(quarantine, &run->suspects, now_of(scenario));
	suspects_clear(quarantine, &run->suspects, on_changed, run->instance);
}

static void runs_end(struct scenario *scenario)
{
	for (guint i = scenario->runs->len; i > 0; i--) {
		struct run run;

		if (i > scenario->runs->len)
			continue;
		run = g_array_index(scenario->runs, struct run, i - 1);
		if (run.end_step > scenario->step)
			continue;
		g_array_remove_index_fast(scenario->runs, i - 1);
		run_end(scenario, &run);
	}
}

static void step(struct scenario *scenario, bool deadly)
{
	bool rare = g_test_rand_int_range(0, 20) == 0;

	for (int i = 0; i < SOUND_PER_STEP; i++)
		run_start(scenario, false, rare && i == 0);
	if (deadly && scenario->step % DEADLY_STEPS == 0)
		run_start(scenario, true,
			  scenario->with_rare &&
				  g_test_rand_int_range(0, 10) > 0);
	site_advance(scenario->site, STEP_MSEC);
	scenario->step++;
	runs_end(scenario);
}

static void restart_all(struct scenario *scenario)
{
	struct site *site = scenario->site;

	g_array_set_size(scenario->runs, 0);
	for (uint32_t i = 0; i < site->count; i++)
		instance_stop(&site->instances[i]);
	for (uint32_t i = 0; i < site->count; i++) {
		instance_start(&site->instances[i]);
		add_all_peers(site, &site->instances[i]);
	}
}

static void part_check(uint32_t count, bool restarted, bool with_rare)
{
	struct scenario scenario = {
		.site = site_open(count),
		.runs = g_array_new(FALSE, FALSE, sizeof(struct run)),
		.with_rare = with_rare,
	};
	const struct result *result = &scenario.result;

	for (int i = 0; i < CALM_STEPS; i++)
		step(&scenario, false);
	if (restarted)
		restart_all(&scenario);
	for (int i = 0; i < TROUBLE_STEPS; i++)
		step(&scenario, true);
	g_test_message("%u instances: %u crashed, %u late, sound %u of %u, "
		       "with the rare part %u of %u",
		       count, result->crashed, result->late,
		       result->sound_begun, result->sound, result->rare_begun,
		       result->rare);
	g_assert_cmpuint(result->late, <=, LATE_MAX);
	g_assert_cmpuint(result->crashed, <=, CRASHES_MAX + LATE_MAX);
	g_assert_cmpuint(result->sound_begun * 2, >=, result->sound);
	g_assert_cmpuint(result->rare_begun * 2, >=, result->rare);
	g_array_unref(scenario.runs);
	site_close(scenario.site);
}

static void test_running(void)
{
	part_check(7, false, false);
	part_check(83, false, false);
	part_check(300, false, false);
}

/* No instance remembers that the sound parts have succeeded. */
static void test_started(void)
{
	part_check(7, true, false);
	part_check(83, true, false);
	part_check(300, true, false);
}

/* Most requests with the deadly part have a sound one that few others have. */
static void test_companion(void)
{
	part_check(7, true, true);
	part_check(83, true, true);
	part_check(300, true, true);
}

/* Three servers crash by another cause, with all runs, right after a start: the
 * parts that all requests have are held, and nothing runs that could clear
 * them. One request a second comes later. */
static void outage_check(uint32_t count)
{
	struct scenario scenario = {
		.site = site_open(count),
		.runs = g_array_new(FALSE, FALSE, sizeof(struct run)),
	};
	const struct result *result = &scenario.result;

	scenario.step = CALM_STEPS + 2 * SETTLE_STEPS;
	for (int i = 0; i < 3; i++)
		step(&scenario, false);
	for (guint i = 0; i < scenario.runs->len; i++) {
		scenario.result.crashed = i % 3;
		crash_record(&scenario,
			     &g_array_index(scenario.runs, struct run, i));
	}
	g_array_set_size(scenario.runs, 0);
	scenario.result = (struct result){0};
	for (int i = 0; i < OUTAGE_SECONDS; i++) {
		site_advance(scenario.site, 950);
		scenario.step += 19;
		runs_end(&scenario);
		step(&scenario, false);
	}
	g_test_message("%u instances: sound %u of %u", count,
		       result->sound_begun, result->sound);
	g_assert_cmpuint(result->sound_begun * 2, >=, result->sound);
	g_array_unref(scenario.runs);
	site_close(scenario.site);
}

static void test_outage(void)
{
	outage_check(7);
	outage_check(83);
	outage_check(300);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/gossip/parts/running", test_running);
	g_test_add_func("/forward/gossip/parts/started", test_started);
	g_test_add_func("/forward/gossip/parts/companion", test_companion);
	g_test_add_func("/forward/gossip/parts/outage", test_outage);
	return g_test_run();
}
