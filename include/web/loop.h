/*
 * loop.h - the one loop of a process: h2o's event loop driven by our clock
 *
 * DESCRIPTION
 *	loop_run() turns until loop_stop(): it moves the clock, which fires the
 *	timers due, calls the turn hook, then waits for sockets until the next
 *	timer. Signals are taken by a signalfd of the loop's own.
 */
#ifndef WEB_LOOP_H
#define WEB_LOOP_H

#include <h2o.h>
#include <stdint.h>

struct clock;
struct loop;

typedef void (*loop_signal_fn)(void *ctx, int signal);
/* Called once a turn; gap_us is how far the present ran ahead since the last
 * turn, less the time waited on purpose: large after SIGSTOP and SIGCONT. */
typedef void (*loop_turn_fn)(void *ctx, int64_t gap_us);

struct loop *loop_create(struct clock *clock);
void loop_destroy(struct loop *loop);
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
void loop_on_signal(struct loop *loop, int signal, loop_signal_fn fn,
		    void *ctx);
void loop_on_turn(struct loop *loop, loop_turn_fn fn, void *ctx);
struct clock *loop_clock(struct loop *loop);
h2o_loop_t *loop_h2o(struct loop *loop);

#endif
