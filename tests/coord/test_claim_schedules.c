/*
 * Random schedules of claims under faults: per key at most one claim wins, in
 * two data centres with two claim writers each, and every answer is correct.
 * CLAIM_SEED runs one schedule, CLAIM_COUNT another number than 1,000.
 */
#include "claim_fleet.h"
#include "common/log.h"
#include "seeds.h"

#define KEYS 12
#define STEPS 1200
#define TIMEOUT (3 * USEC_PER_SEC)

/* Faults per thousand steps. */
struct faults {
	int kills;
	int pauses;
	int outages;
	int cuts;
};

static struct faults faults_draw(struct fleet *fleet, uint32_t seed)
{
	struct world *world = fleet->world;
	struct faults faults = {0};

	fleet->log->delay = 1 + world_draw(world, 60 * USEC_PER_MSEC);
	if (seed % 8 == 0)
		return faults;
	fleet->link_delay = 1 + world_draw(world, 40 * USEC_PER_MSEC);
	fleet->view_lag = 1 + world_draw(world, 3 * USEC_PER_SEC);
	fleet->drop_percent = (int)world_draw(world, 20);
	fleet->duplicate_percent = (int)world_draw(world, 20);
	fleet->log->lost_percent = (int)world_draw(world, 60);
	fleet->log->hole_percent = (int)world_draw(world, 20);
	world->stale_percent = 50;
	faults.kills = (int)world_draw(world, 8);
	faults.pauses = (int)world_draw(world, 8);
	faults.outages = (int)world_draw(world, 3);
	faults.cuts = (int)world_draw(world, 3);
	return faults;
}

static bool occurs(struct world *world, int per_thousand)
{
	return g_rand_int_range(world->rand, 0, 1000) < per_thousand;
}

static void step_faults(struct fleet *fleet, const struct faults *faults)
{
	struct world *world = fleet->world;
	uint32_t i = (uint32_t)world_draw(world, FAKE_MEMBERS);
	struct instance *instance = &fleet->instances[i];

	if (occurs(world, faults->kills) && instance->claims)
		fleet_kill(fleet, i);
	else if (occurs(world, 10) && !instance->claims)
		fleet_start(fleet, i);
	if (occurs(world, faults->pauses) && instance->claims)
		instance->node->paused = true;
	else if (occurs(world, 10))
		instance->node->paused = false;
	if (occurs(world, faults->outages))
		fleet->log->outage = true;
	else if (occurs(world, 10))
		fleet->log->outage = false;
	if (occurs(world, faults->cuts))
		fleet->isolated |= 1u << i;
	else if (occurs(world, 10))
		fleet->isolated = 0;
	if (occurs(world, faults->cuts))
		instance->client.partitioned = true;
	else if (occurs(world, 10))
		instance->client.partitioned = false;
}

static void step_submit(struct fleet *fleet)
{
	struct world *world = fleet->world;
	uint32_t i = (uint32_t)world_draw(world, FAKE_MEMBERS);
	struct instance *instance = &fleet->instances[i];
	uint64_t key = 1 + (uint64_t)world_draw(world, KEYS);

	if (occurs(world, 60) && instance->claims && !instance->node->paused)
		fleet_submit(fleet, i, key, TIMEOUT);
}

static void fleet_heal(struct fleet *fleet)
{
	fleet->drop_percent = 0;
	fleet->log->lost_percent = 0;
	fleet->log->hole_percent = 0;
	fleet->log->outage = false;
	fleet->isolated = 0;
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++) {
		fleet->instances[i].node->paused = false;
		fleet->instances[i].client.partitioned = false;
		if (!fleet->instances[i].claims)
			fleet_start(fleet, i);
	}
}

/* In a schedule without faults nothing may stay undecided. */
static void check_decided(const struct fleet *fleet)
{
	for (guint i = 0; i < fleet->submissions->len; i++) {
		const struct submission *submission =
			fleet->submissions->pdata[i];

		g_assert_true(submission->code == RESULT_OK ||
			      submission->code == RESULT_ALREADY_CLAIMED);
	}
}

static int schedule_run(uint32_t seed, bool *won)
{
	struct fleet *fleet = fleet_create(seed);
	struct faults faults = faults_draw(fleet, seed);
	int winners;

	for (uint32_t i = 0; i < FAKE_MEMBERS; i++)
		fleet_start(fleet, i);
	for (int step = 0; step < STEPS; step++) {
		step_faults(fleet, &faults);
		step_submit(fleet);
		world_step(fleet->world);
	}
	fleet_heal(fleet);
	fleet_run(fleet, 2 * TIMEOUT);
	if (seed % 8 == 0)
		check_decided(fleet);
	winners = fleet_check(fleet);
	*won = winners > 0;
	fleet_destroy(fleet);
	return winners;
}

static void test_schedules(void)
{
	const struct seeds seeds = seeds_from_env("CLAIM");
	int winners = 0, none_won = 0;
	bool won;

	for (uint32_t i = 0; i < seeds.count; i++) {
		uint32_t seed = seeds.first + i;

		g_test_message("seed %u", seed);
		winners += schedule_run(seed, &won);
		none_won += !won;
	}
	g_test_message("%u schedules, %d claims won, none won in %d",
		       seeds.count, winners, none_won);
	/* The faults must leave some claims possible in most schedules. */
	g_assert_cmpint(none_won, <=, (int)seeds.count / 20);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, NULL, LOG_CRIT);
	g_test_add_func("/claim/schedules", test_schedules);
	return g_test_run();
}
