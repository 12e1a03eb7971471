#include "web/loop.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "common/clock.h"

/* Longest wait; signals and sockets end it earlier. */
#define WAIT_MAX_MSEC 1000
/* Longer than the 0.1 s within which an instance that has used up its CPU quota
 * gets the next one. */
#define LOOP_GAP_USEC (200 * USEC_PER_MSEC)
/* The iteration that detects the gap may handle only some of the ready sockets;
 * the next one handles all. */
#define RESUME_ITERATIONS 2u

struct signal_watch {
	int signal;
	loop_signal_fn fn;
	void *ctx;
};

struct loop {
	h2o_loop_t *h2o;
	struct clock *clock;
	struct loop_deferred deferred;	/* head of a circular list */
	h2o_timeout_t deferred_timeout; /* makes h2o call deferred_run() */
	h2o_timeout_entry_t deferred_entry;
	struct loop_observer observers; /* head of the ring */
	h2o_timeout_t drain;		/* see loop_run_h2o() */
	h2o_timeout_entry_t drain_entry;
	GArray *watches;
	sigset_t mask;
	int signal_fd;
	h2o_socket_t *signal_sock;
	loop_iteration_fn iteration_fn;
	void *iteration_ctx;
	int64_t waited_usec;	    /* intended wait since the clock advanced */
	bool entered;		    /* the clock advanced since the last wait */
	uint32_t resume_iterations; /* iterations until timers fire again */
	bool timers_fired;	    /* timers fired since they were deferred */
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

static void on_deferred(h2o_timeout_entry_t *entry)
{
	deferred_run(
		H2O_STRUCT_FROM_MEMBER(struct loop, deferred_entry, entry));
}

/* An observer must not end another one. */
static void observers_run(struct loop *loop)
{
	struct loop_observer *next;

	for (struct loop_observer *node = loop->observers.next;
	     node != &loop->observers; node = next) {
		next = node->next;
		node->fn(node->ctx);
	}
}

static void on_drain(h2o_timeout_entry_t *entry)
{
}

/* h2o_evloop_run() frees closed sockets before it runs pending callbacks. If a
 * socket was used and closed outside of it, for example by a timer that cancels
 * a call, its callback would run after it was freed. h2o_timeout_run() runs the
 * pending callbacks first and skips closed sockets. */
void loop_run_h2o(struct loop *loop, int32_t msec)
{
	observers_run(loop);
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
	h2o_timeout_init(loop->h2o, &loop->deferred_timeout, 0);
	loop->deferred_entry.cb = on_deferred;
	h2o_timeout_init(loop->h2o, &loop->drain, 0);
	loop->drain_entry.cb = on_drain;
	loop->deferred.prev = &loop->deferred;
	loop->deferred.next = &loop->deferred;
	loop->observers.prev = &loop->observers;
	loop->observers.next = &loop->observers;
	loop->watches = g_array_new(FALSE, FALSE, sizeof(struct signal_watch));
	sigemptyset(&loop->mask);
	loop->signal_fd = -1;
	return loop;
}

/* From here on nothing handles the signals: one that arrived in the last
 * iteration, or still arrives, must not end the process. */
static void signals_ignore(const struct loop *loop)
{
	for (guint i = 0; i < loop->watches->len; i++)
		signal(g_array_index(loop->watches, struct signal_watch, i)
			       .signal,
		       SIG_IGN);
	sigprocmask(SIG_UNBLOCK, &loop->mask, NULL);
}

void loop_destroy(struct loop *loop)
{
	if (!loop)
		return;
	if (loop->signal_sock)
		h2o_socket_close(loop->signal_sock);
	signals_ignore(loop);
	/* Lets h2o free sockets that were just closed. */
	loop_run_h2o(loop, 0);
	h2o_timeout_unlink(&loop->deferred_entry);
	h2o_timeout_dispose(loop->h2o, &loop->deferred_timeout);
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
	/* Within h2o_evloop_run(), runs at the end of the same iteration. */
	if (!h2o_timeout_is_linked(&loop->deferred_entry))
		h2o_timeout_link(loop->h2o, &loop->deferred_timeout,
				 &loop->deferred_entry);
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

/* After a gap, input that arrived during it is handled before timers. With the
 * timers first, a process that was stopped for three seconds would time out
 * streams whose events are already in its sockets, and retry them elsewhere. */
static bool timers_are_deferred(struct loop *loop, int64_t gap)
{
	if (loop->resume_iterations > 0)
		return true;
	/* Timers are not deferred twice in a row, as slow iterations would
	 * defer them forever. */
	if (gap >= LOOP_GAP_USEC && loop->timers_fired) {
		loop->resume_iterations = RESUME_ITERATIONS;
		loop->timers_fired = false;
		return true;
	}
	loop->timers_fired = true;
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
	if (!timers_are_deferred(loop, gap))
		clock_fire_due(loop->clock);
}

static int32_t wait_msec(struct loop *loop)
{
	int64_t next = clock_next(loop->clock);
	int64_t usec;

	/* h2o would wait even if callbacks are pending for writes that were
	 * made outside of its loop. */
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

static void iteration_run(struct loop *loop)
{
	int32_t msec;

	if (loop->resume_iterations > 0)
		loop->resume_iterations--;
	/* The clock advances again even if a socket callback has already called
	 * loop_enter(): the callback may have taken long, and the hook may read
	 * what it set. */
	loop->entered = false;
	loop_enter(loop);
	deferred_run(loop);
	h2o_timeout_unlink(&loop->deferred_entry);
	msec = wait_msec(loop);
	loop->waited_usec = msec * USEC_PER_MSEC;
	loop->entered = false;
	loop_run_h2o(loop, msec);
}

void loop_run(struct loop *loop)
{
	loop->running = true;
	/* Time before the loop starts does not count as a gap. */
	clock_follow(loop->clock);
	while (loop->running)
		iteration_run(loop);
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

void loop_observe(struct loop *loop, struct loop_observer *node,
		  loop_deferred_fn fn, void *ctx)
{
	node->fn = fn;
	node->ctx = ctx;
	node->prev = loop->observers.prev;
	node->next = &loop->observers;
	node->prev->next = node;
	node->next->prev = node;
}

void loop_observe_end(struct loop_observer *node)
{
	if (!node->next)
		return;
	node->prev->next = node->next;
	node->next->prev = node->prev;
	node->next = NULL;
}

struct clock *loop_clock(struct loop *loop)
{
	return loop->clock;
}

h2o_loop_t *loop_h2o(struct loop *loop)
{
	return loop->h2o;
}
