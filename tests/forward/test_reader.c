/* When an instance reads the store, by its own state and its peers. */
#include <glib.h>

#include "forward/reader.h"
#include "rows.h"

#define MSEC(n) ((n)*USEC_PER_MSEC)
#define NOW MSEC(100000)
#define NEVER -1

/* Ages in ms: of the copy (without one, of the start), and of the last failed
 * read. */
struct row {
	const char *name;
	struct reader_place place;
	int age;
	int failed_ago; /* NEVER: reads do not fail */
	int latency;
	bool has_copy;
	bool long_poll;
	bool due;
};

static const struct row rows[] = {
	{"rank 0 reads all the time",
	 {.rank = 0, .peers = 29},
	 0,
	 NEVER,
	 0,
	 true,
	 true,
	 true},
	{"rank 0 without long polls reads every 700 ms",
	 {.rank = 0, .peers = 29},
	 690,
	 NEVER,
	 0,
	 true,
	 false,
	 false},
	{"rank 1 with a copy within its staleness bound",
	 {.rank = 1, .peers = 29},
	 1140,
	 NEVER,
	 0,
	 true,
	 true,
	 false},
	{"rank 1 with a copy beyond its staleness bound",
	 {.rank = 1, .peers = 29},
	 1150,
	 NEVER,
	 0,
	 true,
	 true,
	 true},
	{"the last rank leaves the first reads to others",
	 {.rank = 29, .peers = 29},
	 1580,
	 NEVER,
	 0,
	 true,
	 true,
	 false},
	{"the last rank reads in time",
	 {.rank = 29, .peers = 29},
	 1600,
	 NEVER,
	 0,
	 true,
	 true,
	 true},
	{"peers that the store refuses delay no other",
	 {.rank = 5, .peers = 29, .store_unreachable = 24},
	 1600,
	 NEVER,
	 0,
	 true,
	 true,
	 true},
	{"refused before its copy was stale: first retry at once",
	 {.rank = 29, .peers = 29, .store_unreachable = 24},
	 1600,
	 1500,
	 0,
	 true,
	 true,
	 true},
	{"refused since: not its slot",
	 {.rank = 24, .peers = 29, .store_unreachable = 24},
	 4000,
	 2000,
	 0,
	 true,
	 true,
	 false},
	{"refused since: its slot",
	 {.rank = 24, .peers = 29, .store_unreachable = 24},
	 1600 + 24 * 300,
	 7000,
	 0,
	 true,
	 true,
	 true},
	{"all refused: rank 0 retries in its slot",
	 {.rank = 0, .peers = 29, .store_unreachable = 29},
	 1700,
	 310,
	 0,
	 true,
	 true,
	 true},
	{"alone refused: retries after the backoff",
	 {.rank = 1, .peers = 1},
	 4000,
	 200,
	 0,
	 true,
	 true,
	 true},
	{"refused with a current copy: leaves reading to others",
	 {.rank = 29, .peers = 29},
	 300,
	 2400,
	 0,
	 true,
	 true,
	 false},
	{"refused with a current copy: probes every five seconds",
	 {.rank = 29, .peers = 29},
	 300,
	 7500,
	 0,
	 true,
	 true,
	 true},
	{"slow answers raise the staleness bound",
	 {.rank = 29, .peers = 29},
	 2900,
	 NEVER,
	 700,
	 true,
	 true,
	 false},
	{"the last of a thousand leaves the first reads to others",
	 {.rank = 60, .peers = 60, .instances = 1000},
	 3140,
	 NEVER,
	 0,
	 true,
	 true,
	 false},
	{"the last of a thousand reads in time",
	 {.rank = 60, .peers = 60, .instances = 1000},
	 3150,
	 NEVER,
	 0,
	 true,
	 true,
	 true},
	{"one of a thousand, refused since: longer pause",
	 {.rank = 1, .peers = 60, .instances = 1000},
	 4000,
	 900,
	 0,
	 true,
	 true,
	 false},
	{"without a copy: rank 0 reads once peers are listed",
	 {.rank = 0, .peers = 29},
	 150,
	 NEVER,
	 0,
	 false,
	 true,
	 true},
	{"without a copy: no announcement of a peer yet",
	 {.rank = 0, .peers = 196, .silent_peers = 196},
	 990,
	 NEVER,
	 0,
	 false,
	 true,
	 false},
	{"without a copy: the wait for announcements is over",
	 {.rank = 0, .peers = 196, .silent_peers = 196},
	 1000,
	 NEVER,
	 0,
	 false,
	 true,
	 true},
	{"without a copy, refused: its slot of few",
	 {.rank = 29, .peers = 29, .store_unreachable = 24},
	 9300,
	 1800,
	 0,
	 false,
	 true,
	 true},
	{"without a copy, refused: not its slot",
	 {.rank = 29, .peers = 29, .store_unreachable = 24},
	 9000,
	 1800,
	 0,
	 false,
	 true,
	 false},
};

static void test_row(gconstpointer data)
{
	const struct row *row = data;
	const struct reader_state state = {
		.has_copy = row->has_copy,
		.synced_at = NOW - MSEC(row->age),
		.peers_listed = true,
		.long_poll = row->long_poll,
		.latency = MSEC(row->latency),
		.failing = row->failed_ago != NEVER,
		.failed_at = NOW - MSEC(row->failed_ago),
		.backoff = MSEC(100),
		.seed = 7,
	};

	g_assert_cmpint(reader_is_due(&state, &row->place, NOW), ==, row->due);
}

/* Before the peers are listed, rank 0 must not make an instance read. */
static void test_unlisted(void)
{
	const struct reader_place place = {.peers = 3, .instances = 1000};
	struct reader_state state = {.has_copy = true,
				     .synced_at = NOW - MSEC(1140),
				     .long_poll = true};

	g_assert_false(reader_is_due(&state, &place, NOW));
	state.synced_at = NOW - MSEC(5190);
	g_assert_false(reader_is_due(&state, &place, NOW));
	state.synced_at = NOW - MSEC(7200);
	g_assert_true(reader_is_due(&state, &place, NOW));
}

/* The pause doubles with each failed read of the list of instances. */
static void test_list_fails(void)
{
	struct reader_state state = {
		.synced_at = NOW - MSEC(9000),
		.failing = true,
		.failed_at = NOW - MSEC(2900),
		.backoff = MSEC(800),
	};

	g_assert_true(reader_list_is_due(&state, 0, NOW));
	g_assert_false(reader_list_is_due(&state, 1, NOW));
	g_assert_true(reader_list_is_due(&state, 1, NOW + MSEC(6300)));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/forward/reader/", rows, test_row);
	g_test_add_func("/forward/reader/unlisted", test_unlisted);
	g_test_add_func("/forward/reader/list-fails", test_list_fails);
	return g_test_run();
}
