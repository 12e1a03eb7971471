/*
 * loop.h - the one loop of a process: h2o's event loop driven by our clock
 *
 * DESCRIPTION
 *	loop_run() turns until loop_stop(): it moves the clock, calls the turn
 *	hook, fires the timers due, runs what was deferred, then waits for
 *	sockets until the next timer. Signals are taken by a signalfd of the
 *	loop's own.
 *
 *	A callback that a socket wakes runs before the loop is back at its top,
 *	so it starts with loop_enter(): the first call after a wait moves the
 *	clock and calls the turn hook, so that a process that was stopped knows
 *	it before it takes new work. After such a gap, of 0.2 s or more, timers
 *	fire a turn later: what arrived meanwhile goes before the time-outs that
 *	fell due meanwhile.
 */
#ifndef WEB_LOOP_H
#define WEB_LOOP_H

#include <h2o.h>
#include <stdint.h>

struct clock;
struct loop;

typedef void (*loop_signal_fn)(void *ctx, int signal);
/* Called at the top of a turn, and before at the first callback after a wait.
 * gap_us is how far the present ran ahead since the last
 * turn, less the time waited on purpose: large after SIGSTOP and SIGCONT. */
typedef void (*loop_iteration_fn)(void *ctx, int64_t gap_us);

/* Fields private. */
struct loop_deferred {
	struct loop_deferred *prev;
	struct loop_deferred *next;
	void (*fn)(void *ctx);
	void *ctx;
};
typedef void (*loop_deferred_fn)(void *ctx);

struct loop *loop_create(struct clock *clock);
void loop_destroy(struct loop *loop);
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
void loop_on_signal(struct loop *loop, int signal, loop_signal_fn fn,
		    void *ctx);
void loop_on_iteration(struct loop *loop, loop_iteration_fn fn, void *ctx);
/* Follows the clock and calls the turn hook, once after each wait. Timers may
 * fire in it. Server and client call it before their callbacks. */
void loop_enter(struct loop *loop);
/* Runs fn once before the loop waits again. The node is embedded in its owner
 * and zeroed before its first use; deferring a node that waits has no effect.
 */
void loop_defer(struct loop *loop, struct loop_deferred *node,
		loop_deferred_fn fn, void *ctx);
void loop_defer_cancel(struct loop_deferred *node);
/* One turn of h2o's loop, safe for sockets that were closed outside of one.
 * For use where loop_run() does not run; waits at most msec. */
void loop_turn_h2o(struct loop *loop, int32_t msec);
struct clock *loop_clock(struct loop *loop);
h2o_loop_t *loop_h2o(struct loop *loop);

#endif
