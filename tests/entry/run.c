#include "run.h"

#define POLL_USEC (1 * USEC_PER_MSEC)
#define TIMEOUT_USEC (5 * USEC_PER_SEC)

static void poll_fire(struct timer *timer, void *ctx)
{
	struct run *run = ctx;

	run->met = run->condition && run->condition(run->ctx);
	if (run->met || clock_now(run->clock) >= run->deadline)
		loop_stop(run->loop);
	else
		timer_start(timer, POLL_USEC);
}

void run_setup(struct run *run)
{
	*run = (struct run){0};
	run->clock = clock_create_system();
	run->loop = loop_create(run->clock);
	run->counters = counter_set_create();
	timer_init(&run->poll, run->clock, poll_fire, run);
}

void run_teardown(struct run *run)
{
	timer_stop(&run->poll);
	counter_set_destroy(run->counters);
	loop_destroy(run->loop);
	clock_destroy(run->clock);
}

static bool run_bounded(struct run *run, int64_t usec)
{
	clock_follow(run->clock);
	run->deadline = clock_now(run->clock) + usec;
	timer_start(&run->poll, 0);
	loop_run(run->loop);
	return run->met;
}

bool run_until(struct run *run, bool (*condition)(void *ctx), void *ctx)
{
	run->condition = condition;
	run->ctx = ctx;
	return run_bounded(run, TIMEOUT_USEC);
}

void run_for(struct run *run, int64_t usec)
{
	run->condition = NULL;
	run_bounded(run, usec);
}

int64_t run_counter(struct run *run, const char *name, const char *labels)
{
	return counter_get(run->counters, name, "", labels)->value;
}
