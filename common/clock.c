#include "clock_heap.h"

#include <time.h>

static int64_t system_time(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

struct clock *clock_create(int64_t unix_us)
{
	struct clock *clock = g_new0(struct clock, 1);

	clock->unix_zero = unix_us;
	clock->heap = g_ptr_array_new();
	return clock;
}

/* CLOCK_BOOTTIME includes the time that the machine was suspended, so a suspend
 * does not prolong a lease. */
struct clock *clock_create_system(void)
{
	struct clock *clock = clock_create(system_time(CLOCK_REALTIME));

	clock->system_zero = system_time(CLOCK_BOOTTIME);
	return clock;
}

void clock_destroy(struct clock *clock)
{
	if (!clock)
		return;
	for (size_t i = 0; i < clock->heap->len; i++) {
		struct timer *timer = clock->heap->pdata[i];

		timer->slot = 0;
	}
	g_ptr_array_free(clock->heap, TRUE);
	g_free(clock);
}

int64_t clock_now(const struct clock *clock)
{
	return clock->now;
}

int64_t clock_unix(const struct clock *clock)
{
	return clock->unix_zero + clock->now;
}

int64_t clock_next(const struct clock *clock)
{
	const struct timer *timer = clock_first(clock);

	return timer ? timer->due : CLOCK_NEVER;
}

static void clock_fire(struct timer *timer)
{
	timer_stop(timer);
	timer->fn(timer, timer->ctx);
}

void clock_advance(struct clock *clock, int64_t now_us)
{
	struct timer *timer;

	while ((timer = clock_first(clock)) && timer->due <= now_us) {
		clock->now = MAX(clock->now, timer->due);
		clock_fire(timer);
	}
	clock->now = MAX(clock->now, now_us);
}

/* Timers started during the call fire in the next one, so that a timer that
 * restarts itself without delay cannot block the loop. */
void clock_fire_due(struct clock *clock)
{
	uint64_t starts = clock->starts;
	struct timer *timer;

	while ((timer = clock_first(clock)) && timer->due <= clock->now &&
	       timer->order < starts)
		clock_fire(timer);
}

void clock_jump(struct clock *clock, int64_t now_us)
{
	clock->now = MAX(clock->now, now_us);
	clock_fire_due(clock);
}

void clock_skip(struct clock *clock, int64_t now_us)
{
	clock->now = MAX(clock->now, now_us);
}

int64_t clock_step(struct clock *clock)
{
	int64_t now = system_time(CLOCK_BOOTTIME) - clock->system_zero;
	int64_t gap = MAX(now - clock->now, 0);

	clock->unix_zero = system_time(CLOCK_REALTIME) - now;
	clock->now += gap;
	return gap;
}

int64_t clock_follow(struct clock *clock)
{
	int64_t gap = clock_step(clock);

	clock_fire_due(clock);
	return gap;
}
