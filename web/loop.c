#include "web/loop.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "common/clock.h"

/* Longest wait when no timer runs: signals and sockets end it earlier. */
#define WAIT_MAX_MSEC 1000
/* A gap that is none of ordinary load: an instance whose share of a core is
 * used up gets it back within a tenth of a second. */
#define LOOP_GAP_USEC (200 * USEC_PER_MSEC)
/* The turn in which the gap is noticed may hold a part of what is ready, the
 * next one holds all. */
#define WOKEN_TURNS 2u

struct signal_watch {
	int signal;
	loop_signal_fn fn;
	void *ctx;
};

struct loop {
	h2o_loop_t *h2o;
	struct clock *clock;
	struct loop_deferred deferred; /* head of a ring */
	h2o_timeout_t soon;	       /* ends a turn of h2o's */
	h2o_timeout_entry_t soon_entry;
	h2o_timeout_t drain; /* see loop_turn_h2o() */
	h2o_timeout_entry_t drain_entry;
	GArray *watches;
	sigset_t mask;
	int signal_fd;
	h2o_socket_t *signal_sock;
	loop_iteration_fn iteration_fn;
	void *iteration_ctx;
	int64_t waited_usec;  /* on purpose, since the clock was followed */
	bool entered;	      /* the clock was followed since the last wait */
	uint32_t woken_turns; /* until timers fire, see timers_wait() */
	bool fired;	      /* timers, since they had to wait */
	bool running;
};

static void deferred_run(struct loop *loop)
{
	while (loop->deferred.next != &loop->deferred) {
		struct loop_deferred *node = loop->deferred.next;

		loop_defer_cancel(node);
		node->fn(node->ctx);
	}
}

static void on_soon(h2o_timeout_entry_t *entry)
{
	deferred_run(H2O_STRUCT_FROM_MEMBER(struct loop, soon_entry, entry));
}

static void on_drain(h2o_timeout_entry_t *entry)
{
}

/*
 * A turn of h2o's frees the sockets that were closed before it runs the
 * callbacks that are due. A socket that was used and closed outside of a turn,
 * say by a timer of ours that calls and one that cancels, would be freed first
 * and called then. Running a timeout of h2o's runs the callbacks due, and
 * passes over closed sockets.
 */
void loop_turn_h2o(struct loop *loop, int32_t msec)
{
	h2o_timeout_link(loop->h2o, &loop->drain, &loop->drain_entry);
	h2o_timeout_run(loop->h2o, &loop->drain, h2o_now(loop->h2o));
	h2o_evloop_run(loop->h2o, msec);
}

struct loop *loop_create(struct clock *clock)
{
	struct loop *loop = g_new0(struct loop, 1);

	signal(SIGPIPE, SIG_IGN);
	loop->h2o = h2o_evloop_create();
	loop->clock = clock;
	h2o_timeout_init(loop->h2o, &loop->soon, 0);
	loop->soon_entry.cb = on_soon;
	h2o_timeout_init(loop->h2o, &loop->drain, 0);
	loop->drain_entry.cb = on_drain;
	loop->deferred.prev = &loop->deferred;
	loop->deferred.next = &loop->deferred;
	loop->watches = g_array_new(FALSE, FALSE, sizeof(struct signal_watch));
	sigemptyset(&loop->mask);
	loop->signal_fd = -1;
	return loop;
}

void loop_destroy(struct loop *loop)
{
	if (!loop)
		return;
	if (loop->signal_sock)
		h2o_socket_close(loop->signal_sock);
	sigprocmask(SIG_UNBLOCK, &loop->mask, NULL);
	/* Lets h2o free the sockets that were closed last. */
	loop_turn_h2o(loop, 0);
	h2o_timeout_unlink(&loop->soon_entry);
	h2o_timeout_dispose(loop->h2o, &loop->soon);
	h2o_timeout_dispose(loop->h2o, &loop->drain);
	h2o_evloop_destroy(loop->h2o);
	g_array_free(loop->watches, TRUE);
	g_free(loop);
}

void loop_defer(struct loop *loop, struct loop_deferred *node,
		loop_deferred_fn fn, void *ctx)
{
	if (node->next)
		return;
	node->fn = fn;
	node->ctx = ctx;
	node->prev = loop->deferred.prev;
	node->next = &loop->deferred;
	node->prev->next = node;
	node->next->prev = node;
	/* Inside a turn of h2o's it runs at the end of that same turn. */
	if (!h2o_timeout_is_linked(&loop->soon_entry))
		h2o_timeout_link(loop->h2o, &loop->soon, &loop->soon_entry);
}

void loop_defer_cancel(struct loop_deferred *node)
{
	if (!node->next)
		return;
	node->prev->next = node->next;
	node->next->prev = node->prev;
	node->prev = NULL;
	node->next = NULL;
}

/* Whether timers wait: after a gap what has arrived meanwhile goes first. With
 * the timers first a process that stood still for three seconds gave up streams
 * whose events lay in its sockets, and had them run again elsewhere. */
static bool timers_wait(struct loop *loop, int64_t gap)
{
	if (loop->woken_turns > 0)
		return true;
	/* Not twice in a row: turns that take long would hold them up for ever.
	 */
	if (gap >= LOOP_GAP_USEC && loop->fired) {
		loop->woken_turns = WOKEN_TURNS;
		loop->fired = false;
		return true;
	}
	loop->fired = true;
	return false;
}

void loop_enter(struct loop *loop)
{
	int64_t gap;

	if (loop->entered)
		return;
	loop->entered = true;
	gap = clock_step(loop->clock) - loop->waited_usec;
	loop->waited_usec = 0;
	if (loop->iteration_fn)
		loop->iteration_fn(loop->iteration_ctx, MAX(gap, 0));
	if (!timers_wait(loop, gap))
		clock_fire_due(loop->clock);
}

static int32_t wait_msec(struct loop *loop)
{
	int64_t next = clock_next(loop->clock);
	int64_t usec;

	/* h2o does not look at callbacks due from writes made outside of it. */
	if (!loop->running || loop->h2o->_pending_as_client ||
	    loop->h2o->_pending_as_server)
		return 0;
	if (next == CLOCK_NEVER)
		return WAIT_MAX_MSEC;
	usec = next - clock_now(loop->clock);
	if (usec <= 0)
		return 0;
	return (int32_t)MIN((usec + USEC_PER_MSEC - 1) / USEC_PER_MSEC,
			    WAIT_MAX_MSEC);
}

static void turn(struct loop *loop)
{
	int32_t msec;

	if (loop->woken_turns > 0)
		loop->woken_turns--;
	/* Also when a callback has entered: it may have taken long, and what
	 * it set may be looked at by the hook. */
	loop->entered = false;
	loop_enter(loop);
	deferred_run(loop);
	h2o_timeout_unlink(&loop->soon_entry);
	msec = wait_msec(loop);
	loop->waited_usec = msec * USEC_PER_MSEC;
	loop->entered = false;
	loop_turn_h2o(loop, msec);
}

void loop_run(struct loop *loop)
{
	loop->running = true;
	/* Time before the loop ran is no gap. */
	clock_follow(loop->clock);
	while (loop->running)
		turn(loop);
	loop_enter(loop);
	deferred_run(loop);
}

void loop_stop(struct loop *loop)
{
	loop->running = false;
}

static void signal_dispatch(struct loop *loop, int signal)
{
	for (guint i = 0; i < loop->watches->len; i++) {
		struct signal_watch *watch =
			&g_array_index(loop->watches, struct signal_watch, i);

		if (watch->signal == signal)
			watch->fn(watch->ctx, signal);
	}
}

static void signal_readable(h2o_socket_t *sock, const char *err)
{
	struct loop *loop = sock->data;
	struct signalfd_siginfo info;

	if (err)
		return;
	while (read(loop->signal_fd, &info, sizeof(info)) == sizeof(info))
		signal_dispatch(loop, (int)info.ssi_signo);
}

void loop_on_signal(struct loop *loop, int signal, loop_signal_fn fn, void *ctx)
{
	struct signal_watch watch = {signal, fn, ctx};

	g_array_append_val(loop->watches, watch);
	sigaddset(&loop->mask, signal);
	sigprocmask(SIG_BLOCK, &loop->mask, NULL);
	loop->signal_fd = signalfd(loop->signal_fd, &loop->mask,
				   SFD_NONBLOCK | SFD_CLOEXEC);
	g_assert(loop->signal_fd >= 0);
	if (loop->signal_sock)
		return;
	loop->signal_sock = h2o_evloop_socket_create(loop->h2o, loop->signal_fd,
						     H2O_SOCKET_FLAG_DONT_READ);
	loop->signal_sock->data = loop;
	h2o_socket_read_start(loop->signal_sock, signal_readable);
}

void loop_on_iteration(struct loop *loop, loop_iteration_fn fn, void *ctx)
{
	loop->iteration_fn = fn;
	loop->iteration_ctx = ctx;
}

struct clock *loop_clock(struct loop *loop)
{
	return loop->clock;
}

h2o_loop_t *loop_h2o(struct loop *loop)
{
	return loop->h2o;
}
