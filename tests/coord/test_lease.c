/* Leases under faults: which instance holds the task next, and when. */
#include "common/log.h"
#include "lease_fold.h"
#include "lease_trial.h"

enum fault {
	FAULT_NONE,
	FAULT_KILL,
	FAULT_CUT,
	FAULT_PAUSE,
	FAULT_RELEASE,
	FAULT_LOST_ANSWERS,
	FAULT_SLOW_LOG,
	FAULT_OUTAGE,
	FAULT_RETENTION,
};

/* The first holder has a fault for some seconds. The next one holds the task
 * between taken_min and taken_max (0: never) seconds after the fault began. */
static const struct {
	const char *name;
	enum fault fault;
	int64_t seconds;
	bool checks_fencing; /* the engine */
	double taken_min, taken_max;
} cases[] = {
	{"none", FAULT_NONE, 30, true, 0, 0},
	{"none, engine does not check", FAULT_NONE, 30, false, 0, 0},
	{"killed", FAULT_KILL, 30, true, 7.0, 14.0},
	{"killed, engine does not check", FAULT_KILL, 30, false, 14.0, 22.0},
	{"cut off from the log", FAULT_CUT, 30, true, 7.0, 14.0},
	{"cut off from the log, engine does not check", FAULT_CUT, 30, false,
	 14.0, 22.0},
	{"paused within the lease", FAULT_PAUSE, 4, true, 0, 0},
	{"paused past the lease", FAULT_PAUSE, 30, true, 7.0, 14.0},
	{"paused past the lease, engine does not check", FAULT_PAUSE, 30, false,
	 14.0, 22.0},
	{"releases it", FAULT_RELEASE, 30, true, 0.0, 2.0},
	{"releases it, engine does not check", FAULT_RELEASE, 30, false, 6.0,
	 10.0},
	{"all answers lost", FAULT_LOST_ANSWERS, 30, true, 0, 0},
	{"log slow within the lease", FAULT_SLOW_LOG, 5, true, 0, 0},
	{"log down within the lease", FAULT_OUTAGE, 4, true, 0, 0},
	{"log down past the lease", FAULT_OUTAGE, 30, true, 30.0, 0},
	{"retention drops the take", FAULT_RETENTION, 30, true, 0, 0},
};

static void fault_set(struct holder *holder, enum fault fault, bool on)
{
	struct fake_log *log = holder->trial->log;

	switch (fault) {
	case FAULT_KILL:
		if (on)
			holder_kill(holder);
		else
			holder_start(holder);
		break;
	case FAULT_CUT:
		holder->client.partitioned = on;
		break;
	case FAULT_PAUSE:
		holder->node->paused = on;
		break;
	case FAULT_RELEASE:
		if (on)
			holder_release(holder);
		else
			holder_acquire(holder);
		break;
	case FAULT_LOST_ANSWERS:
		log->lost_percent = on ? 100 : 0;
		break;
	case FAULT_SLOW_LOG:
		log->fixed_delay = on ? USEC_PER_SEC : 0;
		break;
	case FAULT_OUTAGE:
		log->outage = on;
		break;
	case FAULT_RETENTION:
		log->retention = on ? 12 * USEC_PER_SEC : 0;
		break;
	case FAULT_NONE:
		break;
	}
}

/* Runs for usec; returns the seconds until another instance held the task, or 0
 * if none did. */
static double watch(struct trial *trial, uint32_t previous, int64_t usec)
{
	int64_t begin = clock_now(trial->world->clock);
	double taken_after = 0.0;
	uint32_t now;

	while (clock_now(trial->world->clock) < begin + usec) {
		trial_step(trial);
		if (taken_after == 0.0 && trial_check_holders(trial, &now) &&
		    now != previous)
			taken_after = (double)(clock_now(trial->world->clock) -
					       begin) /
				      (double)USEC_PER_SEC;
	}
	return taken_after;
}

static void case_run(size_t i)
{
	struct trial *trial = trial_create(11);
	uint64_t fence;
	uint32_t first;
	double taken_after;

	trial->engine.checks_fencing = cases[i].checks_fencing;
	for (uint32_t j = 0; j < HOLDERS; j++)
		holder_start(&trial->holders[j]);
	trial_run(trial, 5 * USEC_PER_SEC);
	g_assert_cmpint(trial_check_holders(trial, &first), ==, 1);
	fence = trial->fence;

	fault_set(&trial->holders[first], cases[i].fault, true);
	taken_after = watch(trial, first, cases[i].seconds * USEC_PER_SEC);
	fault_set(&trial->holders[first], cases[i].fault, false);
	trial_run(trial, 30 * USEC_PER_SEC);
	g_assert_cmpint(trial_check_holders(trial, NULL), ==, 1);
	if (cases[i].taken_max > 0.0) {
		g_assert_cmpfloat(taken_after, >=, cases[i].taken_min);
		g_assert_cmpfloat(taken_after, <=, cases[i].taken_max);
		g_assert_cmpfloat(taken_after, >, 0.0);
		g_assert_cmpuint(trial->fence, >, fence);
	} else {
		g_assert_cmpfloat(taken_after, ==, 0.0);
	}
	/* Renewals and short faults do not change the fencing number. */
	if (cases[i].taken_max == 0.0 && cases[i].taken_min == 0.0)
		g_assert_cmpuint(trial->fence, ==, fence);
	g_assert_cmpint(trial->engine.orders, >, 10);
	trial_destroy(trial);
}

static void test_faults(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s", cases[i].name);
		case_run(i);
	}
}

/* After a pause past its lease the holder no longer holds it, and the engine
 * has the fencing number of the next holder. */
static void test_fenced(void)
{
	struct trial *trial = trial_create(12);
	uint32_t first = 0, second = 0;

	trial->engine.checks_fencing = true;
	for (uint32_t i = 0; i < HOLDERS; i++)
		holder_start(&trial->holders[i]);
	trial_run(trial, 5 * USEC_PER_SEC);
	g_assert_cmpint(trial_check_holders(trial, &first), ==, 1);
	trial->holders[first].node->paused = true;
	trial_run(trial, 20 * USEC_PER_SEC);
	g_assert_cmpint(trial_check_holders(trial, &second), ==, 1);
	g_assert_cmpuint(second, !=, first);
	g_assert_cmpuint(trial->engine.fence, ==, trial->fence);
	trial->holders[first].node->paused = false;
	trial_step(trial);
	g_assert_false(trial->holders[first].held);
	trial_destroy(trial);
}

/* An instance that waits to take the lease is paused and then reads a recent
 * renewal while its clock is still behind: its wait must begin now, not at the
 * old clock time. The read must have been under way at the pause, so several
 * offsets are tried. */
static void stale_clock_run(int64_t offset)
{
	struct trial *trial = trial_create(15);
	struct holder *holder = &trial->holders[0];
	struct holder *taker = &trial->holders[1];

	trial->engine.checks_fencing = true;
	trial->world->stale_percent = 100;
	holder_start(holder);
	trial_run(trial, USEC_PER_SEC);
	holder_start(taker);
	trial_run(trial, 5 * USEC_PER_SEC + offset);
	g_assert_true(lease_valid(holder->leases, TASK, NULL));
	taker->node->paused = true;
	holder->node->paused = true;
	trial_run(trial, 3400 * USEC_PER_MSEC);
	holder->node->paused = false;
	trial_run(trial, 300 * USEC_PER_MSEC);
	holder->client.partitioned = true;
	trial_run(trial, 7500 * USEC_PER_MSEC);
	taker->node->paused = false;
	trial_run(trial, 500 * USEC_PER_MSEC);
	g_assert_true(lease_valid(holder->leases, TASK, NULL));
	trial_run(trial, 20 * USEC_PER_SEC);
	g_assert_true(lease_valid(taker->leases, TASK, NULL));
	trial_destroy(trial);
}

static void test_stale_clock_renewal(void)
{
	for (int64_t i = 0; i < 12; i++)
		stale_clock_run(i * 350 * USEC_PER_MSEC);
}

/* The log comes back from an old copy: the record by which the holder took the
 * task, or those of later holders, are lost and their offsets are given out
 * again. trial_step() checks that no two hold it at once and that fencing
 * numbers rise. */
static void restored_run(int64_t age_usec, bool partitioned)
{
	struct trial *trial = trial_create(17);
	uint32_t first;
	uint64_t fence;

	trial->engine.checks_fencing = true;
	trial->log->era = 1;
	for (uint32_t i = 0; i < HOLDERS; i++)
		holder_start(&trial->holders[i]);
	trial_run(trial, 5 * USEC_PER_SEC);
	g_assert_cmpint(trial_check_holders(trial, &first), ==, 1);
	for (int i = 0; i < 3; i++) {
		fence = trial->fence;
		trial->holders[first].client.partitioned = partitioned;
		fake_log_restore(trial->log, age_usec);
		trial_run(trial, 30 * USEC_PER_SEC);
		trial->holders[first].client.partitioned = false;
		trial_run(trial, 10 * USEC_PER_SEC);
		g_assert_cmpint(trial_check_holders(trial, &first), ==, 1);
		g_assert_cmpuint(trial->fence, >, fence);
	}
	trial_destroy(trial);
}

static void test_restored(void)
{
	for (int64_t age = 1; age <= 32; age *= 2) {
		restored_run(age * USEC_PER_SEC, false);
		restored_run(age * USEC_PER_SEC, true);
	}
}

/* An instance is paused before it reads back its own take and reads it with a
 * clock that is behind. It must not hold the task, as another has taken it. */
static void test_stale_clock_take(void)
{
	struct trial *trial = trial_create(16);
	struct holder *first = &trial->holders[0];
	struct holder *second = &trial->holders[1];

	trial->engine.checks_fencing = true;
	trial->world->stale_percent = 100;
	trial->log->fixed_delay = 100 * USEC_PER_MSEC;
	holder_start(first);
	while (!fake_log_records(trial->log, LOG_STREAM_LEASES)->len)
		trial_step(trial);
	first->node->paused = true;
	g_assert_false(first->held);
	holder_start(second);
	trial_run(trial, 20 * USEC_PER_SEC);
	g_assert_true(lease_valid(second->leases, TASK, NULL));
	first->node->paused = false;
	trial_run(trial, 20 * USEC_PER_SEC);
	g_assert_true(lease_valid(second->leases, TASK, NULL));
	g_assert_cmpint(trial->taken, ==, 1);
	trial_destroy(trial);
}

struct fold_step {
	uint64_t offset;
	uint64_t after;
	enum lease_action action;
	enum lease_verdict verdict;
};

/* The reader begins at known_from. All readers that can judge a record reach
 * the same verdict. */
static const struct {
	const char *name;
	uint64_t known_from;
	struct fold_step steps[5];
} folds[] = {
	{"one after another",
	 0,
	 {{3, 0, LEASE_TAKE, LEASE_VALID},
	  {5, 4, LEASE_RENEW, LEASE_VALID},
	  {9, 6, LEASE_RELEASE, LEASE_VALID},
	  {12, 10, LEASE_TAKE, LEASE_VALID}}},
	{"two at once: the first",
	 0,
	 {{3, 0, LEASE_TAKE, LEASE_VALID},
	  {4, 0, LEASE_TAKE, LEASE_VOID},
	  {6, 4, LEASE_RENEW, LEASE_VOID},
	  {8, 7, LEASE_RENEW, LEASE_VALID}}},
	{"appended twice",
	 0,
	 {{3, 0, LEASE_TAKE, LEASE_VALID}, {7, 0, LEASE_TAKE, LEASE_VOID}}},
	{"a late reader",
	 5,
	 {{5, 4, LEASE_RENEW, LEASE_UNCLEAR},
	  {6, 2, LEASE_TAKE, LEASE_VOID},
	  {9, 7, LEASE_RENEW, LEASE_VALID}}},
};

static void test_fold(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(folds); i++) {
		struct lease_state state = {.known_from = folds[i].known_from};
		const struct fold_step *step = folds[i].steps;

		g_test_message("%s", folds[i].name);
		for (; step->offset; step++) {
			struct lease_record record = {.action = step->action,
						      .after = step->after};

			g_assert_cmpint(
				lease_fold(&state, &record, step->offset), ==,
				step->verdict);
			if (step->verdict != LEASE_VOID)
				g_assert_cmpint(state.released, ==,
						step->action == LEASE_RELEASE);
		}
	}
}

/* Random bytes in the stream neither crash the reader nor take the lease. */
static void test_garbage(void)
{
	struct trial *trial = trial_create(13);
	uint8_t bytes[16];

	trial->engine.checks_fencing = true;
	for (int i = 0; i < 3000; i++) {
		size_t size = (size_t)g_test_rand_int_range(0, sizeof(bytes));

		for (size_t j = 0; j < size; j++)
			bytes[j] = (uint8_t)g_test_rand_int_range(0, 128);
		bytes[0] = 0x97;
		fake_log_put(trial->log, LOG_STREAM_LEASES, bytes, size);
	}
	for (uint32_t i = 0; i < HOLDERS; i++)
		holder_start(&trial->holders[i]);
	/* The stream is not read whole, so the holder waits a full term. */
	trial_run(trial, 15 * USEC_PER_SEC);
	g_assert_cmpint(trial_check_holders(trial, NULL), ==, 1);
	trial_destroy(trial);
}

static void test_misuse(void)
{
	struct trial *trial = trial_create(14);
	struct holder *holder = &trial->holders[0];
	uint64_t fence = 7;

	trial->engine.checks_fencing = true;
	holder_start(holder);
	lease_release(holder->leases, TASK + 1); /* never acquired */
	lease_acquire(holder->leases, TASK);	 /* twice */
	g_assert_false(lease_valid(holder->leases, TASK + 1, &fence));
	g_assert_cmpuint(fence, ==, 7);
	trial_run(trial, 2 * USEC_PER_SEC);
	g_assert_true(lease_valid(holder->leases, TASK, &fence));
	g_assert_cmpuint(fence, ==, trial->fence);
	holder_release(holder);
	g_assert_false(lease_valid(holder->leases, TASK, NULL));
	lease_release(holder->leases, TASK);
	trial_destroy(trial);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, NULL, LOG_CRIT);
	g_test_add_func("/lease/faults", test_faults);
	g_test_add_func("/lease/fenced", test_fenced);
	g_test_add_func("/lease/restored", test_restored);
	g_test_add_func("/lease/stale_reading", test_stale_clock_renewal);
	g_test_add_func("/lease/stale_take", test_stale_clock_take);
	g_test_add_func("/lease/fold", test_fold);
	g_test_add_func("/lease/garbage", test_garbage);
	g_test_add_func("/lease/bad_calls", test_misuse);
	return g_test_run();
}
