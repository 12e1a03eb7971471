/*
 * Membership under seeded schedules of crashes, pauses, partitions and message
 * loss.
 *
 * usage: test_member_schedules [GTest options]; MEMBER_SEED=N runs one seed.
 */
#include <string.h>

#include "blocks.h"
#include "invariants.h"

#define SETTLE_USEC (30 * USEC_PER_SEC)

static struct expected_facts expected_facts;

static int pick(struct world *w, int count)
{
	return g_rand_int_range(w->rand, 0, count);
}

static void fact_set(struct node *node, int key)
{
	node->facts[key] = ++expected_facts.facts[key];
	membership_fact_set(node->membership, (uint64_t)key, node->facts[key],
			    &key, sizeof(key));
}

static void restart(struct node *node)
{
	node_start(node);
	node_hint(node);
}

static void leave(struct node *node)
{
	membership_leave(node->membership);
	node->leaving = true;
}

static void partition(struct world *w)
{
	int a = pick(w, w->count);
	int b = pick(w, w->count);

	switch (pick(w, 4)) {
	case 0:
		w->cut[a][b] = true;
		return;
	case 1:
		world_partition(w, w->nodes[a]->self.data_centre,
				w->nodes[b]->self.data_centre, true);
		return;
	case 2:
		for (int i = 0; i < w->count; i++)
			w->cut[a][i] = w->cut[i][a] = i != a;
		return;
	default:
		memset(w->cut, 0, sizeof(w->cut));
	}
}

static void event(struct world *w)
{
	struct node *node = w->nodes[pick(w, w->count)];

	switch (pick(w, 8)) {
	case 0:
		node_kill(node);
		break;
	case 1:
	case 2:
		if (!node->up)
			restart(node);
		break;
	case 3:
		node_pause(node);
		break;
	case 4:
		node_resume(node);
		break;
	case 5:
		partition(w);
		break;
	case 6:
		if (node->up && pick(w, 4) == 0)
			leave(node);
		break;
	default:
		if (node->up && !node->paused)
			fact_set(node, pick(w, FACTS));
	}
}

static void recover_all(struct world *w)
{
	world_heal(w);
	for (int i = 0; i < w->count; i++) {
		node_resume(w->nodes[i]);
		if (!w->nodes[i]->up && pick(w, 3) > 0)
			node_start(w->nodes[i]);
	}
	for (int i = 0; i < w->count; i++) {
		if (w->nodes[i]->up)
			node_hint(w->nodes[i]);
	}
	/* The instances that had the newest facts may all be gone, so the facts
	 * are set again. */
	for (int i = 0; i < w->count; i++) {
		if (!w->nodes[i]->up)
			continue;
		for (int key = 0; key < FACTS; key++)
			fact_set(w->nodes[i], key);
		return;
	}
}

static void check(struct world *w, char *problem)
{
	if (problem)
		g_error("seed %u at %" G_GINT64_FORMAT " us: %s", w->seed,
			clock_now(w->clock), problem);
}

static int64_t settle(struct world *w)
{
	int64_t start = clock_now(w->clock);
	char *problem;

	for (;;) {
		problem = members_settled(w, &expected_facts);
		if (!problem)
			return clock_now(w->clock) - start;
		if (clock_now(w->clock) - start > SETTLE_USEC)
			check(w, problem);
		g_free(problem);
		world_run(w, USEC_PER_SEC / 4);
	}
}

static int64_t schedule(uint32_t seed)
{
	struct world *w = world_create(seed);
	int centres = 1 + pick(w, 3);
	int64_t settled;
	int events;

	expected_facts = (struct expected_facts){0};
	world_fill(w, centres, 2 + pick(w, 4));
	w->drop = pick(w, 150);
	w->duplicate = pick(w, 100);
	w->delay_max = 1000 + pick(w, 200000);
	world_start(w);
	world_run(w, pick(w, 4 * USEC_PER_SEC));
	events = 5 + pick(w, 20);
	for (int i = 0; i < events; i++) {
		event(w);
		world_run(w, pick(w, 2 * USEC_PER_SEC));
		check(w, incarnations_valid(w));
		check(w, traffic_bounded(w));
	}
	recover_all(w);
	/* Messages of crashed instances may still be in flight. */
	world_run(w, w->delay_max);
	settled = settle(w);
	/* The settled state must last. */
	world_run(w, 3 * USEC_PER_SEC);
	check(w, members_settled(w, &expected_facts));
	world_destroy(w);
	return settled;
}

int main(int argc, char **argv)
{
	return blocks_run(argc, argv, "member", schedule);
}
