/* An idempotency key that runs in one data centre is known in the others. */
#include <msgpack.h>

#include "rows.h"
#include "site.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define KEY UINT64_C(0x1234567890abcdef)
#define MANY_KEYS 65536u

static struct site *site;

static void begin(int centres, int instances)
{
	site = site_create(&(struct site_settings){
		.seed = 1, .centres = centres, .instances = instances});
}

/* What happens between the first attempt, in a, and the retry, in b. */
enum event {
	EVENT_NONE,
	EVENT_CUT,	  /* a is cut off, and b has noticed */
	EVENT_HOME_DIES,  /* the home in b dies, another takes over */
	EVENT_OWNER_DIES, /* the instance in a with the request dies */
	EVENT_WITHDRAWN,  /* the attempt is withdrawn unannounced */
	EVENT_MANY_KEYS,  /* so many other keys that it is evicted */
	EVENT_MALFORMED,  /* malformed messages arrive */
};

struct key_row {
	const char *name;
	int64_t retry_after; /* since the first attempt */
	enum event event;
	bool no_redirect;
	bool redirected; /* the retry is; else it is granted */
};

static const struct key_row key_rows[] = {
	{"running", 300 * MSEC, EVENT_NONE, false, true},
	{"ended", 5 * SEC, EVENT_NONE, false, true},
	{"kept-a-minute", 59 * SEC, EVENT_NONE, false, true},
	{"forgotten", 200 * SEC, EVENT_NONE, false, false},
	{"too-soon", 100 * MSEC, EVENT_NONE, false, false},
	{"asked-here", 300 * MSEC, EVENT_NONE, true, false},
	{"cut-off", 20 * SEC, EVENT_CUT, false, false},
	{"home-gone", 20 * SEC, EVENT_HOME_DIES, false, false},
	{"owner-gone", 20 * SEC, EVENT_OWNER_DIES, false, true},
	{"not-run", 5 * SEC, EVENT_WITHDRAWN, false, false},
	{"many", 5 * SEC, EVENT_MANY_KEYS, false, false},
	{"malformed", 5 * SEC, EVENT_MALFORMED, false, true},
};

static void keys_send(uint64_t cell, const void *keys, size_t size,
		      bool as_text)
{
	const struct instance *from = &site->instances[0][0];
	struct instance *home = site_home(site, 1);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_int(&packer, 14);
	msgpack_pack_int(&packer, 0);
	msgpack_pack_uint64(&packer, cell);
	if (as_text)
		msgpack_pack_str_with_body(&packer, keys, size);
	else
		msgpack_pack_bin_with_body(&packer, keys, size);
	ledger_receive(home->ledger, from->id, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

static void many_send(void)
{
	uint64_t cell = cell_id(site_service(), "b");

	for (uint32_t i = 0; i < MANY_KEYS; i++) {
		uint32_t key = i * 2654435761u;

		keys_send(cell, &key, sizeof(key), false);
	}
}

static void malformed_send(void)
{
	uint64_t cell = cell_id(site_service(), "b");

	keys_send(cell, "abc", 3, false);
	keys_send(cell, "", 0, false);
	keys_send(cell, "abcd", 4, true);
	keys_send(cell + 1, "abcd", 4, false);
}

static void event_apply(const struct key_row *row, struct job *first)
{
	struct instance *home = site_home(site, 1);

	if (row->event == EVENT_WITHDRAWN) {
		ledger_withdraw(site->instances[0][first->instance].ledger,
				first->request);
		return;
	}
	if (row->event == EVENT_NONE)
		return;
	site_run(site, 1 * SEC);
	if (row->event == EVENT_CUT)
		site_cut(site, 0, true);
	else if (row->event == EVENT_HOME_DIES)
		site_kill(site, 1, home->number);
	else if (row->event == EVENT_OWNER_DIES)
		site_kill(site, 0, first->instance);
	else if (row->event == EVENT_MANY_KEYS)
		many_send();
	else
		malformed_send();
}

static void test_key(const void *data)
{
	const struct key_row *row = data;
	struct job spec = {.key = KEY, .work = 2 * SEC};
	struct job *first;
	struct job *retry;
	int64_t start;

	begin(3, 3);
	start = clock_now(site->clock);
	first = site_submit(site, 0, &spec);
	event_apply(row, first);
	site_run(site, start + row->retry_after - clock_now(site->clock));
	spec.no_redirect = row->no_redirect;
	retry = site_submit(site, 1, &spec);
	site_run(site, 100 * MSEC);
	g_assert_cmpuint(retry->answers, ==, 1);
	g_assert_cmpint(retry->redirected_to, ==, row->redirected ? 0 : -1);
	g_assert_cmpint(retry->granted, ==, !row->redirected);
	site_destroy(site);
}

/* Keys with the same first half cost one redirect; the request still runs. */
static void test_key_collision(void)
{
	struct job spec = {.key = KEY};
	struct job *job;

	begin(2, 2);
	site_submit(site, 0, &spec);
	site_run(site, SEC);
	spec.key = KEY ^ 1;
	job = site_call(site, 1, &spec);
	site_run(site, SEC);
	g_assert_cmpint(job->redirected_to, ==, 0);
	g_assert_cmpint(job->centre, ==, 0);
	g_assert_cmpint(job->end, ==, JOB_DONE);
	site_destroy(site);
}

static void faults_draw(void)
{
	int centre = g_rand_int_range(site->rand, 0, site->settings.centres);

	if (g_rand_double(site->rand) < 0.1)
		site_cut(site, centre, !site->cut[centre]);
}

static uint32_t schedule_run(uint32_t seed, bool faults)
{
	struct job spec = {.work = 300 * MSEC};
	GHashTable *keys = g_hash_table_new(NULL, NULL);
	uint32_t key_count;

	site = site_create(&(struct site_settings){
		.seed = seed, .centres = 3, .instances = 2});
	for (int i = 0; i < 60; i++) {
		uint32_t key = g_rand_int_range(site->rand, 1, 20);

		spec.key = id_mix(key, seed + 1);
		g_hash_table_add(keys, GUINT_TO_POINTER(key));
		site_call(site, g_rand_int_range(site->rand, 0, 3), &spec);
		site_run(site, g_rand_int_range(site->rand, 300, 900) * MSEC);
		if (faults)
			faults_draw();
	}
	for (int i = 0; i < 3; i++)
		site_cut(site, i, false);
	site_run(site, 10 * SEC);
	for (guint i = 0; i < site->jobs->len; i++) {
		const struct job *job = g_ptr_array_index(site->jobs, i);

		g_assert_true(job->end == JOB_DONE ||
			      job->end == JOB_DUPLICATE);
		g_assert_cmpuint(job->answers, ==, 1);
	}
	key_count = g_hash_table_size(keys);
	g_hash_table_destroy(keys);
	return key_count;
}

/* Retries come after the key was announced: each key runs once. */
static void test_once(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		uint32_t keys = schedule_run(seed, false);

		g_test_message("seed %u", seed);
		g_assert_cmpuint(site->runs, ==, keys);
		site_destroy(site);
	}
}

/* Data centres are cut off and reconnected: each request is answered once. */
static void test_faults(void)
{
	uint64_t runs = 0;
	uint64_t keys = 0;

	for (uint32_t seed = 1; seed <= 20; seed++) {
		g_test_message("seed %u", seed);
		keys += schedule_run(seed, true);
		runs += site->runs;
		site_destroy(site);
	}
	g_test_message("%lu runs of %lu keys", runs, keys);
	g_assert_cmpuint(runs, >=, keys);
}

/* The traffic of 7,200 keyed requests a second for 35 models in 7 data centres,
 * measured for one cell and converted to each of 360 instances. */
static void test_cost(void)
{
	const double cells = 35 * 7;
	const double rate = 7200 / cells;
	const int64_t time = 20 * SEC;
	struct job spec = {.work = 10 * MSEC};
	double bytes;

	begin(CENTRES_MAX, 1);
	site->key_bytes = 0;
	for (int64_t at = 0; at < time; at += (int64_t)(SEC / rate)) {
		for (int c = 0; c < CENTRES_MAX; c++) {
			spec.key = id_mix((uint64_t)at + 1, (uint64_t)c);
			site_submit(site, c, &spec);
		}
		site_run(site, (int64_t)(SEC / rate));
	}
	bytes = (double)site->key_bytes / CENTRES_MAX * SEC / time;
	g_test_message("%.0f bytes/s a cell, %.0f a node, %.0f a message",
		       bytes, bytes * cells / 360,
		       (double)site->key_bytes / site->key_messages);
	g_assert_cmpfloat(bytes * cells / 360, <, 2000);
	g_assert_cmpfloat(bytes, >, 0);
	/* No message is sent without a new key. */
	site_run(site, SEC);
	site->key_messages = 0;
	site_run(site, 10 * SEC);
	g_assert_cmpuint(site->key_messages, ==, 0);
	site_destroy(site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/keys/", key_rows, test_key);
	g_test_add_func("/keys/mistaken", test_key_collision);
	g_test_add_func("/keys/once", test_once);
	g_test_add_func("/keys/faults", test_faults);
	g_test_add_func("/keys/cost", test_cost);
	return g_test_run();
}
