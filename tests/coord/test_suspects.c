/* Which requests are refused after crashes with parts of prompts in common. */
#include <glib.h>

#include "common/clock.h"
#include "coord/suspects.h"

#define NOW (100 * USEC_PER_SEC)
/* After the crashes, by when a verdict applies. */
#define LATER (NOW + USEC_PER_SEC)

static struct quarantine *quarantine_open(void)
{
	static const struct quarantine_settings settings = {3, 16, 64};

	return quarantine_create(&settings);
}

static void on_changed(void *ctx, const struct request_fingerprint *fingerprint)
{
	uint32_t *count = ctx;

	(*count)++;
}

/* Each letter of the text is a suspect; the first is the request itself, a
 * capital letter the same part of another caller. "!" before them: the answer
 * had begun. */
static struct suspects suspects_of(const char *text)
{
	bool begun = *text == '!';
	struct suspects suspects = {.attempt = (uint64_t)text[begun],
				    .begun = begun};

	for (const char *c = text + begun; *c; c++)
		suspects_add(&suspects,
			     (struct suspect){{(uint64_t)g_ascii_tolower(*c),
					       (uint64_t)*c << 1},
					      (uint64_t)*c});
	return suspects;
}

static void crash(struct quarantine *quarantine, const char *text,
		  uint64_t server)
{
	const struct suspects suspects = suspects_of(text);
	uint32_t changed = 0;

	suspects_record_crash(quarantine, &suspects, server, NOW, on_changed,
			      &changed);
}

static void succeed(struct quarantine *quarantine, const char *text)
{
	const struct suspects suspects = suspects_of(text);
	uint32_t changed = 0;

	suspects_record_success(quarantine, &suspects, NOW);
	suspects_clear(quarantine, &suspects, on_changed, &changed);
}

/* The suspect that a request is refused for; 0: it is not refused. */
static unsigned char held(struct quarantine *quarantine, const char *text)
{
	const struct suspects suspects = suspects_of(text);
	const struct quarantine_entry *entry;
	uint32_t changed = 0;

	entry = suspects_find_held(quarantine, &suspects, LATER, on_changed,
				   &changed);
	return entry ? (unsigned char)entry->fingerprint.high : '\0';
}

struct row {
	const char *name;
	/* Requests that crashed servers, separated by spaces, those at the same
	 * server by "+". */
	const char *crashes;
	const char *successes; /* before them */
	const char *request;
	unsigned char held;
};

static const struct row rows[] = {
	{"two crashes", "1ag 2ag", "", "3ag", '\0'},
	{"three crashes", "1ag 2bg 3cg", "", "4dg", 'g'},
	{"without the part", "1ag 2bg 3cg", "", "4ab", '\0'},
	{"always with a sound one", "1ag 2ag 3ag", "", "4a", '\0'},
	{"both of them", "1ag 2ag 3ag", "", "4ag", 'a'},
	{"the other alone", "1ag 2ag 3ag", "", "4g", '\0'},
	{"the other alone, crashed too", "1ag 2ag 3ag 4g", "", "5g", 'g'},
	{"sound one after that", "1ag 2ag 3ag 4g", "", "5a", '\0'},
	{"sound one in use", "1ag 2ag 3ag", "7a", "4ag", 'g'},
	{"the same request", "1ab 1ab 1ab", "", "1ab", '1'},
	{"its parts elsewhere", "1ab 1ab 1ab", "", "2ab", '\0'},
	/* The low bits of the first letter say which request is a probe. */
	{"request beside a part", "1ag+2 3bg+2 4cg+2 5dg", "", "2", '\0'},
	{"as often as the part", "1ag+2 3bg+2 4cg+2", "", "2", '2'},
	{"as often as the part, probe", "1ag+8 3bg+8 4cg+8", "", "8", '\0'},
	{"request beside two parts", "1ag+2 3bh+2 4cg 5ch 6dg+2 7dh 9eg 0eh",
	 "", "2", '\0'},
	{"request beside a request", "1+2 1+2 1+2 1", "", "2", '\0'},
	{"the other one", "1+2 1+2 1+2 1", "", "1", '1'},
	{"beside a part, once alone", "1ag+2 3bg+2 4cg 2 5dg", "", "2", '\0'},
	{"beside a part, thrice alone", "1ag+2 3bg 4cg 2 2 5dg 2", "", "2",
	 '2'},
	{"more crashes than the other", "1ag 2ag 3ag 4a", "", "5a", 'a'},
	{"begun, four crashes", "!1ag !2bg !3cg !4dg", "", "6fg", '\0'},
	{"begun, five crashes", "!1ag !2bg !3cg !4dg !5eg", "", "6fg", 'g'},
	{"begun, in use", "!1ag !2bg !3cg !4dg !5eg", "7g", "6fg", '\0'},
	{"two, and four begun", "1ag 2bg !3cg !4dg !5eg !6fg", "", "7hg", '\0'},
	{"begun beside a part", "1ag+!2x 3bg+!4x 5cg+!6x !7x !8x", "", "9x",
	 '\0'},
	{"begun beside a part, and five",
	 "1ag+!2x 3bg+!4x 5cg+!6x !x !x !x !x !x", "", "9x", 'x'},
	{"part beside those begun", "!1ag+2x !3bg+4x !5cg+6x !7dg !8eg", "",
	 "9x", '\0'},
	{"always with a sound one, begun", "!1ag !2ag !3ag !4ag !5ag", "", "6a",
	 '\0'},
	{"the request, begun", "!1 !1 !1", "", "1", '1'},
	{"two callers", "1ag 2bg 3cG", "", "4dG", 'g'},
	{"two callers, two crashes", "1ag 2bG", "", "4dG", '\0'},
	{"a caller without a crash", "1ag 2bg 3cg 4dg", "", "5eG", '\0'},
	{"two callers, one in use", "1ag 2bg 3cG", "7G", "4dG", '\0'},
	{"two callers, begun", "!1ag !2bg !3cg !4dG", "", "5eG", '\0'},
	{"two callers, five begun", "!1ag !2bg !3cg !4dg !5eG", "", "6fG", 'g'},
	{"a caller beside another", "1ag 2bg+3cG 4dg", "", "5eG", '\0'},
	{"a caller beside another's part", "1agx 2bgx 3cx+4dG 5egx", "", "6fG",
	 '\0'},
	{"a request at two callers", "1 1 1", "", "2", '\0'},
};

static void test_row(gconstpointer data)
{
	const struct row *row = data;
	struct quarantine *quarantine = quarantine_open();
	g_auto(GStrv) crashes = g_strsplit(row->crashes, " ", -1);

	if (*row->successes)
		succeed(quarantine, row->successes);
	for (uint64_t i = 0; crashes[i]; i++) {
		g_auto(GStrv) requests = g_strsplit(crashes[i], "+", -1);

		for (char **request = requests; *request; request++)
			crash(quarantine, *request, i);
	}
	g_assert_cmpuint(held(quarantine, row->request), ==, row->held);
	quarantine_destroy(quarantine);
}

/* The low bits of an attempt's hash that must be 0 in a probe. */
struct probe_row {
	const char *name;
	const char *crashes;
	int64_t age_sec; /* since the last one */
	uint32_t bits;
};

static const struct probe_row probe_rows[] = {
	{"soon", "1ag 2bg 3cg", 1, 12},
	{"after two seconds", "1ag 2bg 3cg", 2, 11},
	{"after ten seconds", "1ag 2bg 3cg", 10, 7},
	{"all requests", "1ag 2bg 3cg", 24, 0},
	{"fewer after more crashes", "1ag 2bg 3cg 4dg", 1, 13},
	{"later after more crashes", "1ag 2bg 3cg 4dg", 10, 11},
	{"after eight", "1ag 2bg 3cg 4dg 5eg 6fg 7hg 8ig", 64, 16},
};

static bool is_refused(struct quarantine *quarantine, const char *text,
		       uint64_t attempt, int64_t now)
{
	struct suspects suspects = suspects_of(text);
	uint32_t changed = 0;

	suspects.attempt = attempt;
	return suspects_find_held(quarantine, &suspects, now, on_changed,
				  &changed);
}

static void test_probe(gconstpointer data)
{
	const struct probe_row *row = data;
	struct quarantine *quarantine = quarantine_open();
	g_auto(GStrv) crashes = g_strsplit(row->crashes, " ", -1);
	int64_t now = NOW + row->age_sec * USEC_PER_SEC;
	uint64_t probe = (uint64_t)1 << row->bits;

	for (uint64_t i = 0; crashes[i]; i++)
		crash(quarantine, crashes[i], i);
	g_assert_false(is_refused(quarantine, "0zg", probe, now));
	g_assert_false(is_refused(quarantine, "0zg", 0, now));
	if (row->bits > 0)
		g_assert_true(is_refused(quarantine, "0zg", probe / 2, now));
	quarantine_destroy(quarantine);
}

/* A held request that nothing else accounts for is not probed. */
static void test_probe_request(void)
{
	struct quarantine *quarantine = quarantine_open();

	for (uint64_t i = 0; i < 3; i++)
		crash(quarantine, "1ab", i);
	g_assert_true(is_refused(quarantine, "1ab", 0, NOW));
	g_assert_true(
		is_refused(quarantine, "1ab", 0, NOW + 3600 * USEC_PER_SEC));
	quarantine_destroy(quarantine);
}

/* A success clears all parts of the request, held ones too. */
static void test_success(void)
{
	struct quarantine *quarantine = quarantine_open();

	crash(quarantine, "1ag", 1);
	crash(quarantine, "2ag", 2);
	crash(quarantine, "3ag", 3);
	succeed(quarantine, "4ag");
	g_assert_cmpuint(held(quarantine, "5ag"), ==, '\0');
	g_assert_cmpuint(quarantine_held(quarantine), ==, 0);
	quarantine_destroy(quarantine);
}

static void test_crashed(void)
{
	struct quarantine *quarantine = quarantine_open();
	const struct suspects part = suspects_of("2a");
	const struct suspects other = suspects_of("3b");

	crash(quarantine, "1a", 1);
	g_assert_true(suspects_crashed(quarantine, &part, NOW));
	g_assert_false(suspects_crashed(quarantine, &other, NOW));
	/* So many lose their server in the middle of an answer. */
	crash(quarantine, "!4b", 2);
	g_assert_false(suspects_crashed(quarantine, &other, NOW));
	quarantine_destroy(quarantine);
}

/* Crashes at one software version say nothing of another. */
static void test_software(void)
{
	static const char *const requests[] = {"1ag", "2bg", "3cg"};
	struct quarantine *quarantine = quarantine_open();
	const struct suspects request = suspects_of("4dg");
	uint32_t changed = 0;

	for (uint64_t server = 0; server < 3; server++) {
		const struct suspects crashed = suspects_of(requests[server]);
		const struct suspects at_one = suspects_at(&crashed, 1);
		const struct suspects at_two = suspects_at(&crashed, 2);

		suspects_record_crash(quarantine, &at_one, server, NOW,
				      on_changed, &changed);
		suspects_record_success(quarantine, &at_two, NOW);
		suspects_clear(quarantine, &at_two, on_changed, &changed);
	}
	for (uint64_t software = 1; software <= 3; software++) {
		const struct suspects at = suspects_at(&request, software);

		g_assert_true(
			(software == 1) ==
			(suspects_find_held(quarantine, &at, LATER, on_changed,
					    &changed) != NULL));
	}
	quarantine_destroy(quarantine);
}

static void test_bounded(void)
{
	struct suspects suspects = {0};

	for (uint32_t i = 0; i < 2 * REQUEST_SUSPECTS_MAX; i++)
		suspects_add(&suspects, (struct suspect){{i, i}, i});
	g_assert_cmpuint(suspects.count, ==, REQUEST_SUSPECTS_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_autofree char *path =
			g_strconcat("/coord/suspects/", rows[i].name, NULL);

		g_test_add_data_func(path, &rows[i], test_row);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(probe_rows); i++) {
		g_autofree char *path = g_strconcat("/coord/suspects/probe/",
						    probe_rows[i].name, NULL);

		g_test_add_data_func(path, &probe_rows[i], test_probe);
	}
	g_test_add_func("/coord/suspects/probe-request", test_probe_request);
	g_test_add_func("/coord/suspects/success", test_success);
	g_test_add_func("/coord/suspects/crashed", test_crashed);
	g_test_add_func("/coord/suspects/software", test_software);
	g_test_add_func("/coord/suspects/bounded", test_bounded);
	return g_test_run();
}
