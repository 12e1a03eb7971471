/*
 * The configuration's fold under single faults of the log, the network, the
 * operators or an instance, one per row, on a simulated clock.
 */
#include <string.h>

#include "common/log.h"
#include "invariants.h"
#include "rows.h"

#define SECONDS(n) ((n)*USEC_PER_SEC)

struct run {
	struct world *world;
	struct checker *checker;
	int64_t reappend;
};

static struct run run;

static uint64_t records_all(void)
{
	return fake_log_records(run.world->log, LOG_STREAM_CONFIG)->len;
}

static uint64_t records_first(void)
{
	return fake_log_first(run.world->log, LOG_STREAM_CONFIG);
}

static void started(struct node *node)
{
	checker_start(run.checker, node);
	if (run.reappend)
		fold_reappend_after(node->fold, run.reappend);
	fold_start(node->fold);
}

static struct fold *fold(int i)
{
	return run.world->nodes[i]->fold;
}

static struct attempt *apply(int i, uint64_t base, const char *content)
{
	return checker_apply(run.checker, run.world->nodes[i], base, content,
			     SECONDS(10));
}

static void run_for(int64_t usec)
{
	world_run(run.world, usec);
}

static void assert_answered(const struct attempt *attempt,
			    enum result_code code)
{
	g_assert_true(attempt->answered);
	g_assert_cmpstr(result_label(attempt->code), ==, result_label(code));
}

static void assert_in_force(uint64_t revision)
{
	for (int i = 0; i < run.world->count; i++) {
		if (run.world->nodes[i]->up)
			g_assert_cmpuint(fold_revision(fold(i)), ==, revision);
	}
}

/* Applies the first file, which most rows start from. */
static uint64_t apply_first(void)
{
	struct attempt *attempt = apply(0, REVISION_NONE, "first");

	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
	assert_in_force(1);
	return 1;
}

static void file_accepted(void)
{
	size_t size;

	apply_first();
	g_assert_cmpstr(fold_content(fold(3), &size), ==, "first");
	g_assert_cmpuint(size, ==, 5);
}

static void concurrent_applies(void)
{
	uint64_t base = apply_first();
	struct attempt *attempts[4];
	int won = 0;

	for (int i = 0; i < 4; i++) {
		char content[8];

		g_snprintf(content, sizeof(content), "race%d", i);
		attempts[i] = apply(i, base, content);
	}
	run_for(SECONDS(2));
	for (int i = 0; i < 4; i++) {
		won += attempts[i]->code == RESULT_OK;
		if (attempts[i]->code != RESULT_OK)
			assert_answered(attempts[i], RESULT_STALE_REVISION);
	}
	g_assert_cmpint(won, ==, 1);
}

static void base_stale(void)
{
	struct attempt *attempt;

	apply_first();
	attempt = apply(2, REVISION_NONE, "late");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_STALE_REVISION);
	assert_in_force(1);
}

static void file_invalid(void)
{
	const struct fold_audit *audits;
	struct attempt *attempt;
	size_t count;

	apply_first();
	attempt = apply(2, 1, "bad one");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_BAD_CONFIG);
	assert_in_force(1);
	count = fold_history(fold(0), &audits);
	g_assert_cmpuint(count, ==, 2);
	g_assert_cmpint(audits[1].code, ==, RESULT_BAD_CONFIG);
	g_assert_cmpstr(audits[1].author, ==, "entry-002");
	g_assert_cmpstr(audits[1].reason, ==, "starts with bad");
}

static void attempt_code(void *ctx, enum result_code code, uint64_t revision,
			 const char *reason)
{
	*(enum result_code *)ctx = code;
}

static void too_large(void)
{
	enum result_code code = RESULT_OK;
	char *content = g_malloc0(FOLD_RECORD_MAX);

	fold_apply(fold(0), 0, "ann", content, FOLD_RECORD_MAX, SECONDS(5),
		   attempt_code, &code);
	fold_apply(fold(0), 0, NULL, NULL, 5, SECONDS(5), attempt_code, &code);
	g_assert_cmpint(code, ==, RESULT_OK);
	run_for(SECONDS(1));
	g_assert_cmpint(code, ==, RESULT_TOO_LARGE);
	g_assert_cmpuint(records_all(), ==, 0);
	g_free(content);
}

static void answer_lost(void)
{
	struct attempt *attempt;

	apply_first();
	run.world->log->answer_lost_permille = 1000;
	attempt = apply(1, 1, "second");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
	g_assert_cmpuint(records_all(), ==, 2);
}

/* A timed-out append takes effect after its retry did. */
static void append_late(void)
{
	struct attempt *attempt;

	apply_first();
	run.world->log->late_permille = 1000;
	attempt = apply(1, 1, "second");
	run_for(SECONDS(1));
	run.world->log->late_permille = 0;
	run_for(SECONDS(6));
	assert_answered(attempt, RESULT_OK);
	g_assert_cmpuint(records_all(), >, 2);
	assert_in_force(2);
}

static void log_unavailable(void)
{
	struct attempt *attempt;

	apply_first();
	run.world->log->outage = true;
	attempt = apply(1, 1, "second");
	run_for(SECONDS(11));
	assert_answered(attempt, RESULT_LOG_DOWN);
	run.world->log->outage = false;
	run_for(SECONDS(8));
	assert_in_force(1);
	attempt = apply(1, 1, "third");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
}

/* An invalid file is answered as such, even while the log is down. */
static void log_unavailable_file_invalid(void)
{
	struct attempt *attempt;

	apply_first();
	run.world->log->outage = true;
	attempt = apply(1, 1, "bad");
	run_for(SECONDS(11));
	assert_answered(attempt, RESULT_BAD_CONFIG);
}

static void log_silent(void)
{
	struct attempt *attempt;

	apply_first();
	run.world->nodes[1]->client.silent = true;
	attempt = apply(1, 1, "second");
	run_for(SECONDS(11));
	assert_answered(attempt, RESULT_LOG_UNKNOWN);
	run.world->nodes[1]->client.silent = false;
	run_for(SECONDS(10));
	assert_in_force(2);
}

static void outage_ends(void)
{
	struct attempt *attempt;

	apply_first();
	run.world->log->outage = true;
	attempt = apply(1, 1, "second");
	run_for(SECONDS(5));
	run.world->log->outage = false;
	run_for(SECONDS(5));
	assert_answered(attempt, RESULT_OK);
	assert_in_force(2);
}

static void start_in_outage(void)
{
	apply_first();
	run.world->log->outage = true;
	node_kill(run.world->nodes[2]);
	run_for(SECONDS(6));
	node_start(run.world->nodes[2]);
	node_hint(run.world->nodes[2]);
	run_for(SECONDS(3));
	assert_in_force(1);
}

/* Only one data centre can read the log; the other learns from it. */
static void log_cut_from_one_centre(void)
{
	struct attempt *attempt;

	apply_first();
	for (int i = 0; i < run.world->count; i++) {
		if (node_in(run.world->nodes[i], "hall-a"))
			run.world->nodes[i]->client.silent = true;
	}
	attempt = apply(run.world->count - 1, 1, "second");
	run_for(SECONDS(5));
	assert_answered(attempt, RESULT_OK);
	assert_in_force(2);
}

static void centres_partitioned(void)
{
	struct attempt *attempt;

	apply_first();
	world_partition(run.world, "hall-a", "hall-b", true);
	attempt = apply(0, 1, "second");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
	assert_in_force(2);
}

/* A data centre without the log and without peers keeps its revision, and takes
 * the higher one afterwards. */
static void isolated_from_log_and_peers(void)
{
	struct world *w = run.world;

	apply_first();
	world_partition(w, "hall-a", "hall-b", true);
	for (int i = 0; i < w->count; i++)
		run.world->nodes[i]->client.silent =
			node_in(w->nodes[i], "hall-a");
	apply(w->count - 1, 1, "second");
	run_for(SECONDS(20));
	g_assert_cmpuint(fold_revision(fold(0)), ==, 1);
	g_assert_cmpuint(fold_revision(fold(w->count - 1)), ==, 2);
	world_heal(w);
	run_for(SECONDS(5));
	assert_in_force(2);
}

static uint64_t records_kept(void)
{
	return records_all() - records_first();
}

/* The file stays in force for ten times the log's retention. */
static void retention(void)
{
	struct attempt *attempt;

	apply_first();
	run.world->log->retention = SECONDS(30);
	run_for(SECONDS(300));
	g_assert_cmpuint(records_first(), >, 0);
	g_assert_cmpuint(records_kept(), >=, 1);
	g_assert_cmpuint(records_all(), <=, 2 * 300 / 10);
	for (int i = 0; i < run.world->count; i++)
		node_kill(run.world->nodes[i]);
	run_for(SECONDS(5));
	world_start(run.world);
	run_for(SECONDS(6));
	assert_in_force(1);
	attempt = apply(0, 1, "second");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
}

/* The outage lasts longer than the log's retention. */
static void retention_in_outage(void)
{
	struct attempt *attempt;

	apply_first();
	run.world->log->retention = SECONDS(30);
	run.world->log->outage = true;
	run_for(SECONDS(100));
	run.world->log->outage = false;
	run_for(SECONDS(20));
	assert_in_force(1);
	g_assert_cmpuint(records_kept(), >=, 1);
	attempt = apply(0, 1, "second");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
}

static void readers_crash(void)
{
	struct attempt *attempt = NULL;
	int crashed = 0;

	apply_first();
	for (int i = 0; i < run.world->count; i++) {
		if (!fold_reading(fold(i)))
			continue;
		node_kill(run.world->nodes[i]);
		crashed++;
	}
	g_assert_cmpint(crashed, ==, 4);
	run_for(SECONDS(6));
	for (int i = 0; i < run.world->count; i++) {
		if (!run.world->nodes[i]->up)
			continue;
		attempt = apply(i, 1, "second");
		break;
	}
	g_assert_nonnull(attempt);
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
	assert_in_force(2);
}

/* In the first data centre the log answers only one instance, which is not a
 * reader; the second data centre can read the log but not reach the first. */
static void readers_refused(void)
{
	struct node *reachable = NULL;

	apply_first();
	world_partition(
		run.world, run.world->nodes[0]->self.data_centre,
		run.world->nodes[run.world->count - 1]->self.data_centre, true);
	for (int i = 0; i < run.world->count; i++) {
		struct node *node = run.world->nodes[i];

		if (!node_in(node, run.world->nodes[0]->self.data_centre))
			continue;
		if (!reachable && !fold_reading(fold(i)))
			reachable = node;
		else
			node->client.partitioned = true;
	}
	g_assert_nonnull(reachable);
	run_for(SECONDS(10));
	apply(run.world->count - 1, 1, "second");
	run_for(SECONDS(7));
	assert_in_force(2);
}

static void reader_count(void)
{
	int reading = 0;

	apply_first();
	for (int i = 0; i < run.world->count; i++)
		reading += fold_reading(fold(i));
	g_assert_cmpint(reading, ==, 4);
}

static void reader_paused(void)
{
	struct attempt *attempt;
	struct node *reader = NULL;

	apply_first();
	for (int i = 0; i < run.world->count && !reader; i++) {
		if (fold_reading(fold(i)))
			reader = run.world->nodes[i];
	}
	g_assert_nonnull(reader);
	node_pause(reader);
	attempt = apply((reader->index + 1) % run.world->count, 1, "second");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
	run_for(SECONDS(60));
	node_resume(reader);
	run_for(SECONDS(3));
	assert_in_force(2);
}

static void records_malformed(void)
{
	struct attempt *attempt;

	apply_first();
	fake_log_put(run.world->log, LOG_STREAM_CONFIG, "\xc1", 1);
	fake_log_put(run.world->log, LOG_STREAM_CONFIG, "not ours", 8);
	fake_log_put(run.world->log, LOG_STREAM_CONFIG, "\x99\x01\x07", 3);
	fake_log_put(run.world->log, LOG_STREAM_CONFIG, "\xdd\xff\xff\xff\xff",
		     5);
	attempt = apply(2, 1, "second");
	run_for(SECONDS(2));
	assert_answered(attempt, RESULT_OK);
	assert_in_force(6);
}

static void messages_malformed(void)
{
	static const char *const texts[] = {
		"",
		"\xc1",
		"\x93\x01\x05",
		"\x90",
		"\x93\x03\x05\x05",
		"\xdd\xff\xff\xff\xff",
		"\x93\x09\x01\x01",
		"\x97\x03\x09\x09\x09\xc0\xc0\x00",
	};

	apply_first();
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		fold_receive(fold(0), 1, texts[i], strlen(texts[i]));
	for (int i = 0; i < 20000; i++) {
		unsigned char bytes[24];

		for (size_t j = 0; j < sizeof(bytes); j++)
			bytes[j] = (unsigned char)g_rand_int(run.world->rand);
		bytes[0] = i % 2 ? 0x97 : 0x93;
		bytes[1] = (unsigned char)(1 + i % 3);
		fold_receive(fold(0), 1, bytes, sizeof(bytes));
	}
	run_for(SECONDS(2));
	assert_in_force(1);
}

static void link_lossy(void)
{
	struct attempt *attempt;

	run.world->drop = 200;
	run.world->duplicate = 200;
	run.world->delay_max = SECONDS(1) / 10;
	attempt = apply(0, 0, "first");
	run_for(SECONDS(5));
	assert_answered(attempt, RESULT_OK);
	assert_in_force(1);
}

static void history_bounded(void)
{
	const struct fold_audit *audits;
	uint64_t base = 0;
	size_t count;

	for (int i = 0; i < FOLD_HISTORY_MAX + 20; i++) {
		char content[16];
		struct attempt *attempt;

		g_snprintf(content, sizeof(content), "file%d", i);
		attempt = apply(i % run.world->count, base, content);
		run_for(SECONDS(1) / 2);
		assert_answered(attempt, RESULT_OK);
		base = attempt->revision;
	}
	run_for(SECONDS(3));
	count = fold_history(fold(1), &audits);
	g_assert_cmpuint(count, ==, FOLD_HISTORY_MAX);
	g_assert_cmpuint(audits[count - 1].offset, ==, base);
}

struct row {
	const char *name;
	int centres;
	int each;
	void (*fault)(void);
	int64_t reappend;
};

static const struct row rows[] = {
	{"a file is accepted", 2, 3, file_accepted, 0},
	{"four files at once", 2, 3, concurrent_applies, 0},
	{"based on an old revision", 2, 3, base_stale, 0},
	{"the file is invalid", 2, 3, file_invalid, 0},
	{"the file is too large", 1, 2, too_large, 0},
	{"the answer is lost", 2, 3, answer_lost, 0},
	{"the append takes effect late", 2, 3, append_late, 0},
	{"the log is down", 2, 3, log_unavailable, 0},
	{"the log is down and the file invalid", 2, 3,
	 log_unavailable_file_invalid, 0},
	{"the log does not answer", 2, 3, log_silent, 0},
	{"the outage ends in time", 2, 3, outage_ends, 0},
	{"an instance starts in an outage", 2, 3, start_in_outage, 0},
	{"one data centre can't read the log", 2, 3, log_cut_from_one_centre,
	 0},
	{"data centres are partitioned", 2, 3, centres_partitioned, 0},
	{"isolated from log and peers", 2, 3, isolated_from_log_and_peers, 0},
	{"retention drops the file", 2, 3, retention, SECONDS(10)},
	{"retention passes in an outage", 2, 3, retention_in_outage,
	 SECONDS(10)},
	{"all readers crash", 2, 5, readers_crash, 0},
	{"all readers are refused", 2, 15, readers_refused, 0},
	{"two readers per data centre", 2, 5, reader_count, 0},
	{"a reader is paused", 2, 3, reader_paused, 0},
	{"malformed records", 2, 3, records_malformed, 0},
	{"malformed messages", 2, 3, messages_malformed, 0},
	{"the network loses a fifth", 2, 3, link_lossy, 0},
	{"the history is bounded", 2, 3, history_bounded, 0},
};

static void test_row(gconstpointer data)
{
	const struct row *row = data;
	char *problem;

	run.world = world_create(11);
	run.checker = checker_create(run.world);
	run.reappend = row->reappend;
	run.world->started = started;
	run.world->stopping = checker_stop;
	world_fill(run.world, row->centres, row->each);
	world_start(run.world);
	run_for(SECONDS(5));
	row->fault();
	problem = checker_check(run.checker);
	g_assert_cmpstr(problem, ==, NULL);
	world_destroy(run.world);
	checker_destroy(run.checker);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_CRIT);
	ROWS_ADD("/fold/", rows, test_row);
	return g_test_run();
}
