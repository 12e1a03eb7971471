/* The ledger without faults: grants, refusals, duplicates, queue order and
 * message cost. */
#include <msgpack.h>

#include "common/log.h"
#include "rows.h"
#include "world.h"

#define MSEC USEC_PER_MSEC
#define CYCLE_BYTES_MAX 200 /* submission, grant, release, acknowledgements */

static struct world *world;

static void world_start(const char *policy, uint32_t queue_max)
{
	world = world_create(1, 3, policy, queue_max);
	world_run(world, 500 * MSEC);
}

/* Reserves all decode memory for the given decode time. */
static void fill_decode_memory(int64_t work)
{
	struct spec spec = {.tokens = 16000, .decode_usec = work};

	app_submit(world, 0, &spec);
	app_submit(world, 1, &spec);
	world_run(world, 50 * MSEC);
	g_assert_cmpuint(world->engines[2].used, ==, 8);
	g_assert_cmpuint(world->engines[3].used, ==, 8);
}

static void test_grant(void)
{
	struct job *job;

	world_start("reserve", 100);
	job = app_submit(world, 0, &(struct spec){.key = 0});
	world_run(world, 50 * MSEC);
	g_assert_cmpint(job->state, ==, JOB_DECODE);
	g_assert_cmpuint(job->grant.pieces, ==, 2);
	g_assert_true(
		engine_has(engine_find(world, job->grant.decode), job->stream));
	world_run(world, 200 * MSEC);
	g_assert_cmpint(job->state, ==, JOB_DONE);
	world_end(world);
}

struct refusal_row {
	const char *name;
	struct spec spec;
	bool queue_full;   /* in addition to decode memory */
	bool home_blocked; /* no message reaches the home */
	enum result_code code;
	int64_t time_limit;
};

static const struct refusal_row refusals[] = {
	{"too-large",
	 {.tokens = 20000},
	 false,
	 false,
	 RESULT_TOO_LARGE,
	 50 * MSEC},
	{"no-service",
	 {.service = "x"},
	 false,
	 false,
	 RESULT_NOT_FOUND,
	 1 * MSEC},
	{"queue-full", {.key = 5}, true, false, RESULT_QUEUE_FULL, 50 * MSEC},
	{"deadline-in-queue",
	 {.timeout = 300 * MSEC, .class = CLASS_DEFERRABLE},
	 false,
	 false,
	 RESULT_DEADLINE,
	 600 * MSEC},
	{"deadline-cut-off",
	 {.timeout = 300 * MSEC},
	 false,
	 true,
	 RESULT_DEADLINE,
	 600 * MSEC},
	{"deadline-past",
	 {.timeout = 1},
	 false,
	 false,
	 RESULT_DEADLINE,
	 300 * MSEC},
};

/* An instance that is not the home. */
static int non_home_index(void)
{
	return (world_home(world)->index + 1) % world->count;
}

static void test_refusal(const void *data)
{
	const struct refusal_row *row = data;
	struct job *job;

	world_start("reserve", 2);
	fill_decode_memory(2 * USEC_PER_SEC);
	for (int i = 0; row->queue_full && i < 2; i++)
		app_submit(world, i, &(struct spec){.key = 0});
	world_run(world, 20 * MSEC);
	for (int i = 0; i < world->count; i++)
		world_block(world, non_home_index(), i, row->home_blocked);
	job = app_submit(world, non_home_index(), &row->spec);
	g_assert_cmpint(job->state, ==, JOB_SUBMITTED);
	world_run(world, row->time_limit);
	g_assert_cmpint(job->state, ==, JOB_REFUSED);
	g_assert_cmpint(job->refusal.code, ==, row->code);
	g_assert_cmpint(result_outcome(job->refusal.code), ==, OUTCOME_NOT_RUN);
	if (row->code == RESULT_QUEUE_FULL)
		g_assert_cmpint(job->refusal.retry_after, >=, USEC_PER_SEC);
	for (int i = 0; i < world->count; i++)
		world_block(world, non_home_index(), i, false);
	world_end(world);
}

static uint64_t cell_id(void)
{
	uint64_t pools = id_mix(id_of("prefill"), id_of("decode"));

	return id_mix(pools, id_of("hall-a"));
}

/* Arrays of each message type and length, with integer and string fields. */
static void receive_invalid(struct instance *instance)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	for (uint32_t i = 0; i < 20 * 20 * 2; i++) {
		uint32_t fields = i / 2 % 20;

		msgpack_sbuffer_clear(&buffer);
		msgpack_pack_array(&packer, fields + 3);
		msgpack_pack_uint64(&packer, i / 40);
		msgpack_pack_uint64(&packer, 1);
		msgpack_pack_uint64(&packer, cell_id());
		for (uint32_t f = 0; f < fields; f++) {
			if (i % 2 == 0 || f < 3)
				msgpack_pack_uint64(&packer, 7);
			else
				msgpack_pack_str_with_body(&packer, "x", 1);
		}
		ledger_receive(instance->ledger, instance->id, buffer.data,
			       buffer.size);
		ledger_receive(instance->ledger, instance->id, buffer.data,
			       buffer.size / 2);
	}
	ledger_receive(instance->ledger, instance->id, "", 0);
	msgpack_sbuffer_destroy(&buffer);
}

static void test_bad_calls(void)
{
	struct instance *instance;
	struct ledger_request request = {.request = 9, .service = "model"};
	struct job *job;

	world_start("reserve", 100);
	instance = &world->instances[0];
	job = app_submit(world, 0, &(struct spec){.service = "nothing"});
	ledger_submit(instance->ledger, &request);
	ledger_withdraw(instance->ledger, 12345);
	ledger_release(instance->ledger, 12345, RELEASE_DONE);
	ledger_retry(instance->ledger, 12345, RESULT_STREAM_LOST, 1);
	ledger_adopt(instance->ledger, 12345);
	ledger_progress(instance->ledger, 12345, STAGE_DECODE, "x");
	ledger_cancelled(instance->ledger, 1, "x", true);
	ledger_streams(instance->ledger, 1, NULL, 0);
	ledger_withdraw(instance->ledger, 9);
	g_assert_false(ledger_configure(instance->ledger, NULL, NULL));
	receive_invalid(world_home(world));
	world_run(world, 10 * MSEC);
	g_assert_cmpint(job->state, ==, JOB_REFUSED);
	world_end(world);
}

struct key_row {
	const char *name;
	struct spec first;
	struct spec second;
	int64_t delay;
	enum job_state second_state;
	enum record_state state; /* of a duplicate */
	enum result_code code;	 /* of a refusal */
};

#define PLAIN "plain"

static const struct key_row keys[] = {
	{"joins",
	 {.key = 7},
	 {.key = 7},
	 50 * MSEC,
	 JOB_DUPLICATE,
	 RECORD_RUNNING,
	 RESULT_OK},
	{"replays",
	 {.key = 7},
	 {.key = 7},
	 400 * MSEC,
	 JOB_DUPLICATE,
	 RECORD_DONE,
	 RESULT_OK},
	{"reused",
	 {.key = 7},
	 {.key = 7, .fingerprint = 1},
	 50 * MSEC,
	 JOB_REFUSED,
	 RECORD_RUNNING,
	 RESULT_KEY_REUSED},
	{"other",
	 {.key = 7},
	 {.key = 8},
	 50 * MSEC,
	 JOB_DONE,
	 RECORD_RUNNING,
	 RESULT_OK},
	{"expired",
	 {.key = 7},
	 {.key = 7},
	 33 * USEC_PER_SEC,
	 JOB_DONE,
	 RECORD_RUNNING,
	 RESULT_OK},
	{"plain-joins",
	 {.service = PLAIN, .key = 7},
	 {.service = PLAIN, .key = 7},
	 50 * MSEC,
	 JOB_DUPLICATE,
	 RECORD_RUNNING,
	 RESULT_OK},
	{"plain-replays",
	 {.service = PLAIN, .key = 7},
	 {.service = PLAIN, .key = 7},
	 400 * MSEC,
	 JOB_DUPLICATE,
	 RECORD_DONE,
	 RESULT_OK},
	{"plain-without",
	 {.service = PLAIN},
	 {.service = PLAIN},
	 50 * MSEC,
	 JOB_DONE,
	 RECORD_RUNNING,
	 RESULT_OK},
};

static void test_key(const void *data)
{
	const struct key_row *row = data;
	struct job *first, *second;

	world_start("reserve", 100);
	first = app_submit(world, 0, &row->first);
	world_run(world, row->delay);
	second = app_submit(world, 1, &row->second);
	world_run(world, 300 * MSEC);
	g_assert_cmpint(first->state, ==, JOB_DONE);
	g_assert_cmpint(second->state, ==, row->second_state);
	if (row->second_state == JOB_DUPLICATE) {
		g_assert_cmpint(second->duplicate.state, ==, row->state);
		g_assert_true(second->duplicate.owner_alive);
		g_assert_cmpuint(second->duplicate.owner_request, ==,
				 first->request);
		g_assert_cmpuint(second->duplicate.owner.instance, ==,
				 first->instance->id);
	}
	if (row->second_state == JOB_REFUSED)
		g_assert_cmpint(second->refusal.code, ==, row->code);
	world_end(world);
}

/* Duplicated submissions arrive after the requests were withdrawn, while memory
 * is full: none may stay in the queue. */
static void test_withdrawn(void)
{
	struct ledger_stats stats;
	struct job *jobs[10];

	world_start("reserve", 100);
	fill_decode_memory(5 * USEC_PER_SEC);
	world->duplicate_rate = 1;
	world->delay_max = 300 * MSEC;
	for (int i = 0; i < 10; i++)
		jobs[i] = app_submit(world, non_home_index(),
				     &(struct spec){.key = 0});
	world_run(world, 100 * MSEC);
	for (int i = 0; i < 10; i++)
		app_withdraw(jobs[i]);
	world_run(world, 2 * USEC_PER_SEC);
	ledger_stats(world_home(world)->ledger, &stats);
	g_assert_cmpuint(stats.waiting, ==, 0);
	for (int i = 0; i < 10; i++)
		g_assert_cmpuint(jobs[i]->answers, ==, 0);
	world->duplicate_rate = 0;
	world_end(world);
}

/* A retry avoids the runner that failed, even if the other one is fuller. */
static void test_retry_avoids_runner(void)
{
	uint64_t failed;
	struct job *job;

	world_start("reserve", 100);
	app_submit(world, 0,
		   &(struct spec){.tokens = 12000,
				  .decode_usec = 2 * USEC_PER_SEC});
	world_run(world, 50 * MSEC);
	job = app_submit(world, 0, &(struct spec){.key = 4});
	job->fail_times = 1;
	world_run(world, 100 * MSEC);
	failed = job->grant.decode;
	world_run(world, 150 * MSEC);
	g_assert_cmpuint(job->attempt, ==, 1);
	g_assert_cmpuint(job->grant.decode, !=, failed);
	world_run(world, 300 * MSEC);
	g_assert_cmpint(job->state, ==, JOB_DONE);
	world_end(world);
}

static void test_urgent_first(void)
{
	struct job *deferrable, *urgent;

	world_start("reserve", 100);
	fill_decode_memory(500 * MSEC);
	deferrable = app_submit(
		world, 0,
		&(struct spec){.class = CLASS_DEFERRABLE, .tokens = 16000});
	world_run(world, 10 * MSEC);
	urgent = app_submit(world, 1, &(struct spec){.tokens = 16000});
	app_submit(world, 1, &(struct spec){.tokens = 16000});
	world_run(world, 10 * USEC_PER_SEC);
	g_assert_cmpint(urgent->answered_at, <, deferrable->answered_at);
	world_end(world);
}

/* Urgent load above capacity must not starve a large deferrable request: after
 * the ageing time of 5 s it is granted a share. */
static void test_no_starvation(void)
{
	struct spec spec = {.tokens = 6000, .decode_usec = 200 * MSEC};
	struct job *large = NULL;
	int64_t waited;

	world_start("reserve", 1000);
	for (int i = 0; i < 400; i++) {
		app_submit(world, i % 3, &spec);
		world_run(world, 50 * MSEC);
		if (i == 40)
			large = app_submit(
				world, 0,
				&(struct spec){.class = CLASS_DEFERRABLE,
					       .tokens = 16000});
	}
	g_assert_cmpuint(large->answers, ==, 1);
	waited = large->answered_at - large->submitted_at;
	g_test_message("waited %.1f s", (double)waited / 1e6);
	g_assert_cmpint(waited, >, USEC_PER_SEC);
	g_assert_cmpint(waited, <, 10 * USEC_PER_SEC);
	world_end(world);
}

static void test_baseline_grants_at_once(const void *policy)
{
	struct job *jobs[6];

	world_start(policy, 100);
	for (int i = 0; i < 6; i++)
		jobs[i] =
			app_submit(world, i % 3, &(struct spec){.tokens = 100});
	world_run(world, 30 * MSEC);
	for (int i = 0; i < 6; i++)
		g_assert_cmpuint(jobs[i]->answers, ==, 1);
	world_end(world);
}

struct queue_row {
	const char *name;
	uint64_t tokens; /* queued; the rate is 200,000 per second */
	int64_t age;
	int64_t expected_wait; /* less the 20 ms that a prefill starts early */
	uint32_t granted_tokens; /* after the report was measured */
	double rate;		 /* reported 40 times before; 0: none */
};

static const struct queue_row queues[] = {
	{"idle", 0, 0, 0, 0, 0},
	{"busy", 100000, 0, 500 * MSEC, 0, 0},
	{"aged", 100000, 400 * MSEC, 100 * MSEC, 0, 0},
	{"past", 100000, 800 * MSEC, 0, 0, 0},
	{"slower", 10000, 0, 200 * MSEC, 0, 50000},
	{"granted-since", 0, 800 * MSEC, 100 * MSEC, 6000, 50000},
};

static void report_prefill(const struct ledger_report *figures, int times)
{
	for (int i = 0; i < 2 * times; i++) {
		struct ledger_report report = *figures;

		report.runner = world->engines[i % 2].id;
		ledger_report(world_home(world)->ledger, &report);
	}
}

/* Prefill queue reports are corrected by their age and by grants made since.
 * The rate follows the reports made while the runner works. */
static void test_prefill_queue(const void *data)
{
	const struct queue_row *row = data;
	struct spec spec = {.tokens = 2 * row->granted_tokens};
	struct ledger_report report = {
		.reachable = true, .running = 1, .tokens_per_s = row->rate};
	struct job *job;
	int64_t waited;

	world_start("reserve", 100);
	world->poll_interval = 30 * USEC_PER_SEC;
	world_run(world, 200 * MSEC);
	report_prefill(&report, 40);
	for (int i = 0; row->granted_tokens > 0 && i < 2; i++)
		app_submit(world, i, &spec);
	world_run(world, 10 * MSEC);
	report.queue_tokens = row->tokens;
	report.age = row->age;
	report_prefill(&report, 1);
	job = app_submit(world, 0, &(struct spec){.tokens = 200});
	world_run(world, USEC_PER_SEC);
	waited = job->answered_at - job->submitted_at;
	g_test_message("waited %ld ms", (long)(waited / MSEC));
	g_assert_cmpint(waited, >=, MAX(row->expected_wait - 35 * MSEC, 0));
	g_assert_cmpint(waited, <=, row->expected_wait + 15 * MSEC);
	world->poll_interval = 100 * MSEC;
	world_run(world, 30 * USEC_PER_SEC);
	world_end(world);
}

/* A stream without a known grant is cancelled after the grace time. */
static void test_stray(void)
{
	struct engine *engine;
	struct job unknown = {.request = 999, .attempt = 0};
	char stream[LEDGER_STREAM_MAX];

	world_start("reserve", 100);
	engine = &world->engines[2];
	unknown.instance = &world->instances[0];
	unknown.incarnation = 1;
	g_assert_true(engine_open(engine, &unknown, 6, stream));
	world_run(world, 500 * MSEC);
	app_submit(world, 0, &(struct spec){.tokens = 16000});
	app_submit(world, 0, &(struct spec){.tokens = 16000});
	world_run(world, 1200 * MSEC);
	g_assert_true(engine_has(engine, stream));
	world_run(world, 2 * USEC_PER_SEC);
	g_assert_false(engine_has(engine, stream));
	world_end(world);
}

/* The caller disconnects while its request adopts a stream: the stream must end
 * on the runner before its memory is granted again. */
static void test_adopt_withdrawn(void)
{
	struct job *first, *retry;
	struct engine *engine;
	int home;

	world_start("reserve", 100);
	home = world_home(world)->index;
	first = app_submit(world, (home + 1) % 3,
			   &(struct spec){.key = 3,
					  .tokens = 16000,
					  .decode_usec = 10 * USEC_PER_SEC});
	world_run(world, 200 * MSEC);
	engine = engine_find(world, first->grant.decode);
	world_kill(world, first->instance->index);
	world_run(world, 500 * MSEC);
	retry = app_submit(world, (home + 2) % 3, &(struct spec){.key = 3});
	retry->adopt = true;
	world_until(world, retry->duplicate.request != 0);
	app_withdraw(retry);
	for (int i = 0; i < 4; i++)
		app_submit(world, home, &(struct spec){.tokens = 16000});
	world_run(world, 3 * USEC_PER_SEC);
	g_assert_false(engine_has(engine, first->stream));
	world_end(world);
}

static void test_leaving_runner(void)
{
	world_start("reserve", 100);
	world->engines[2].leaving = true;
	world_run(world, 200 * MSEC);
	for (int i = 0; i < 6; i++) {
		struct job *job = app_submit(world, i % 3, &(struct spec){0});

		world_run(world, 200 * MSEC);
		g_assert_cmpuint(job->grant.decode, ==, world->engines[3].id);
		g_assert_cmpuint(job->attempt, ==, 0);
	}
	world_end(world);
}

static void test_records_bounded(void)
{
	struct ledger_settings settings = {.records_max = 20};
	struct ledger_stats stats;
	struct job *last;

	world_start("reserve", 100);
	world_restart_all(world, &settings);
	for (uint64_t key = 1; key <= 100; key++) {
		last = app_submit(world, 0,
				  &(struct spec){.service = PLAIN,
						 .key = key,
						 .decode_usec = MSEC});
		world_run(world, 40 * MSEC);
	}
	for (int i = 0; i < world->count; i++) {
		ledger_stats(world->instances[i].ledger, &stats);
		g_assert_cmpuint(stats.records, <=, 20);
	}
	g_assert_cmpint(last->state, ==, JOB_DONE);
	world_end(world);
}

/* Handover of more records than fit into the window of chunks. */
static void test_drain_many(void)
{
	struct ledger_stats stats;
	struct instance *home;
	struct job *retry;

	world_start("reserve", 100);
	home = world_home(world);
	for (uint64_t key = 1; key <= 2500; key++) {
		app_submit(world, home->index,
			   &(struct spec){.tokens = 100,
					  .key = key,
					  .prefill_usec = MSEC,
					  .decode_usec = MSEC});
		world_run(world, 5 * MSEC);
	}
	world->loss_rate = 0.2;
	world_leave(world, home->index);
	world_run(world, 8 * USEC_PER_SEC);
	ledger_stats(home->ledger, &stats);
	g_assert_cmpuint(stats.handovers, ==, 0);
	world->loss_rate = 0;
	ledger_stats(world_home(world)->ledger, &stats);
	g_assert_cmpuint(stats.records, ==, 2500);
	for (uint64_t key = 1; key <= 2500; key += 249) {
		retry = app_submit(world, (home->index + 1) % 3,
				   &(struct spec){.key = key});
		world_run(world, 50 * MSEC);
		g_assert_cmpint(retry->state, ==, JOB_DUPLICATE);
	}
	world_end(world);
}

static void test_drain(void)
{
	struct ledger_stats stats;
	struct instance *home;
	struct job *job, *retry;

	world_start("reserve", 100);
	home = world_home(world);
	job = app_submit(world, (home->index + 1) % 3,
			 &(struct spec){.key = 6});
	world_run(world, 300 * MSEC);
	g_assert_cmpint(job->state, ==, JOB_DONE);
	world_leave(world, home->index);
	world_run(world, 400 * MSEC);
	ledger_drain(home->ledger);
	world_run(world, 100 * MSEC);
	ledger_stats(home->ledger, &stats);
	g_assert_cmpuint(stats.handovers, ==, 0);
	world_kill(world, home->index);
	retry = app_submit(world, (home->index + 2) % 3,
			   &(struct spec){.key = 6});
	world_run(world, 200 * MSEC);
	g_assert_cmpint(retry->state, ==, JOB_DUPLICATE);
	g_assert_cmpint(retry->duplicate.state, ==, RECORD_DONE);
	world_end(world);
}

/* Corrupted messages are dropped without lasting effects. */
static void test_corrupted(void)
{
	struct job *job;

	world_start("reserve", 100);
	world->corruption_rate = 0.3;
	for (int i = 0; i < 300; i++) {
		app_submit(world, i % 3,
			   &(struct spec){.key = (uint64_t)i % 20});
		world_run(world, 20 * MSEC);
	}
	world->corruption_rate = 0;
	world_run(world, 20 * USEC_PER_SEC);
	job = app_submit(world, 0, &(struct spec){.key = 1000});
	world_run(world, USEC_PER_SEC);
	g_assert_cmpint(job->state, ==, JOB_DONE);
	world_destroy(world);
}

static void test_bytes(void)
{
	uint64_t bytes, messages;

	world_start("reserve", 100);
	bytes = world->bytes;
	messages = world->messages;
	for (int i = 0; i < 100; i++) {
		app_submit(world, i % 3, &(struct spec){.tokens = 2000});
		world_run(world, 300 * MSEC);
	}
	bytes = (world->bytes - bytes) / 100;
	messages = world->messages - messages;
	g_test_message("%lu bytes and %.2f messages a request",
		       (unsigned long)bytes, (double)messages / 100);
	g_assert_cmpuint(bytes, >, 0);
	g_assert_cmpuint(bytes, <=, CYCLE_BYTES_MAX);
	world_end(world);
}

static void add_rows(void)
{
	static const char *const policies[] = {"least_load", "prefix",
					       "round_robin", "two_choices"};
	char path[64];

	ROWS_ADD("/ledger/path/refuses-", refusals, test_refusal);
	ROWS_ADD("/ledger/path/key-", keys, test_key);
	ROWS_ADD("/ledger/path/prefill-queue-", queues, test_prefill_queue);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		g_snprintf(path, sizeof(path), "/ledger/path/at-once-%s",
			   policies[i]);
		g_test_add_data_func(path, policies[i],
				     test_baseline_grants_at_once);
	}
}

int main(int argc, char **argv)
{
	log_setup(NULL, "test", LOG_CRIT);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ledger/path/grant", test_grant);
	g_test_add_func("/ledger/path/bad-calls", test_bad_calls);
	g_test_add_func("/ledger/path/withdrawn", test_withdrawn);
	g_test_add_func("/ledger/path/retry-avoids-runner",
			test_retry_avoids_runner);
	g_test_add_func("/ledger/path/urgent-first", test_urgent_first);
	g_test_add_func("/ledger/path/no-starvation", test_no_starvation);
	g_test_add_func("/ledger/path/stray", test_stray);
	g_test_add_func("/ledger/path/adopt-withdrawn", test_adopt_withdrawn);
	g_test_add_func("/ledger/path/leaving-runner", test_leaving_runner);
	g_test_add_func("/ledger/path/records-bounded", test_records_bounded);
	g_test_add_func("/ledger/path/drain", test_drain);
	g_test_add_func("/ledger/path/drain-many", test_drain_many);
	g_test_add_func("/ledger/path/corrupted", test_corrupted);
	g_test_add_func("/ledger/path/bytes", test_bytes);
	add_rows();
	return g_test_run();
}
