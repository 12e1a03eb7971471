#include "run.h"

#define LOOK_USEC (1 * USEC_PER_MSEC)
#define LIMIT_USEC (5 * USEC_PER_SEC)

static void look_fire(struct timer *timer, void *ctx)
{
	struct run *run = ctx;

	run->held = run->condition && run->condition(run->ctx);
	if (run->held || clock_now(run->clock) >= run->deadline)
		loop_stop(run->loop);
	else
		timer_start(timer, LOOK_USEC);
}

void run_setup(struct run *run)
{
	*run = (struct run){0};
	run->clock = clock_create_system();
	run->loop = loop_create(run->clock);
	run->counters = counter_set_create();
	timer_init(&run->look, run->clock, look_fire, run);
}

void run_teardown(struct run *run)
{
	timer_stop(&run->look);
	counter_set_destroy(run->counters);
	loop_destroy(run->loop);
	clock_destroy(run->clock);
}

static bool run_limited(struct run *run, int64_t usec)
{
	clock_follow(run->clock);
	run->deadline = clock_now(run->clock) + usec;
	timer_start(&run->look, 0);
	loop_run(run->loop);
	return run->held;
}

bool run_until(struct run *run, bool (*condition)(void *ctx), void *ctx)
{
	run->condition = condition;
	run->ctx = ctx;
	return run_limited(run, LIMIT_USEC);
}

void run_for(struct run *run, int64_t usec)
{
	run->condition = NULL;
	run_limited(run, usec);
}

int64_t run_counter(struct run *run, const char *name, const char *labels)
{
	return counter_get(run->counters, name, "", labels)->value;
}
