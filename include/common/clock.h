/*
 * clock.h - the only source of time, and timers that run on it
 *
 * DESCRIPTION
 *	A clock counts microseconds. It changes only when clock_advance() or
 *	clock_follow() moves it: tests call the former, daemons the latter, once
 *	per iteration of the event loop. No other code reads the time. Timers
 *	fire in order of their due time; those with the same due time fire in
 *	the order in which they were started. The time never goes backwards.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC INT64_C(1000000)
#define CLOCK_NEVER INT64_MAX

struct clock;
struct timer;

typedef void (*timer_fn)(struct timer *timer, void *ctx);

/* Embedded in its owner and set up by timer_init(). The fields are private. */
struct timer {
	struct clock *clock;
	timer_fn fn;
	void *ctx;
	int64_t due;
	uint64_t order;
	size_t slot; /* position in the heap plus one; 0 when not running */
};

/* Creates a clock at 0 that only the caller moves; unix_us is the wall-clock
 * time that 0 stands for. */
struct clock *clock_create(int64_t unix_us);
/* Creates a clock that clock_follow() sets to the system's time. */
struct clock *clock_create_system(void);
void clock_destroy(struct clock *clock);

/* Microseconds since the clock's zero; monotonic. */
int64_t clock_now(const struct clock *clock);
/* Wall-clock time in microseconds since 1970; only for log lines and audit
 * records. */
int64_t clock_unix(const struct clock *clock);
/* Due time of the earliest timer, or CLOCK_NEVER. */
int64_t clock_next(const struct clock *clock);
/* Moves to now_us and fires each timer on the way with the clock at its due
 * time. */
void clock_advance(struct clock *clock, int64_t now_us);
/* Moves to now_us in one step and then fires the timers that are due, in order,
 * as a process does that was paused in between. */
void clock_jump(struct clock *clock, int64_t now_us);
/* Moves to now_us without firing timers: the state of a resumed process before
 * clock_fire_due(). */
void clock_skip(struct clock *clock, int64_t now_us);
/* Sets a system clock to the present and fires the timers that are due. Returns
 * by how much it advanced: a large gap means that the process was paused. */
int64_t clock_follow(struct clock *clock);
/* The two steps of clock_follow(): the first sets the clock without firing
 * timers, the second fires those that are due. In between, the caller can react
 * to a pause of the process. */
int64_t clock_step(struct clock *clock);
void clock_fire_due(struct clock *clock);

void timer_init(struct timer *timer, struct clock *clock, timer_fn fn,
		void *ctx);
/* Starts or restarts the timer to fire once, delay_us from now. */
void timer_start(struct timer *timer, int64_t delay_us);
void timer_stop(struct timer *timer);
bool timer_running(const struct timer *timer);

#endif
