/*
 * Membership under single faults, one per row, on a simulated clock. The
 * network has no faults other than those of the row.
 */
#include <string.h>

#include "common/log.h"
#include "invariants.h"
#include "rows.h"

/* Each row runs with this many seeds. */
#define SEEDS 5u
#define SECONDS(n) ((n)*USEC_PER_SEC)

static void settle(struct world *w, int64_t limit)
{
	int64_t end = clock_now(w->clock) + limit;
	char *problem;

	while ((problem = members_settled(w, NULL))) {
		if (clock_now(w->clock) >= end)
			g_error("not settled: %s", problem);
		g_free(problem);
		world_run(w, USEC_PER_SEC / 10);
	}
}

static enum member_state state(struct world *w, int node, int other)
{
	const struct member *m = node_view(w->nodes[node], w->nodes[other]);

	g_assert_nonnull(m);
	return m->state;
}

static uint64_t refuted(const struct world *w)
{
	uint64_t sum = 0;

	for (int i = 0; i < w->count; i++)
		sum += w->nodes[i]->refuted;
	return sum;
}

static void run_without_deaths(struct world *w, int64_t usec)
{
	for (int64_t t = 0; t < usec; t += USEC_PER_SEC / 5) {
		world_run(w, USEC_PER_SEC / 5);
		for (int i = 0; i < w->count; i++) {
			for (int j = 0; j < w->count; j++)
				g_assert_cmpint(state(w, i, j), !=,
						MEMBER_DEAD);
		}
	}
}

static void instance_crashes(struct world *w)
{
	node_kill(w->nodes[2]);
	world_run(w, SECONDS(1));
	g_assert_cmpint(state(w, 0, 2), ==, MEMBER_ALIVE);
	world_run(w, SECONDS(4));
	for (int i = 0; i < w->count; i++) {
		if (i != 2)
			g_assert_cmpint(state(w, i, 2), ==, MEMBER_DEAD);
	}
}

static void paused_briefly(struct world *w)
{
	node_pause(w->nodes[2]);
	world_run(w, SECONDS(1));
	node_resume(w->nodes[2]);
	g_assert_true(membership_certain(w->nodes[2]->membership));
	run_without_deaths(w, SECONDS(6));
	g_assert_cmpuint(refuted(w), ==, 0);
}

/* Paused long enough to be suspected, but not declared dead. */
static void paused_until_suspect(struct world *w)
{
	node_pause(w->nodes[2]);
	world_run(w, 2200 * USEC_PER_MSEC);
	node_resume(w->nodes[2]);
	g_assert_false(membership_certain(w->nodes[2]->membership));
	world_run(w, SECONDS(1));
	g_assert_true(membership_certain(w->nodes[2]->membership));
	run_without_deaths(w, SECONDS(6));
	g_assert_cmpuint(refuted(w), ==, 0);
}

static void paused_until_dead(struct world *w)
{
	node_pause(w->nodes[2]);
	world_run(w, SECONDS(7));
	g_assert_cmpint(state(w, 0, 2), ==, MEMBER_DEAD);
	node_resume(w->nodes[2]);
	/* A message that arrived meanwhile may have raised its incarnation
	 * already. */
	g_assert_true(!membership_certain(w->nodes[2]->membership) ||
		      w->nodes[2]->refuted == 1);
	settle(w, SECONDS(5));
	g_assert_cmpuint(w->nodes[2]->refuted, ==, 1);
	g_assert_cmpuint(refuted(w), ==, 1);
}

/* The node gets no answer after the pause, so it can't know whether it was
 * declared dead and raises its incarnation. */
static void paused_and_isolated(struct world *w)
{
	node_pause(w->nodes[2]);
	world_run(w, SECONDS(2));
	for (int i = 0; i < w->count; i++)
		w->cut[2][i] = w->cut[i][2] = true;
	node_resume(w->nodes[2]);
	world_run(w, SECONDS(1));
	g_assert_false(membership_certain(w->nodes[2]->membership));
	world_run(w, SECONDS(3));
	g_assert_true(membership_certain(w->nodes[2]->membership));
	g_assert_cmpuint(w->nodes[2]->refuted, >=, 1);
}

static void paused_alone(struct world *w)
{
	for (int i = 1; i < w->count; i++)
		node_kill(w->nodes[i]);
	world_run(w, SECONDS(10));
	node_pause(w->nodes[0]);
	world_run(w, SECONDS(10));
	node_resume(w->nodes[0]);
	g_assert_true(membership_certain(w->nodes[0]->membership));
	g_assert_cmpuint(w->nodes[0]->refuted, ==, 0);
}

/* One link is down. Probes through others prevent a suspicion. */
static void pair_link_cut(struct world *w)
{
	for (int i = 1; i < w->count; i++) {
		w->cut[0][i] = w->cut[i][0] = true;
		for (int t = 0; t < 30; t++) {
			world_run(w, USEC_PER_SEC / 5);
			g_assert_cmpint(state(w, 0, i), ==, MEMBER_ALIVE);
			g_assert_cmpint(state(w, i, 0), ==, MEMBER_ALIVE);
		}
		world_heal(w);
	}
	g_assert_cmpuint(refuted(w), ==, 0);
}

static void one_isolated(struct world *w)
{
	for (int i = 1; i < w->count; i++)
		w->cut[0][i] = w->cut[i][0] = true;
	world_run(w, SECONDS(12));
	g_assert_cmpint(state(w, 0, 1), ==, MEMBER_DEAD);
	g_assert_cmpint(state(w, 1, 0), ==, MEMBER_DEAD);
	world_heal(w);
	settle(w, SECONDS(10));
	g_assert_cmpuint(w->nodes[0]->refuted, ==, 1);
	g_assert_cmpuint(refuted(w), ==, 1);
}

/* The smaller side raises its incarnations, the larger side does not. */
static void minority_partitioned(struct world *w)
{
	for (int i = 0; i < w->count; i++) {
		for (int j = 0; j < w->count; j++)
			w->cut[i][j] = (i < 2) != (j < 2);
	}
	world_run(w, SECONDS(12));
	world_heal(w);
	settle(w, SECONDS(10));
	g_assert_cmpuint(refuted(w), ==, 2);
}

static void halves_partitioned(struct world *w)
{
	for (int i = 0; i < w->count; i++) {
		for (int j = 0; j < w->count; j++)
			w->cut[i][j] = i % 2 != j % 2;
	}
	world_run(w, SECONDS(12));
	world_heal(w);
	settle(w, SECONDS(20));
}

static void centres_partitioned(struct world *w)
{
	world_partition(w, "hall-a", "hall-b", true);
	world_run(w, SECONDS(8));
	g_assert_cmpint(state(w, 0, 2), ==, MEMBER_DEAD);
	g_assert_cmpint(state(w, 3, 1), ==, MEMBER_DEAD);
	g_assert_cmpint(state(w, 0, 4), ==, MEMBER_ALIVE);
	world_run(w, SECONDS(300));
	world_heal(w);
	settle(w, SECONDS(5));
	g_assert_cmpuint(refuted(w), ==, 0);
}

static void centres_partitioned_one_way(struct world *w)
{
	for (int i = 0; i < 2; i++) {
		for (int j = 2; j < 4; j++)
			w->cut[i][j] = true;
	}
	world_run(w, SECONDS(10));
	g_assert_cmpint(state(w, 0, 2), ==, MEMBER_DEAD);
	g_assert_cmpint(state(w, 2, 0), ==, MEMBER_DEAD);
	world_heal(w);
	settle(w, SECONDS(5));
	g_assert_cmpuint(refuted(w), ==, 0);
}

/* All instances of a data centre are restarted while it is unreachable. */
static void replaced_during_partition(struct world *w)
{
	world_partition(w, "hall-a", "hall-b", true);
	world_partition(w, "hall-c", "hall-b", true);
	world_run(w, SECONDS(10));
	for (int i = 2; i < 4; i++) {
		node_kill(w->nodes[i]);
		world_run(w, SECONDS(6));
		node_start(w->nodes[i]);
		node_hint(w->nodes[i]);
	}
	world_run(w, SECONDS(6));
	world_heal(w);
	settle(w, SECONDS(10));
}

static void instance_leaves(struct world *w)
{
	struct node *node = w->nodes[1];

	membership_leave(node->membership);
	node->leaving = true;
	settle(w, SECONDS(2));
	run_without_deaths(w, SECONDS(10));
	for (uint64_t key = 0; key < 200; key++)
		g_assert_cmpuint(membership_home(w->nodes[0]->membership,
						 "hall-a", key, 0),
				 !=, node->self.id);
	node_kill(node);
	world_run(w, SECONDS(6));
	g_assert_cmpint(state(w, 0, 1), ==, MEMBER_DEAD);
}

/* After the clock was set back an instance starts with a lower incarnation than
 * before, and must raise it. */
static void incarnation_too_low(struct world *w)
{
	struct node *node = w->nodes[1];
	uint64_t former = node->self.incarnation;

	node_kill(node);
	w->clock_behind = SECONDS(100);
	node_start(node);
	g_assert_cmpuint(node->self.incarnation, <, former);
	node_hint(node);
	settle(w, SECONDS(5));
	g_assert_cmpuint(node->self.incarnation, >, former);
	g_assert_cmpuint(node->refuted, ==, 1);
}

static void listed_but_absent(struct world *w)
{
	struct member ghost = w->nodes[1]->self;

	g_strlcpy(ghost.name, "ghost", sizeof(ghost.name));
	membership_hint(w->nodes[0]->membership, &ghost);
	for (int i = 0; i < 20; i++) {
		world_run(w, SECONDS(1));
		g_assert_cmpint(
			membership_find(w->nodes[0]->membership, id_of("ghost"))
				->state,
			==, MEMBER_DEAD);
	}
	g_assert_null(membership_find(w->nodes[1]->membership, id_of("ghost")));
}

static void hint_all_but(struct world *w, int node, int but)
{
	for (int i = 0; i < w->count; i++) {
		if (i != but)
			membership_hint(w->nodes[node]->membership,
					&w->nodes[i]->self);
	}
}

static void delisted(struct world *w)
{
	for (int i = 0; i < 100; i++) {
		hint_all_but(w, 0, 1);
		world_run(w, SECONDS(1));
	}
	g_assert_cmpint(state(w, 0, 1), ==, MEMBER_ALIVE);
	node_kill(w->nodes[1]);
	for (int i = 0; i < 100; i++) {
		hint_all_but(w, 0, 1);
		world_run(w, SECONDS(1));
	}
	g_assert_null(node_view(w->nodes[0], w->nodes[1]));
}

static void list_unavailable(struct world *w)
{
	node_kill(w->nodes[1]);
	world_run(w, SECONDS(200));
	g_assert_cmpint(state(w, 0, 1), ==, MEMBER_DEAD);
	node_start(w->nodes[1]);
	node_hint(w->nodes[1]);
	settle(w, SECONDS(5));
}

static void link_lossy(struct world *w)
{
	w->drop = 100;
	w->duplicate = 100;
	w->delay_max = 150 * USEC_PER_MSEC;
	run_without_deaths(w, SECONDS(120));
	g_assert_cmpuint(refuted(w), ==, 0);
}

static void gateways_crash(struct world *w)
{
	for (int i = 0; i < w->count; i++) {
		if (i % 4 < 2)
			node_kill(w->nodes[i]);
	}
	settle(w, SECONDS(15));
}

/* Two instances that each know only the former incarnation of the other must
 * not exchange rejections without end. */
static void both_incarnations_raised(struct world *w)
{
	w->cut[0][1] = w->cut[1][0] = true;
	for (int i = 0; i < 2; i++)
		membership_paused(w->nodes[i]->membership, SECONDS(10));
	world_run(w, 2300 * USEC_PER_MSEC);
	g_assert_cmpuint(refuted(w), ==, 2);
	world_heal(w);
	w->nodes[0]->messages = 0;
	world_run(w, USEC_PER_SEC);
	g_assert_cmpuint(w->nodes[0]->messages, <, 60);
	settle(w, SECONDS(5));
}

/* A data centre is gone for good: an instance that restarts elsewhere must not
 * make it appear alive again. */
static void centre_lost(struct world *w)
{
	node_kill(w->nodes[2]);
	node_kill(w->nodes[3]);
	settle(w, SECONDS(10));
	node_kill(w->nodes[0]);
	world_run(w, SECONDS(6));
	node_start(w->nodes[0]);
	node_hint(w->nodes[0]);
	for (int i = 0; i < 100; i++) {
		world_run(w, USEC_PER_SEC / 5);
		g_assert_cmpint(state(w, 1, 2), ==, MEMBER_DEAD);
	}
	settle(w, USEC_PER_SEC);
}

/* After the partition neither side knows the other's current gateways. */
static void gateways_crash_during_partition(struct world *w)
{
	world_partition(w, "hall-a", "hall-b", true);
	world_run(w, SECONDS(10));
	for (int i = 0; i < w->count; i++) {
		if (i % 4)
			node_kill(w->nodes[i]);
	}
	world_run(w, SECONDS(10));
	world_heal(w);
	settle(w, SECONDS(20));
}

static void facts_rejected(struct world *w)
{
	static const char big[600];
	struct node *node = w->nodes[1];

	membership_fact_set(node->membership, 1, 7, "seven", 5);
	membership_fact_set(node->membership, 1, 6, "six", 3);
	membership_fact_set(node->membership, 2, 1, big, sizeof(big));
	membership_fact_set(node->membership, 3, 1, NULL, 4);
	world_run(w, SECONDS(3));
	membership_fact_set(w->nodes[0]->membership, 1, 5, "five", 4);
	world_run(w, SECONDS(3));
	for (int i = 0; i < w->count; i++) {
		if (i != 1)
			g_assert_cmpuint(w->nodes[i]->facts[1], ==, 7);
		g_assert_cmpuint(w->nodes[i]->facts[2], ==, 0);
		g_assert_cmpuint(w->nodes[i]->facts[3], ==, 0);
	}
}

/* The death of an instance moves only the keys that it was home of. */
static void homes_after_crash(struct world *w)
{
	const struct membership *m = w->nodes[0]->membership;
	uint64_t former[300];
	int moved = 0;

	for (uint64_t key = 0; key < 300; key++) {
		former[key] = membership_home(m, "hall-a", key, 0);
		g_assert_cmpuint(former[key], !=,
				 membership_home(m, "hall-a", key, 1));
	}
	node_kill(w->nodes[1]);
	world_run(w, SECONDS(6));
	for (uint64_t key = 0; key < 300; key++) {
		uint64_t home = membership_home(m, "hall-a", key, 0);

		if (former[key] != w->nodes[1]->self.id)
			g_assert_cmpuint(home, ==, former[key]);
		else
			moved++;
	}
	g_assert_cmpint(moved, >, 300 / 7 / 2);
	g_assert_cmpuint(membership_home(m, "hall-a", 1, 6), ==, 0);
	g_assert_cmpuint(membership_home(m, "nowhere", 1, 0), ==, 0);
	g_assert_cmpuint(membership_home(m, NULL, 1, 0), ==, 0);
}

struct sample {
	GByteArray *messages[64];
	int count;
	struct node *node;
};

static struct sample *sampling;

static void sample_send(void *ctx, uint64_t instance, enum channel channel,
			const void *payload, size_t size)
{
	if (sampling->count < 64) {
		GByteArray *copy = g_byte_array_new();

		g_byte_array_append(copy, payload, (guint)size);
		sampling->messages[sampling->count++] = copy;
	}
}

/* Real messages with bytes changed or cut off. */
static void messages_corrupted(struct world *w)
{
	const struct transport transport = {.send = sample_send};
	struct sample sample = {.node = w->nodes[0]};
	struct membership_stats before;
	struct membership_stats after;
	struct member self = w->nodes[1]->self;
	struct membership *other;

	sampling = &sample;
	g_strlcpy(self.name, "sampled", sizeof(self.name));
	other = membership_create(w->nodes[1]->clock, &self, NULL, &transport,
				  NULL, NULL);
	membership_start(other);
	membership_hint(other, &w->nodes[0]->self);
	membership_fact_set(other, 9, 1, "x", 1);
	world_run(w, SECONDS(8));
	membership_destroy(other);
	g_assert_cmpint(sample.count, >, 2);
	membership_stats(w->nodes[0]->membership, &before);
	for (int i = 0; i < 20000; i++) {
		const GByteArray *from = sample.messages[i % sample.count];
		guint size = from->len;
		guint8 *copy = g_memdup2(from->data, size);

		for (int j = g_rand_int_range(w->rand, 0, 4); j >= 0; j--)
			copy[g_rand_int_range(w->rand, 0, (gint32)size)] =
				(guint8)g_rand_int(w->rand);
		if (i % 3 == 0)
			size = (guint)g_rand_int_range(w->rand, 0,
						       (gint32)size);
		membership_receive(w->nodes[0]->membership,
				   w->nodes[i % 3]->self.id, copy, size);
		g_free(copy);
	}
	membership_receive(w->nodes[0]->membership, 5, NULL, 0);
	membership_stats(w->nodes[0]->membership, &after);
	g_assert_cmpuint(after.malformed - before.malformed, >, 5000);
	g_assert_cmpint(membership_self(w->nodes[0]->membership)->state, ==,
			MEMBER_ALIVE);
	for (int i = 0; i < sample.count; i++)
		g_byte_array_free(sample.messages[i], TRUE);
}

struct row {
	const char *name;
	int centres;
	int each;
	void (*fault)(struct world *w);
};

static const struct row rows[] = {
	{"an instance crashes", 1, 7, instance_crashes},
	{"paused briefly", 1, 7, paused_briefly},
	{"paused until suspected", 1, 7, paused_until_suspect},
	{"paused until declared dead", 1, 7, paused_until_dead},
	{"paused and isolated", 1, 7, paused_and_isolated},
	{"paused while alone", 1, 3, paused_alone},
	{"the link of a pair is down", 1, 7, pair_link_cut},
	{"one instance is isolated", 1, 7, one_isolated},
	{"a minority is partitioned", 1, 7, minority_partitioned},
	{"halves are partitioned", 1, 6, halves_partitioned},
	{"data centres are partitioned", 3, 2, centres_partitioned},
	{"partitioned one way", 3, 2, centres_partitioned_one_way},
	{"replaced during a partition", 3, 2, replaced_during_partition},
	{"an instance leaves", 1, 7, instance_leaves},
	{"a lower incarnation after a restart", 1, 7, incarnation_too_low},
	{"the list names an absent instance", 1, 3, listed_but_absent},
	{"the list omits an instance", 1, 3, delisted},
	{"the list is unavailable", 1, 3, list_unavailable},
	{"the network loses a tenth", 1, 20, link_lossy},
	{"both gateways crash", 3, 4, gateways_crash},
	{"gateways crash during a partition", 2, 4,
	 gateways_crash_during_partition},
	{"a data centre is lost", 3, 2, centre_lost},
	{"two raise their incarnations at once", 1, 2,
	 both_incarnations_raised},
	{"facts that are old or too large", 3, 2, facts_rejected},
	{"homes after a crash", 1, 6, homes_after_crash},
	{"messages are corrupted", 1, 3, messages_corrupted},
};

static void test_row(gconstpointer data)
{
	const struct row *row = data;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct world *w = world_create(seed);

		world_fill(w, row->centres, row->each);
		world_start(w);
		settle(w, SECONDS(10));
		world_run(w, SECONDS(2));
		row->fault(w);
		world_destroy(w);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_ERR);
	ROWS_ADD("/member/", rows, test_row);
	return g_test_run();
}
