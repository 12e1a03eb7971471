/*
 * loop.h - the event loop of a process: h2o's loop with timers of struct clock
 *
 * DESCRIPTION
 *	loop_run() iterates until loop_stop(): it advances the clock, calls the
 *	iteration hook, fires due timers, runs deferred callbacks, then waits
 *	for sockets until the next timer. The loop receives signals through a
 *	signalfd.
 *
 *	Socket callbacks run before the next iteration begins, so each starts
 *	with loop_enter(): the first call after a wait advances the clock and
 *	calls the iteration hook. A process that was stopped thus notices the
 *	gap before it accepts new work. After a gap of 0.2 s or more, timers
 *	fire only after the next complete iteration, so that input that arrived
 *	during the gap is handled before timeouts that expired during it.
 */
#ifndef WEB_LOOP_H
#define WEB_LOOP_H

#include <h2o.h>
#include <stdint.h>

struct clock;
struct loop;

typedef void (*loop_signal_fn)(void *ctx, int signal);
/* Called at the start of each iteration, and at the first socket callback after
 * a wait. gap_us is the time since the last call, less the time that the loop
 * meant to wait: large after SIGSTOP and SIGCONT. */
typedef void (*loop_iteration_fn)(void *ctx, int64_t gap_us);

/* Fields private. */
struct loop_deferred {
	struct loop_deferred *prev;
	struct loop_deferred *next;
	void (*fn)(void *ctx);
	void *ctx;
};
typedef void (*loop_deferred_fn)(void *ctx);

/* Fields private. */
struct loop_observer {
	struct loop_observer *prev;
	struct loop_observer *next;
	loop_deferred_fn fn;
	void *ctx;
};

struct loop *loop_create(struct clock *clock);
/* Signals that the loop has handled are ignored from then on. */
void loop_destroy(struct loop *loop);
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
void loop_on_signal(struct loop *loop, int signal, loop_signal_fn fn,
		    void *ctx);
void loop_on_iteration(struct loop *loop, loop_iteration_fn fn, void *ctx);
/* Calls fn in each iteration before the loop waits, until loop_observe_end().
 * The node is embedded in its owner and zeroed before its first use. */
void loop_observe(struct loop *loop, struct loop_observer *node,
		  loop_deferred_fn fn, void *ctx);
void loop_observe_end(struct loop_observer *node);
/* Advances the clock, calls the iteration hook and fires due timers; only the
 * first call after each wait has an effect. The server and the client call it
 * before their callbacks. */
void loop_enter(struct loop *loop);
/* Runs fn once before the loop waits again. The node is embedded in its owner
 * and zeroed before its first use. A node already deferred is left as it is. */
void loop_defer(struct loop *loop, struct loop_deferred *node,
		loop_deferred_fn fn, void *ctx);
void loop_defer_cancel(struct loop_deferred *node);
/* Runs one iteration of h2o's loop, also safe after sockets were closed outside
 * of one. For use where loop_run() does not run; waits at most msec. */
void loop_run_h2o(struct loop *loop, int32_t msec);
struct clock *loop_clock(struct loop *loop);
h2o_loop_t *loop_h2o(struct loop *loop);

#endif
