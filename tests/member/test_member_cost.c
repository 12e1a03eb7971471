/*
 * Cost and speed of membership and configuration by size of the deployment:
 * bytes on the network including headers, time to detect a crash, time to
 * disseminate. The clock is simulated, so the figures are the same in each run.
 */
#include <stdlib.h>
#include <string.h>

#include "invariants.h"

#define SEED 20
#define RUNS_MAX 20

struct size {
	const char *name;
	int centres;
	int each;
	int runs;
};

static const struct size sizes[] = {
	{"3x2", 3, 2, 20},     {"1x7", 1, 7, 20},  {"1x51", 1, 51, 20},
	{"1x200", 1, 200, 10}, {"7x51", 7, 51, 5},
};

struct run {
	struct world *world;
	struct checker *checker;
};

static struct run running;

static void started(struct node *node)
{
	checker_start(running.checker, node);
	fold_start(node->fold);
}

static struct world *run_create(const struct size *size)
{
	struct world *w = world_create(SEED);

	running.world = w;
	running.checker = checker_create(w);
	w->started = started;
	w->stopping = checker_stop;
	world_fill(w, size->centres, size->each);
	world_start(w);
	return w;
}

static void run_destroy(void)
{
	world_destroy(running.world);
	checker_destroy(running.checker);
}

static void settle(struct world *w)
{
	char *problem;

	for (int i = 0; i < 200; i++) {
		world_run(w, USEC_PER_SEC / 10);
		problem = members_settled(w, NULL);
		if (!problem)
			return;
		g_free(problem);
	}
	g_assert_not_reached();
}

struct cost {
	double sent;	  /* bytes a second, mean over the nodes */
	double sent_max;  /* of one node */
	double total_max; /* sent and received, of one node */
	double member;
	double config;
	double messages;
};

static void cost_measure(struct world *w, int64_t window, struct cost *cost)
{
	double seconds = (double)window / USEC_PER_SEC;

	for (int i = 0; i < w->count; i++) {
		struct node *node = w->nodes[i];

		node->bytes = node->messages = node->received_bytes = 0;
		memset(node->by_channel, 0, sizeof(node->by_channel));
	}
	world_run(w, window);
	memset(cost, 0, sizeof(*cost));
	for (int i = 0; i < w->count; i++) {
		const struct node *node = w->nodes[i];
		double share = 1 / seconds / w->count;

		cost->sent += (double)node->bytes * share;
		cost->messages += (double)node->messages * share;
		cost->member +=
			(double)node->by_channel[CHANNEL_MEMBER] * share;
		cost->config +=
			(double)node->by_channel[CHANNEL_CONFIG] * share;
		cost->sent_max =
			MAX(cost->sent_max, (double)node->bytes / seconds);
		cost->total_max = MAX(
			cost->total_max,
			(double)(node->bytes + node->received_bytes) / seconds);
	}
}

/* Heartbeats, digests and adverts in the settled state. */
static void test_bytes(gconstpointer data)
{
	const struct size *size = data;
	struct world *w = run_create(size);
	struct cost cost;

	settle(w);
	world_run(w, 60 * USEC_PER_SEC);
	cost_measure(w, 30 * USEC_PER_SEC, &cost);
	g_test_message("%s: %.0f B/s sent a node (membership %.0f, "
		       "configuration %.0f), %.1f messages/s; most %.0f sent, "
		       "%.0f sent and received",
		       size->name, cost.sent, cost.member, cost.config,
		       cost.messages, cost.sent_max, cost.total_max);
	g_assert_cmpfloat(cost.sent, <, 2500);
	g_assert_cmpfloat(cost.total_max, <, 5000);
	if (size->each >= 51) {
		g_assert_cmpfloat(cost.total_max, <, 2500 * 2);
		g_assert_cmpfloat(cost.sent_max, <, 2500);
	}
	run_destroy();
}

/* Bytes and time until instances that start at once have the same view. */
static void test_start(gconstpointer data)
{
	const struct size *size = data;
	struct world *w = run_create(size);
	int64_t start = clock_now(w->clock);
	uint64_t bytes = 0;

	settle(w);
	for (int i = 0; i < w->count; i++)
		bytes += w->nodes[i]->bytes;
	g_test_message("%s: all started at once agree after %" G_GINT64_FORMAT
		       " ms, having sent %" G_GUINT64_FORMAT " bytes a node",
		       size->name, (clock_now(w->clock) - start) / 1000,
		       bytes / (uint64_t)w->count);
	g_assert_cmpint(clock_now(w->clock) - start, <, 15 * USEC_PER_SEC);
	run_destroy();
}

static gint usec_order(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static int dead_count(const struct world *w, const struct node *victim)
{
	int count = 0;

	for (int i = 0; i < w->count; i++) {
		const struct member *m;

		if (!w->nodes[i]->up)
			continue;
		m = node_view(w->nodes[i], victim);
		count += !m || m->state == MEMBER_DEAD;
	}
	return count;
}

/* Kills one node at a time: time until the first and until all other nodes
 * declare it dead. */
static void test_death(gconstpointer data)
{
	const struct size *size = data;
	struct world *w = run_create(size);
	int64_t first[RUNS_MAX];
	int64_t all[RUNS_MAX];

	settle(w);
	for (int i = 0; i < size->runs; i++) {
		struct node *victim = w->nodes[(i * 7) % w->count];
		int64_t start;

		world_run(w, 3 * USEC_PER_SEC + i * 37 * USEC_PER_MSEC);
		start = clock_now(w->clock);
		node_kill(victim);
		while (!dead_count(w, victim))
			world_run(w, 20 * USEC_PER_MSEC);
		first[i] = clock_now(w->clock) - start;
		while (dead_count(w, victim) < w->count - 1)
			world_run(w, 20 * USEC_PER_MSEC);
		all[i] = clock_now(w->clock) - start;
		node_start(victim);
		node_hint(victim);
		settle(w);
	}
	qsort(first, (size_t)size->runs, sizeof(first[0]), usec_order);
	qsort(all, (size_t)size->runs, sizeof(all[0]), usec_order);
	g_test_message("%s: dead to the first after %" G_GINT64_FORMAT
		       " ms (worst %" G_GINT64_FORMAT
		       "), to all after %" G_GINT64_FORMAT
		       " ms (worst %" G_GINT64_FORMAT ") over %d",
		       size->name, first[size->runs / 2] / 1000,
		       first[size->runs - 1] / 1000, all[size->runs / 2] / 1000,
		       all[size->runs - 1] / 1000, size->runs);
	/* suspect_after + dead_after, a heartbeat for each, and dissemination.
	 */
	g_assert_cmpint(first[size->runs - 1], <=, 4500 * USEC_PER_MSEC);
	g_assert_cmpint(all[size->runs - 1], <=, 7 * USEC_PER_SEC);
	run_destroy();
}

static int in_force_count(const struct world *w, uint64_t revision)
{
	int count = 0;

	for (int i = 0; i < w->count; i++)
		count += fold_revision(w->nodes[i]->fold) >= revision;
	return count;
}

/* Time from applying a file at one instance until all have it in force. */
static void test_spread(gconstpointer data)
{
	const struct size *size = data;
	struct world *w = run_create(size);
	int64_t times[RUNS_MAX];

	settle(w);
	for (int i = 0; i < size->runs; i++) {
		struct node *node = w->nodes[(i * 11) % w->count];
		uint64_t base = fold_revision(node->fold);
		char content[32];
		int64_t start;

		world_run(w, USEC_PER_SEC + i * 53 * USEC_PER_MSEC);
		g_snprintf(content, sizeof(content), "file%d", i);
		start = clock_now(w->clock);
		checker_apply(running.checker, node, base, content,
			      5 * USEC_PER_SEC);
		while (in_force_count(w, base + 1) < w->count)
			world_run(w, 10 * USEC_PER_MSEC);
		times[i] = clock_now(w->clock) - start;
	}
	qsort(times, (size_t)size->runs, sizeof(times[0]), usec_order);
	g_test_message("%s: a file is in force everywhere after "
		       "%" G_GINT64_FORMAT " ms (worst %" G_GINT64_FORMAT
		       ") over %d",
		       size->name, times[size->runs / 2] / 1000,
		       times[size->runs - 1] / 1000, size->runs);
	g_assert_cmpint(times[size->runs - 1], <=, 5 * USEC_PER_SEC);
	g_assert_null(checker_check(running.checker));
	run_destroy();
}

static int fact_count(const struct world *w, uint64_t version)
{
	int count = 0;

	for (int i = 0; i < w->count; i++)
		count += w->nodes[i]->facts[1] >= version;
	return count;
}

static void test_fact(gconstpointer data)
{
	const struct size *size = data;
	struct world *w = run_create(size);
	int64_t times[RUNS_MAX];

	settle(w);
	for (int i = 0; i < size->runs; i++) {
		struct node *node = w->nodes[(i * 11) % w->count];
		uint64_t version = (uint64_t)i + 1;
		int64_t start;

		world_run(w, USEC_PER_SEC + i * 53 * USEC_PER_MSEC);
		start = clock_now(w->clock);
		node->facts[1] = version;
		membership_fact_set(node->membership, 1, version, &i,
				    sizeof(i));
		while (fact_count(w, version) < w->count)
			world_run(w, 10 * USEC_PER_MSEC);
		times[i] = clock_now(w->clock) - start;
	}
	qsort(times, (size_t)size->runs, sizeof(times[0]), usec_order);
	g_test_message("%s: a fact is everywhere after %" G_GINT64_FORMAT
		       " ms (worst %" G_GINT64_FORMAT ") over %d",
		       size->name, times[size->runs / 2] / 1000,
		       times[size->runs - 1] / 1000, size->runs);
	g_assert_cmpint(times[size->runs - 1], <=, 10 * USEC_PER_SEC);
	run_destroy();
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		GTestDataFunc fn;
	} measures[] = {
		{"bytes", test_bytes}, {"start", test_start},
		{"death", test_death}, {"spread", test_spread},
		{"fact", test_fact},
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(measures); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(sizes); j++) {
			bool large = sizes[j].centres * sizes[j].each > 100;
			char *path = g_strdup_printf(
				"/cost/%s/%s-%s", large ? "large" : "small",
				measures[i].name, sizes[j].name);

			g_test_add_data_func(path, &sizes[j], measures[i].fn);
			g_free(path);
		}
	}
	return g_test_run();
}
