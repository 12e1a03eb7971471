/*
 * clock.h - the one source of time, and timers on it
 *
 * DESCRIPTION
 *	A clock counts microseconds. It stands still until clock_advance() or
 *	clock_follow() moves it; tests use the former, daemons the latter, once
 *	a turn of the loop. No other code reads the time. Timers fire in order
 *	of their due time, and in order of starting when due together.
 *	A clock never runs backwards.
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

/* Embedded in its owner; set up by timer_init(), fields private. */
struct timer {
	struct clock *clock;
	timer_fn fn;
	void *ctx;
	int64_t due;
	uint64_t order;
	size_t slot; /* position in the heap plus one; 0 when not running */
};

/* Creates a paused clock; unix_us is the wall-clock time at its zero. */
struct clock *clock_create(int64_t unix_us);
/* Creates a clock that clock_follow() can tie to the system's. */
struct clock *clock_create_system(void);
void clock_destroy(struct clock *clock);

/* Microseconds since the clock's zero; never less than before. */
int64_t clock_now(const struct clock *clock);
/* Wall-clock microseconds since 1970, for log lines and audit records only. */
int64_t clock_unix(const struct clock *clock);
/* Due time of the earliest timer, or CLOCK_NEVER. */
int64_t clock_next(const struct clock *clock);
/* Moves to now_us, firing every timer due on the way at its own due time. */
void clock_advance(struct clock *clock, int64_t now_us);
/* Moves to now_us at once and then fires what fell due on the way, in order:
 * what a process sees that stood still meanwhile. */
void clock_jump(struct clock *clock, int64_t now_us);
/* Moves to now_us without firing: what a process sees between waking up and
 * clock_fire_due(). */
void clock_skip(struct clock *clock, int64_t now_us);
/* Jumps a system clock to the present, firing timers. Returns how far the
 * present had run ahead of the last call: a long gap tells a paused process. */
int64_t clock_follow(struct clock *clock);
/* The two halves of clock_follow(): moves without firing, and fires what is
 * due. Between them a process that stood still can be told so. */
int64_t clock_step(struct clock *clock);
void clock_fire_due(struct clock *clock);

void timer_init(struct timer *timer, struct clock *clock, timer_fn fn,
		void *ctx);
/* Starts or restarts the timer to fire once, delay_us from now. */
void timer_start(struct timer *timer, int64_t delay_us);
void timer_stop(struct timer *timer);
bool timer_running(const struct timer *timer);

#endif
