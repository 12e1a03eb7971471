/*
 * Probes of a part of prompts that crashes each server that begins to answer on
 * it, at 7, 83 and 300 instances: how many requests reach servers after the
 * fifth crash, over two minutes.
 */
#include <glib.h>

#include "common/clock.h"
#include "common/id.h"
#include "coord/suspects.h"

#define STEP_USEC (50 * USEC_PER_MSEC)
/* From the start of a run to the crash of the server. */
#define CRASH_STEPS 2
/* From a change at one instance to its merge at the others. */
#define MERGE_STEPS 4
#define DAY_STEPS (20 * 120)
#define RUNS 10
/* Crashes after which the instances have SETTLE_STEPS to find the part, and
 * requests that may reach servers later. */
#define CRASHES_MAX 5u
#define SETTLE_STEPS 60
#define LATE_MAX 3u

struct event {
	uint32_t step;
	uint32_t instance;
	struct suspects suspects;      /* of a run that crashes its server */
	struct quarantine_entry entry; /* otherwise: to be merged */
	bool is_crash;
};

struct world {
	struct quarantine **instances;
	uint32_t count;
	GArray *events; /* struct event */
	uint32_t step;
	uint32_t at; /* the instance that changes an entry */
	uint32_t crashed;
	uint32_t fifth_step;
	uint32_t late;
};

static int64_t now_of(const struct world *world)
{
	return (int64_t)(1000 + world->step) * STEP_USEC;
}

static void on_changed(void *ctx, const struct request_fingerprint *fingerprint)
{
	struct world *world = ctx;
	const struct event event = {
		.step = world->step + MERGE_STEPS,
		.instance = world->at,
		.entry = *quarantine_find(world->instances[world->at],
					  fingerprint),
	};

	g_array_append_val(world->events, event);
}

static struct suspects request_make(uint64_t number)
{
	struct suspects suspects = {.attempt = id_mix(number, 0)};

	suspects_add(&suspects,
		     (struct suspect){{number, number << 1}, number});
	suspects_add(&suspects, (struct suspect){{2, 2}, 2});
	return suspects;
}

static void request_send(struct world *world)
{
	struct event run = {
		.step = world->step + CRASH_STEPS,
		.instance = (uint32_t)g_test_rand_int_range(
			0, (gint32)world->count),
		.suspects = request_make((uint64_t)g_test_rand_int() << 32 |
					 (uint32_t)g_test_rand_int()),
		.is_crash = true,
	};

	world->at = run.instance;
	if (suspects_find_held(world->instances[world->at], &run.suspects,
			       now_of(world), on_changed, world))
		return;
	world->late += world->fifth_step > 0 &&
		       world->step > world->fifth_step + SETTLE_STEPS;
	g_array_append_val(world->events, run);
}

static void event_apply(struct world *world, const struct event *event)
{
	if (event->is_crash) {
		world->at = event->instance;
		if (++world->crashed == CRASHES_MAX)
			world->fifth_step = world->step;
		suspects_record_crash(world->instances[world->at],
				      &event->suspects, world->crashed,
				      now_of(world), on_changed, world);
		return;
	}
	for (uint32_t i = 0; i < world->count; i++)
		if (i != event->instance)
			quarantine_merge(world->instances[i], &event->entry,
					 now_of(world));
}

static void events_apply(struct world *world)
{
	for (guint i = 0; i < world->events->len;) {
		const struct event event =
			g_array_index(world->events, struct event, i);

		if (event.step > world->step) {
			i++;
			continue;
		}
		g_array_remove_index(world->events, i);
		event_apply(world, &event);
	}
}

static void day_check(uint32_t count, uint32_t per_sec)
{
	static const struct quarantine_settings settings = {3, 4096, 4096};
	struct world world = {
		.instances = g_new0(struct quarantine *, count),
		.count = count,
		.events = g_array_new(FALSE, FALSE, sizeof(struct event)),
	};

	for (uint32_t i = 0; i < count; i++)
		world.instances[i] = quarantine_create(&settings);
	for (world.step = 0; world.step < DAY_STEPS; world.step++) {
		for (uint32_t i = 0; i < per_sec; i++)
			if (g_test_rand_int_range(0, 20) == 0)
				request_send(&world);
		events_apply(&world);
	}
	g_test_message("%u instances, %u a second: %u crashed, %u late", count,
		       per_sec, world.crashed, world.late);
	g_assert_cmpuint(world.late, <=, LATE_MAX);
	for (uint32_t i = 0; i < count; i++)
		quarantine_destroy(world.instances[i]);
	g_free(world.instances);
	g_array_unref(world.events);
}

static void test_probes(void)
{
	for (int i = 0; i < RUNS; i++) {
		day_check(7, 12);
		day_check(83, 12);
		day_check(300, 12);
		day_check(300, 100);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/coord/probes", test_probes);
	return g_test_run();
}
