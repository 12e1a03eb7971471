/*
 * The configuration's fold under seeded schedules: concurrent operators, a log
 * with outages, late appends, retention and lost answers, instances that crash
 * or pause, and partitioned data centres.
 *
 * usage: test_fold_schedules [GTest options]; MEMBER_SEED=N runs one seed.
 */
#include <string.h>

#include "blocks.h"
#include "invariants.h"

#define SETTLE_USEC (30 * USEC_PER_SEC)

static int pick(struct world *w, int count)
{
	return g_rand_int_range(w->rand, 0, count);
}

struct run {
	struct world *world;
	struct checker *checker;
	int files;
	int64_t reappend;
};

static struct run *running;

static void started(struct node *node)
{
	checker_start(running->checker, node);
	fold_reappend_after(node->fold, running->reappend);
	fold_start(node->fold);
}

static struct node *node_ready(struct run *r)
{
	struct node *node = r->world->nodes[pick(r->world, r->world->count)];

	return node->up && !node->paused ? node : NULL;
}

static void apply(struct run *r)
{
	struct node *node = node_ready(r);
	int64_t timeout = USEC_PER_SEC / 2 + pick(r->world, 8 * USEC_PER_SEC);
	uint64_t base;
	char content[32];

	if (!node)
		return;
	base = fold_revision(node->fold);
	if (base && pick(r->world, 8) == 0)
		base--;
	g_snprintf(content, sizeof(content), "%s%d",
		   pick(r->world, 8) ? "file" : "bad", ++r->files);
	checker_apply(r->checker, node, base, content, timeout);
}

static void log_fault(struct run *r)
{
	struct fake_log *log = r->world->log;
	struct world *w = r->world;

	switch (pick(w, 6)) {
	case 0:
		log->outage = !log->outage;
		break;
	case 1:
		log->answer_lost_permille = pick(w, 500);
		break;
	case 2:
		log->late_permille = pick(w, 300);
		break;
	case 3:
		log->refused_permille = pick(w, 500);
		break;
	case 4:
		w->nodes[pick(w, w->count)]->client.silent = true;
		break;
	default:
		for (int i = 0; i < w->count; i++)
			w->nodes[i]->client.silent = false;
		log->outage = false;
	}
}

/* A file that neither an instance nor the log holds is lost. So the last node
 * with the latest file is spared while the log has a retention. */
static bool node_needed(struct run *r, const struct node *node)
{
	const struct world *w = r->world;

	for (int i = 0; i < w->count && node->up; i++) {
		const struct node *other = w->nodes[i];

		if (other != node && other->up && !other->paused &&
		    fold_revision(other->fold) >= fold_revision(node->fold))
			return false;
	}
	return r->world->log->retention;
}

static void node_fault(struct run *r)
{
	struct world *w = r->world;
	struct node *node = w->nodes[pick(w, w->count)];

	switch (pick(w, 4)) {
	case 0:
		if (!node_needed(r, node))
			node_kill(node);
		break;
	case 1:
		if (!node->up) {
			node_start(node);
			node_hint(node);
		}
		break;
	case 2:
		if (!node_needed(r, node))
			node_pause(node);
		break;
	default:
		node_resume(node);
	}
}

static void link_fault(struct run *r)
{
	struct world *w = r->world;
	const struct node *a = w->nodes[pick(w, w->count)];
	const struct node *b = w->nodes[pick(w, w->count)];

	if (pick(w, 2))
		world_partition(w, a->self.data_centre, b->self.data_centre,
				true);
	else
		memset(w->cut, 0, sizeof(w->cut));
}

static void event(struct run *r)
{
	int attempts;

	switch (pick(r->world, 6)) {
	case 0:
		log_fault(r);
		break;
	case 1:
		node_fault(r);
		break;
	case 2:
		link_fault(r);
		break;
	default:
		for (attempts = 1 + pick(r->world, 3); attempts > 0; attempts--)
			apply(r);
	}
}

static void recover_all(struct run *r)
{
	struct world *w = r->world;
	struct fake_log *log = r->world->log;

	world_heal(w);
	log->outage = false;
	log->answer_lost_permille = log->late_permille = log->refused_permille =
		0;
	for (int i = 0; i < w->count; i++) {
		w->nodes[i]->client.silent = false;
		node_resume(w->nodes[i]);
		if (!w->nodes[i]->up)
			node_start(w->nodes[i]);
	}
	for (int i = 0; i < w->count; i++)
		node_hint(w->nodes[i]);
}

static void check(struct run *r, char *problem)
{
	if (problem)
		g_error("seed %u at %" G_GINT64_FORMAT " us: %s",
			r->world->seed, clock_now(r->world->clock), problem);
}

static int64_t settle(struct run *r)
{
	int64_t start = clock_now(r->world->clock);
	char *problem;

	for (;;) {
		problem = checker_check_settled(r->checker);
		if (!problem)
			return clock_now(r->world->clock) - start;
		if (clock_now(r->world->clock) - start > SETTLE_USEC)
			check(r, problem);
		g_free(problem);
		world_run(r->world, USEC_PER_SEC / 4);
	}
}

static struct run *run_create(uint32_t seed)
{
	struct run *r = g_new0(struct run, 1);
	struct world *w = world_create(seed);
	int centres = 1 + pick(w, 3);

	r->world = w;
	r->checker = checker_create(w);
	r->reappend = FOLD_REAPPEND_USEC;
	w->started = started;
	w->stopping = checker_stop;
	running = r;
	world_fill(w, centres, 2 + pick(w, 3));
	w->drop = pick(w, 100);
	w->duplicate = pick(w, 100);
	w->delay_max = 1000 + pick(w, 100000);
	if (pick(w, 2)) {
		r->world->log->retention = (6 + pick(w, 10)) * USEC_PER_SEC;
		r->reappend = r->world->log->retention / 3;
	}
	return r;
}

static void run_destroy(struct run *r)
{
	world_destroy(r->world);
	checker_destroy(r->checker);
	g_free(r);
}

static int64_t schedule(uint32_t seed)
{
	struct run *r = run_create(seed);
	int events = 10 + pick(r->world, 30);
	int64_t settled;

	world_start(r->world);
	world_run(r->world, pick(r->world, 4 * USEC_PER_SEC));
	for (int i = 0; i < events; i++) {
		event(r);
		world_run(r->world, pick(r->world, 2 * USEC_PER_SEC));
		check(r, checker_check(r->checker));
		check(r, traffic_bounded(r->world));
	}
	recover_all(r);
	settled = settle(r);
	world_run(r->world, 10 * USEC_PER_SEC);
	check(r, checker_check_settled(r->checker));
	run_destroy(r);
	return settled;
}

int main(int argc, char **argv)
{
	return blocks_run(argc, argv, "fold", schedule);
}
