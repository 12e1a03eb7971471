/*
 * node_dispatch.c - connects dispatchers of plain services with the gossip
 *
 * DESCRIPTION
 *	This instance keeps a queue for each service of which it is, or was
 *	lately, the dispatcher. Its own calls are passed on without datagrams;
 *	their answers are delivered in the next iteration of the event loop, so
 *	that a request never continues inside the end of another.
 */
#include "node.h"

#include "common/log.h"

/* Interval of dispatch_tick() while calls wait, short against a call, and while
 * grants are outstanding only. */
#define QUEUED_TICK_USEC (5 * USEC_PER_MSEC)
#define IDLE_TICK_USEC (50 * USEC_PER_MSEC)
/* Least time between reads of the list of servers. */
#define SERVERS_USEC (5 * USEC_PER_MSEC)
/* The end of a call is sent again after this time: a lost one would keep a slot
 * idle until the lease of its grant expires. */
#define REPEAT_USEC (10 * USEC_PER_MSEC)
/* Queues without calls for this long are dropped. */
#define UNUSED_USEC (10 * USEC_PER_SEC)

struct queue {
	struct node_dispatch *owner;
	uint64_t service;
	struct dispatch *dispatch;
	int64_t servers_at; /* last read of the servers */
	int64_t used_at;
	uint32_t usable;
};

struct repeat {
	uint64_t peer;
	int64_t due;
	struct call_done done;
};

struct node_dispatch {
	struct node *node;
	GHashTable *queues; /* service to struct queue */
	GArray *answers;    /* struct call_answer, to own calls */
	GArray *repeats;    /* struct repeat, in order of due time */
	struct timer answers_timer;
	struct timer repeat_timer;
	struct timer tick_timer;
	int64_t tick_due;
	struct counter *queued;
};

static int64_t now_of(const struct node_dispatch *state)
{
	return clock_now(state->node->clock);
}

/* An instance that has just started does not know the others yet. */
static bool may_dispatch(const struct node *node)
{
	return !node->draining &&
	       node->settings.plain_queue != PLAIN_QUEUE_OFF &&
	       clock_now(node->clock) >= NODE_DISCOVERY_USEC;
}

/* ---- queues ---- */

static void answer_fill(const struct queue *queue, uint64_t id,
			const struct dispatch_answer *from,
			struct call_answer *answer)
{
	static const enum call_result results[] = {
		[DISPATCH_GRANTED] = CALL_GRANTED,
		[DISPATCH_REFUSED] = CALL_REFUSED,
		[DISPATCH_WAITING] = CALL_QUEUED,
	};

	*answer = (struct call_answer){
		.id = id,
		.service = queue->service,
		.result = results[from->result],
		.server = from->server,
		.usec = from->usec,
	};
	if (from->result == DISPATCH_GRANTED)
		log_event(LOG_DEBUG, "call_dispatched", LOG_D("ask", id),
			  LOG_X("server", from->server),
			  LOG_D("outstanding", from->terms.outstanding),
			  LOG_D("others", from->terms.others),
			  LOG_D("slots", from->terms.slots),
			  LOG_F("mean_usec", from->terms.mean_usec),
			  LOG_F("pace", from->terms.pace),
			  LOG_F("wait_usec", from->terms.wait_usec),
			  LOG_F("run_usec", from->terms.run_usec),
			  LOG_D("queued_usec", from->usec));
}

static void answer_deliver(struct node_dispatch *state, uint64_t to,
			   const struct call_answer *answer)
{
	/* A peer that is gone needs no answer. */
	if (to != 0) {
		(void)gossip_call_answer(state->node->gossip, to, answer);
		return;
	}
	g_array_append_val(state->answers, *answer);
	if (!timer_running(&state->answers_timer))
		timer_start(&state->answers_timer, 0);
}

static void on_answered(void *ctx, const struct dispatch_call *call,
			const struct dispatch_answer *from)
{
	const struct queue *queue = ctx;
	struct call_answer answer;

	answer_fill(queue, call->id, from, &answer);
	answer_deliver(queue->owner, call->from, &answer);
}

static void on_returned(void *ctx, const struct dispatch_call *call)
{
	const struct queue *queue = ctx;
	const struct call_answer answer = {
		.id = call->id,
		.service = queue->service,
		.result = CALL_NOT_DISPATCHER,
	};

	answer_deliver(queue->owner, call->from, &answer);
}

static double on_random(void *ctx)
{
	const struct queue *queue = ctx;

	return g_rand_double(queue->owner->node->rand);
}

static void queue_destroy(gpointer data)
{
	struct queue *queue = data;

	dispatch_destroy(queue->dispatch);
	g_free(queue);
}

static struct queue *queue_get(struct node_dispatch *state, uint64_t service)
{
	static const struct dispatch_ops ops = {on_answered, on_returned,
						on_random};
	struct queue *queue = g_hash_table_lookup(state->queues, &service);

	if (queue)
		return queue;
	queue = g_new0(struct queue, 1);
	queue->owner = state;
	queue->service = service;
	queue->dispatch = dispatch_create(&ops, queue);
	queue->servers_at = now_of(state) - SERVERS_USEC;
	g_hash_table_insert(state->queues, &queue->service, queue);
	return queue;
}

static void servers_read(struct queue *queue)
{
	const struct node *node = queue->owner->node;
	const GPtrArray *list = fleet_service(node->fleet, queue->service);
	int64_t now = clock_now(node->clock);

	if (now - queue->servers_at < SERVERS_USEC)
		return;
	queue->servers_at = now;
	queue->usable = 0;
	for (guint i = 0; list && i < list->len; i++) {
		const struct backend *backend = list->pdata[i];
		bool usable = backend->info.stage == STAGE_NONE &&
			      backend_usable(backend, now);

		dispatch_set_server(queue->dispatch, backend->key,
				    backend->info.slots, usable);
		queue->usable += usable;
	}
	dispatch_sweep(queue->dispatch);
}

/* The next tick is after that time, or earlier if it was to be earlier. */
static void tick_start(struct node_dispatch *state, int64_t usec)
{
	int64_t due = now_of(state) + usec;

	if (timer_running(&state->tick_timer) && state->tick_due <= due)
		return;
	state->tick_due = due;
	timer_start(&state->tick_timer, usec);
}

/* Queues the call, unless this instance knows no server for it. */
static void call_take(struct node_dispatch *state,
		      const struct call_request *request,
		      const struct dispatch_call *call,
		      struct call_answer *answer)
{
	const GPtrArray *list =
		fleet_service(state->node->fleet, request->service);
	struct dispatch_answer from;
	struct queue *queue;

	*answer = (struct call_answer){
		.id = call->id,
		.service = request->service,
		.result = CALL_NOT_DISPATCHER,
	};
	if (!list || list->len == 0)
		return;
	queue = queue_get(state, request->service);
	servers_read(queue);
	if (queue->usable == 0)
		return;
	queue->used_at = now_of(state);
	(void)dispatch_request(queue->dispatch, now_of(state), call, &from);
	answer_fill(queue, call->id, &from, answer);
	tick_start(state, from.result == DISPATCH_WAITING ? QUEUED_TICK_USEC
							  : IDLE_TICK_USEC);
}

static void done_take(struct node_dispatch *state, uint64_t from,
		      const struct call_done *done)
{
	struct queue *queue =
		g_hash_table_lookup(state->queues, &done->service);
	struct dispatch_end end = done->end;

	if (!queue)
		return;
	end.from = from;
	servers_read(queue);
	dispatch_done(queue->dispatch, now_of(state), &end);
}

/* ---- timers ---- */

static void on_answers(struct timer *timer, void *ctx)
{
	struct node_dispatch *state = ctx;
	g_autoptr(GArray) answers = state->answers;

	state->answers = g_array_new(FALSE, FALSE, sizeof(struct call_answer));
	for (guint i = 0; i < answers->len; i++)
		forward_call_answered(
			state->node->forward, 0,
			&g_array_index(answers, struct call_answer, i));
}

static void on_repeat(struct timer *timer, void *ctx)
{
	struct node_dispatch *state = ctx;
	int64_t now = now_of(state);
	guint sent = 0;

	while (sent < state->repeats->len) {
		const struct repeat *repeat =
			&g_array_index(state->repeats, struct repeat, sent);

		if (repeat->due > now)
			break;
		(void)gossip_call_done(state->node->gossip, repeat->peer,
				       &repeat->done);
		sent++;
	}
	g_array_remove_range(state->repeats, 0, sent);
	if (state->repeats->len > 0)
		timer_start(
			timer,
			g_array_index(state->repeats, struct repeat, 0).due -
				now);
}

/* Serves one queue; true while it needs further ticks. */
static bool queue_tick(struct queue *queue, bool draining)
{
	if (draining)
		dispatch_flush(queue->dispatch);
	servers_read(queue);
	dispatch_tick(queue->dispatch, now_of(queue->owner));
	return dispatch_queued(queue->dispatch) > 0 ||
	       dispatch_outstanding(queue->dispatch) > 0;
}

static void on_tick(struct timer *timer, void *ctx)
{
	struct node_dispatch *state = ctx;
	int64_t now = now_of(state);
	int64_t queued = 0;
	struct queue *queue;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, state->queues);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&queue)) {
		bool active = queue_tick(queue, state->node->draining);

		queued += dispatch_queued(queue->dispatch);
		if (!active && now - queue->used_at > UNUSED_USEC)
			g_hash_table_iter_remove(&iter);
	}
	state->queued->value = queued;
	if (g_hash_table_size(state->queues) > 0)
		tick_start(state,
			   queued > 0 ? QUEUED_TICK_USEC : IDLE_TICK_USEC);
}

void node_dispatch_open(struct node *node)
{
	struct node_dispatch *state = g_new0(struct node_dispatch, 1);

	state->node = node;
	state->queues = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      queue_destroy);
	state->answers = g_array_new(FALSE, FALSE, sizeof(struct call_answer));
	state->repeats = g_array_new(FALSE, FALSE, sizeof(struct repeat));
	timer_init(&state->answers_timer, node->clock, on_answers, state);
	timer_init(&state->repeat_timer, node->clock, on_repeat, state);
	timer_init(&state->tick_timer, node->clock, on_tick, state);
	state->queued =
		gauge_get(node->counters, "jt_plain_queue",
			  "Plain calls that wait here for a server", NULL);
	node->dispatch = state;
}

void node_dispatch_close(struct node *node)
{
	struct node_dispatch *state = node->dispatch;

	if (!state)
		return;
	timer_stop(&state->answers_timer);
	timer_stop(&state->repeat_timer);
	timer_stop(&state->tick_timer);
	g_hash_table_destroy(state->queues);
	g_array_unref(state->answers);
	g_array_unref(state->repeats);
	g_free(state);
	node->dispatch = NULL;
}

/* ---- this instance's calls ---- */

bool node_call_request(void *ctx, const struct call_request *request,
		       uint64_t *dispatcher)
{
	struct node *node = ctx;
	struct call_answer answer;

	*dispatcher = gossip_dispatcher(node->gossip, request->service,
					may_dispatch(node));
	if (*dispatcher != 0)
		return gossip_call_request(node->gossip, *dispatcher, request);
	if (!may_dispatch(node))
		return false;
	call_take(node->dispatch, request, &request->call, &answer);
	answer_deliver(node->dispatch, 0, &answer);
	return true;
}

void node_call_done(void *ctx, uint64_t dispatcher,
		    const struct call_done *done)
{
	struct node *node = ctx;
	struct node_dispatch *state = node->dispatch;
	const struct repeat repeat = {
		.peer = dispatcher,
		.due = now_of(state) + REPEAT_USEC,
		.done = *done,
	};

	if (dispatcher == 0) {
		done_take(state, 0, done);
		return;
	}
	(void)gossip_call_done(node->gossip, dispatcher, done);
	g_array_append_val(state->repeats, repeat);
	if (!timer_running(&state->repeat_timer))
		timer_start(&state->repeat_timer, REPEAT_USEC);
}

/* ---- messages of peers ---- */

void node_call_requested(void *ctx, uint64_t from,
			 const struct call_request *request,
			 struct call_answer *answer)
{
	struct node *node = ctx;
	struct dispatch_call call = request->call;

	if (!may_dispatch(node) ||
	    gossip_dispatcher(node->gossip, request->service, true) != 0)
		return;
	call.from = from;
	call_take(node->dispatch, request, &call, answer);
}

void node_call_answered(void *ctx, uint64_t from,
			const struct call_answer *answer)
{
	const struct node *node = ctx;

	forward_call_answered(node->forward, from, answer);
}

void node_call_ended(void *ctx, uint64_t from, const struct call_done *done)
{
	const struct node *node = ctx;

	done_take(node->dispatch, from, done);
}
