/* The contract under failure: a row a fault, a column a point in the life of a
 * request. Each cell gives how the request ends, and what a retry of the same
 * key at another instance then meets. */
#include "common/log.h"
#include "rows.h"
#include "world.h"

enum stage {
	AT_ASK,	    /* the ask is on its way */
	AT_QUEUE,   /* it waits for memory */
	AT_GRANT,   /* the grant is on its way */
	AT_PREFILL, /* reserved, nothing on the decode runner */
	AT_DECODE,  /* the stream runs and the home knows it */
	AT_RELEASE, /* done, the release is on its way */
	STAGES,
};

/* Ends: D done, L lost with its instance, W withdrawn, R revoked (a paused
 * holder meets its grant before it hears that it was held dead).
 * Retries: d replays the answer, f runs afresh, a adopts the stream. A record
 * of the end that died with holder and home at once is lost: the retry then
 * runs afresh (claims on the log guard what is not idempotent). */
struct row {
	const char *fault;
	void (*inject)(void);
	void (*mend)(void); /* after MEND_USEC */
	const char *ends;
	const char *retries;
};

#define MEND_USEC (4 * USEC_PER_SEC)
#define RETRY_SOON_USEC (1 * USEC_PER_SEC)
#define RETRY_LATE_USEC (15 * USEC_PER_SEC)
#define KEY 77

static struct world *world;
static struct job *job;
static int home;
static int holder;
static int third;

static void cut_both(void)
{
	world_block(world, home, holder, true);
	world_block(world, holder, home, true);
}

static void cut_to_home(void)
{
	world_block(world, holder, home, true);
}

static void cut_to_holder(void)
{
	world_block(world, home, holder, true);
}

static void join(void)
{
	world_block(world, home, holder, false);
	world_block(world, holder, home, false);
}

static void lossy(void)
{
	world->loss_rate = 0.4;
}

static void double_all(void)
{
	world->duplicate_rate = 1;
}

static void reorder(void)
{
	world->delay_max = 300 * USEC_PER_MSEC;
}

static void calm(void)
{
	world->loss_rate = 0;
	world->duplicate_rate = 0;
	world->delay_max = 3 * USEC_PER_MSEC;
}

static void kill_holder(void)
{
	world_kill(world, holder);
}

static void restart_holder(void)
{
	world_restart(world, holder);
}

static void pause_holder(void)
{
	world_pause(world, holder);
}

static void wake_holder(void)
{
	world_resume(world, holder);
}

static void kill_home(void)
{
	world_kill(world, home);
}

static void restart_home(void)
{
	world_restart(world, home);
}

static void pause_home(void)
{
	world_pause(world, home);
}

static void wake_home(void)
{
	world_resume(world, home);
}

static void kill_home_and_holder(void)
{
	world_kill(world, home);
	world_kill(world, holder);
}

static void kill_third(void)
{
	world_kill(world, third);
}

static void restart_third(void)
{
	world_restart(world, third);
}

static void leave_home(void)
{
	world_leave(world, home);
}

static void leave_holder(void)
{
	world_leave(world, holder);
}

static void caller_gone(void)
{
	app_cancel(job);
}

static void set_deaf(bool deaf)
{
	for (int i = 0; i < world->engine_count; i++)
		world->engines[i].ignores_cancel = deaf;
}

static void caller_gone_deaf(void)
{
	set_deaf(true);
	app_cancel(job);
}

static void kill_holder_deaf(void)
{
	set_deaf(true);
	world_kill(world, holder);
}

static void hear(void)
{
	set_deaf(false);
}

static void runner_leaves(void)
{
	for (int i = 0; i < world->engine_count; i++) {
		if (world->engines[i].id == job->grant.decode)
			world->engines[i].leaving = true;
	}
}

static void stream_lost(void)
{
	job->fail_times = 2;
}

static void swap_policy(void)
{
	world_configure(world, "two_choices", 100);
	world_configure(world, "reserve", 100);
}

static void nothing(void)
{
}

static const struct row rows[] = {
	{"none", nothing, nothing, "DDDDDD", "dddddd"},
	{"cut both ways", cut_both, join, "DDDDDD", "dddddd"},
	{"cut to the home", cut_to_home, join, "DDDDDD", "dddddd"},
	{"cut to the holder", cut_to_holder, join, "DDDDDD", "dddddd"},
	{"messages lost", lossy, calm, "DDDDDD", "dddddd"},
	{"messages doubled", double_all, calm, "DDDDDD", "dddddd"},
	{"messages reordered", reorder, calm, "DDDDDD", "dddddd"},
	{"holder killed", kill_holder, restart_holder, "LLLLLD", "ffffad"},
	{"holder paused", pause_holder, wake_holder, "RDRRDD", "fdffdd"},
	{"home killed", kill_home, restart_home, "DDDDDD", "dddddd"},
	{"home paused", pause_home, wake_home, "DDDDDD", "dddddd"},
	{"both killed", kill_home_and_holder, restart_home, "LLLLLD", "ffffaf"},
	{"replica killed", kill_third, restart_third, "DDDDDD", "dddddd"},
	{"home leaves", leave_home, nothing, "DDDDDD", "dddddd"},
	{"holder leaves", leave_holder, nothing, "DDDDDD", "dddddd"},
	{"caller gone", caller_gone, nothing, "WWWWWD", "fffffd"},
	{"caller gone, cancel lost", caller_gone_deaf, hear, "WWWWWD",
	 "fffffd"},
	{"holder killed, cancel lost", kill_holder_deaf, hear, "LLLLLD",
	 "ffffad"},
	{"runner leaves", runner_leaves, nothing, "DDDDDD", "dddddd"},
	{"stream lost twice", stream_lost, nothing, "DDDDDD", "dddddd"},
	{"policy swapped", swap_policy, nothing, "DDDDDD", "dddddd"},
};

static int index_of_home(uint64_t cell_rank)
{
	for (int i = 0; i < world->count; i++) {
		if (world->instances[i].id == cell_rank)
			return i;
	}
	return -1;
}

/* The third is the home's replica, so that it is not killed with both. */
static void choose(void)
{
	const struct membership *view = world->instances[0].membership;
	uint64_t pools = id_mix(id_of("prefill"), id_of("decode"));
	uint64_t cell = id_mix(pools, id_of("hall-a"));

	home = index_of_home(membership_home(view, "hall-a", cell, 0));
	third = index_of_home(membership_home(view, "hall-a", cell, 1));
	holder = 3 - home - third;
	g_assert_true(world_home(world) == &world->instances[home]);
}

static uint32_t grants_given(void)
{
	struct ledger_stats stats;

	ledger_stats(world->instances[home].ledger, &stats);
	return stats.grants;
}

static void step_until(bool (*reached)(void))
{
	for (int i = 0; i < 20000 && !reached(); i++)
		world_run(world, 50);
	g_assert_true(reached());
}

static bool granted(void)
{
	return grants_given() > 0;
}

static bool in_prefill(void)
{
	return job->state == JOB_PREFILL;
}

static bool in_decode(void)
{
	return job->state == JOB_DECODE;
}

static bool over(void)
{
	return job_over(job);
}

static void fill_memory(void)
{
	struct spec spec = {.tokens = 16000,
			    .decode_usec = 600 * USEC_PER_MSEC};

	app_submit(world, third, &spec);
	app_submit(world, third, &spec);
	world_run(world, 100 * USEC_PER_MSEC);
}

static void reach(enum stage stage)
{
	struct spec spec = {.key = KEY, .decode_usec = 400 * USEC_PER_MSEC};

	if (stage == AT_QUEUE)
		fill_memory();
	job = app_submit(world, holder, &spec);
	if (stage == AT_QUEUE)
		world_run(world, 50 * USEC_PER_MSEC);
	else if (stage == AT_GRANT)
		step_until(granted);
	else if (stage == AT_PREFILL)
		step_until(in_prefill);
	else if (stage >= AT_DECODE)
		step_until(in_decode);
	if (stage == AT_DECODE)
		world_run(world, 100 * USEC_PER_MSEC);
	if (stage == AT_RELEASE)
		step_until(over);
}

static int end_of(const struct job *which)
{
	switch (which->state) {
	case JOB_DONE:
		return 'D';
	case JOB_LOST:
		return 'L';
	case JOB_WITHDRAWN:
		return 'W';
	case JOB_REVOKED:
		return 'R';
	default:
		return '?';
	}
}

static int met_by(const struct job *retry)
{
	if (retry->state == JOB_DUPLICATE &&
	    retry->duplicate.state == RECORD_DONE)
		return 'd';
	if (retry->state != JOB_DONE)
		return '?';
	return retry->adopted ? 'a' : 'f';
}

static void run_cell(const struct row *row, enum stage stage)
{
	struct spec spec = {.key = KEY};
	int expected = (unsigned char)row->ends[stage];
	bool soon = expected == 'L';
	struct job *retry;

	world = world_create((uint32_t)stage + 1, 3, "reserve", 100);
	world_run(world, 500 * USEC_PER_MSEC);
	choose();
	reach(stage);
	row->inject();
	world_run(world, RETRY_SOON_USEC);
	if (!soon)
		world_run(world, MEND_USEC - RETRY_SOON_USEC);
	if (!soon)
		row->mend();
	if (!soon)
		world_run(world, RETRY_LATE_USEC);
	retry = app_submit(world, third, &spec);
	retry->adopt = true;
	world_run(world, MEND_USEC - RETRY_SOON_USEC);
	if (soon)
		row->mend();
	world_run(world, RETRY_LATE_USEC);
	invariants_end(world);
	g_test_message("%s at stage %d: ends %c, retry %c %s", row->fault,
		       stage, end_of(job), met_by(retry),
		       world->violation->str);
	g_assert_cmpstr(world->violation->str, ==, "");
	g_assert_cmpint(end_of(job), ==, expected);
	g_assert_cmpint(met_by(retry), ==, (unsigned char)row->retries[stage]);
	world_destroy(world);
}

static void test_row(const void *data)
{
	for (int stage = 0; stage < STAGES; stage++)
		run_cell(data, (enum stage)stage);
}

int main(int argc, char **argv)
{
	log_setup(NULL, "test", LOG_ERR);
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/ledger/faults/", rows, test_row);
	return g_test_run();
}
