/*
 * node_drain.c - graceful shutdown
 */
#include "node.h"

#include "common/log.h"

/* How long new connections are accepted: the balancer checks once a second and
 * removes an instance after two failed checks. */
#define ACCEPT_USEC (2800 * USEC_PER_MSEC)
/* Time before the end of the grace period at which the process ends. */
#define STOP_MARGIN_SEC 0.6
#define CHECK_INTERVAL_USEC (100 * USEC_PER_MSEC)
/* Time for the last answers to leave the sockets. */
#define LINGER_USEC (100 * USEC_PER_MSEC)

/* When requests that are still in progress are ended. */
static int64_t requests_end_at(const struct node *node)
{
	double sec = node->settings.grace_sec - STOP_MARGIN_SEC;

	return node->drain_started_at + (int64_t)(sec * (double)USEC_PER_SEC) -
	       LINGER_USEC;
}

static uint32_t pending_count(const struct node *node)
{
	return forward_pending(node->forward) +
	       web_server_pending(node->callers) +
	       relay_server_count(node->relay_server);
}

static void drain_finish(struct node *node, uint32_t pending)
{
	log_event(LOG_NOTICE, "drained", LOG_D("pending", pending),
		  LOG_D("after_ms",
			(clock_now(node->clock) - node->drain_started_at) /
				USEC_PER_MSEC));
	loop_stop(node->loop);
}

static void on_linger(struct timer *timer, void *ctx)
{
	struct node *node = ctx;

	drain_finish(node, node->drain_pending);
}

static void on_check(struct timer *timer, void *ctx)
{
	struct node *node = ctx;
	int64_t now = clock_now(node->clock);
	int64_t end_at = requests_end_at(node);
	int64_t close_at = MIN(node->drain_started_at + ACCEPT_USEC, end_at);

	if (now >= close_at) {
		forward_drain(node->forward, end_at);
		web_server_drain(node->callers);
	}
	if (now >= end_at) {
		node->drain_pending = pending_count(node);
		forward_stop(node->forward);
		timer_init(timer, node->clock, on_linger, node);
		timer_start(timer, LINGER_USEC);
		return;
	}
	if (now >= close_at + LINGER_USEC && pending_count(node) == 0) {
		drain_finish(node, 0);
		return;
	}
	timer_start(timer, CHECK_INTERVAL_USEC);
}

void node_drain(struct node *node)
{
	if (node->draining)
		return;
	node->draining = true;
	node->drain_started_at = clock_now(node->clock);
	log_event(LOG_NOTICE, "draining",
		  LOG_D("pending", forward_pending(node->forward)));
	web_server_announce_shutdown(node->callers);
	relay_server_drain(node->relay_server);
	node_unregister(node);
	timer_init(&node->drain_timer, node->clock, on_check, node);
	timer_start(&node->drain_timer, CHECK_INTERVAL_USEC);
}

void node_drain_stop(struct node *node)
{
	if (node->draining)
		timer_stop(&node->drain_timer);
}
