/* Faults at each stage of a request. A row is a fault, a column a stage: the
 * expected result of the request, and that of a later retry with the same key
 * at another instance. */
#include "common/log.h"
#include "rows.h"
#include "world.h"

enum stage {
	AT_SUBMIT,  /* the submission is in flight */
	AT_QUEUE,   /* queued for memory */
	AT_GRANT,   /* the grant is in flight */
	AT_PREFILL, /* granted, no stream on the decode runner */
	AT_DECODE,  /* the stream runs and is known to the home */
	AT_RELEASE, /* done, the release is in flight */
	STAGES,
};

/* Ends: D done, L lost with its instance, W withdrawn, R revoked (a paused
 * holder receives its grant before it learns that it was declared dead).
 * Retries: d replays the answer, f runs again, a adopts the stream. If holder
 * and home die at once, the record of the end is lost and the retry runs again
 * (claims on the log protect requests that are not idempotent). */
struct row {
	const char *fault;
	void (*inject)(void);
	void (*repair)(void); /* after REPAIR_USEC */
	const char *ends;
	const char *retries;
};

#define REPAIR_USEC (4 * USEC_PER_SEC)
#define RETRY_SOON_USEC (1 * USEC_PER_SEC)
#define RETRY_LATE_USEC (15 * USEC_PER_SEC)
#define KEY 77

static struct world *world;
static struct job *job;
static int home;
static int holder;
static int replica;

static void block_both(void)
{
	world_block(world, home, holder, true);
	world_block(world, holder, home, true);
}

static void block_to_home(void)
{
	world_block(world, holder, home, true);
}

static void block_to_holder(void)
{
	world_block(world, home, holder, true);
}

static void unblock(void)
{
	world_block(world, home, holder, false);
	world_block(world, holder, home, false);
}

static void lose_messages(void)
{
	world->loss_rate = 0.4;
}

static void duplicate_messages(void)
{
	world->duplicate_rate = 1;
}

static void reorder_messages(void)
{
	world->delay_max = 300 * USEC_PER_MSEC;
}

static void restore_network(void)
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

static void resume_holder(void)
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

static void resume_home(void)
{
	world_resume(world, home);
}

static void kill_home_and_holder(void)
{
	world_kill(world, home);
	world_kill(world, holder);
}

static void kill_replica(void)
{
	world_kill(world, replica);
}

static void restart_replica(void)
{
	world_restart(world, replica);
}

static void leave_home(void)
{
	world_leave(world, home);
}

static void leave_holder(void)
{
	world_leave(world, holder);
}

static void caller_disconnects(void)
{
	app_cancel(job);
}

static void set_ignores_cancel(bool ignores)
{
	for (int i = 0; i < world->engine_count; i++)
		world->engines[i].ignores_cancel = ignores;
}

static void caller_disconnects_cancel_lost(void)
{
	set_ignores_cancel(true);
	app_cancel(job);
}

static void kill_holder_cancel_lost(void)
{
	set_ignores_cancel(true);
	world_kill(world, holder);
}

static void accept_cancels(void)
{
	set_ignores_cancel(false);
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
	{"blocked both ways", block_both, unblock, "DDDDDD", "dddddd"},
	{"blocked to the home", block_to_home, unblock, "DDDDDD", "dddddd"},
	{"blocked to the holder", block_to_holder, unblock, "DDDDDD", "dddddd"},
	{"messages lost", lose_messages, restore_network, "DDDDDD", "dddddd"},
	{"messages duplicated", duplicate_messages, restore_network, "DDDDDD",
	 "dddddd"},
	{"messages reordered", reorder_messages, restore_network, "DDDDDD",
	 "dddddd"},
	{"holder killed", kill_holder, restart_holder, "LLLLLD", "ffffad"},
	{"holder paused", pause_holder, resume_holder, "RDRRDD", "fdffdd"},
	{"home killed", kill_home, restart_home, "DDDDDD", "dddddd"},
	{"home paused", pause_home, resume_home, "DDDDDD", "dddddd"},
	{"both killed", kill_home_and_holder, restart_home, "LLLLLD", "ffffaf"},
	{"replica killed", kill_replica, restart_replica, "DDDDDD", "dddddd"},
	{"home leaves", leave_home, nothing, "DDDDDD", "dddddd"},
	{"holder leaves", leave_holder, nothing, "DDDDDD", "dddddd"},
	{"caller gone", caller_disconnects, nothing, "WWWWWD", "fffffd"},
	{"caller gone, cancel lost", caller_disconnects_cancel_lost,
	 accept_cancels, "WWWWWD", "fffffd"},
	{"holder killed, cancel lost", kill_holder_cancel_lost, accept_cancels,
	 "LLLLLD", "ffffad"},
	{"runner leaves", runner_leaves, nothing, "DDDDDD", "dddddd"},
	{"stream lost twice", stream_lost, nothing, "DDDDDD", "dddddd"},
	{"policy swapped", swap_policy, nothing, "DDDDDD", "dddddd"},
};

static int instance_index(uint64_t id)
{
	for (int i = 0; i < world->count; i++) {
		if (world->instances[i].id == id)
			return i;
	}
	return -1;
}

/* The holder is neither home nor replica, so the replica survives when home and
 * holder are killed. */
static void choose_instances(void)
{
	const struct membership *view = world->instances[0].membership;
	uint64_t pools = id_mix(id_of("prefill"), id_of("decode"));
	uint64_t cell = id_mix(pools, id_of("hall-a"));

	home = instance_index(membership_home(view, "hall-a", cell, 0));
	replica = instance_index(membership_home(view, "hall-a", cell, 1));
	holder = 3 - home - replica;
	g_assert_true(world_home(world) == &world->instances[home]);
}

static uint32_t grants_given(void)
{
	struct ledger_stats stats;

	ledger_stats(world->instances[home].ledger, &stats);
	return stats.grants;
}

static void run_until(bool (*reached)(void))
{
	for (int i = 0; i < 20000 && !reached(); i++)
		world_run(world, 50);
	g_assert_true(reached());
}

static bool is_granted(void)
{
	return grants_given() > 0;
}

static bool is_in_prefill(void)
{
	return job->state == JOB_PREFILL;
}

static bool is_in_decode(void)
{
	return job->state == JOB_DECODE;
}

static bool is_over(void)
{
	return job_over(job);
}

static void fill_memory(void)
{
	struct spec spec = {.tokens = 16000,
			    .decode_usec = 600 * USEC_PER_MSEC};

	app_submit(world, replica, &spec);
	app_submit(world, replica, &spec);
	world_run(world, 100 * USEC_PER_MSEC);
}

static void reach_stage(enum stage stage)
{
	struct spec spec = {.key = KEY, .decode_usec = 400 * USEC_PER_MSEC};

	if (stage == AT_QUEUE)
		fill_memory();
	job = app_submit(world, holder, &spec);
	if (stage == AT_QUEUE)
		world_run(world, 50 * USEC_PER_MSEC);
	else if (stage == AT_GRANT)
		run_until(is_granted);
	else if (stage == AT_PREFILL)
		run_until(is_in_prefill);
	else if (stage >= AT_DECODE)
		run_until(is_in_decode);
	if (stage == AT_DECODE)
		world_run(world, 100 * USEC_PER_MSEC);
	if (stage == AT_RELEASE)
		run_until(is_over);
}

static int job_result(const struct job *which)
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

static int retry_result(const struct job *retry)
{
	if (retry->state == JOB_DUPLICATE &&
	    retry->duplicate.state == RECORD_DONE)
		return 'd';
	if (retry->state != JOB_DONE)
		return '?';
	return retry->adopted ? 'a' : 'f';
}

static void run_case(const struct row *row, enum stage stage)
{
	struct spec spec = {.key = KEY};
	int expected = (unsigned char)row->ends[stage];
	bool soon = expected == 'L';
	struct job *retry;

	world = world_create((uint32_t)stage + 1, 3, "reserve", 100);
	world_run(world, 500 * USEC_PER_MSEC);
	choose_instances();
	reach_stage(stage);
	row->inject();
	world_run(world, RETRY_SOON_USEC);
	if (!soon)
		world_run(world, REPAIR_USEC - RETRY_SOON_USEC);
	if (!soon)
		row->repair();
	if (!soon)
		world_run(world, RETRY_LATE_USEC);
	retry = app_submit(world, replica, &spec);
	retry->adopt = true;
	world_run(world, REPAIR_USEC - RETRY_SOON_USEC);
	if (soon)
		row->repair();
	world_run(world, RETRY_LATE_USEC);
	invariants_end(world);
	g_test_message("%s at stage %d: ends %c, retry %c %s", row->fault,
		       stage, job_result(job), retry_result(retry),
		       world->violation->str);
	g_assert_cmpstr(world->violation->str, ==, "");
	g_assert_cmpint(job_result(job), ==, expected);
	g_assert_cmpint(retry_result(retry), ==,
			(unsigned char)row->retries[stage]);
	world_destroy(world);
}

static void test_row(const void *data)
{
	for (int stage = 0; stage < STAGES; stage++)
		run_case(data, (enum stage)stage);
}

int main(int argc, char **argv)
{
	log_setup(NULL, "test", LOG_ERR);
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/ledger/faults/", rows, test_row);
	return g_test_run();
}
