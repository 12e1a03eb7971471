#include "dispatch_model.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "sched/dispatch.h"
#include "sched/patience.h"

#define INSTANCES 60
#define SERVERS 3
#define SLOTS 6u
#define QUEUE 24u
#define WORK_USEC 30000.0
#define SLOW_PACE 2.5
#define SLOW_PART 0.15
#define SLOW_USEC 600000.0
#define ONE_WAY_USEC 1400
#define LIMIT_USEC 1500000
#define DISPATCHERS 2
#define TICK_USEC 5000
/* Time until other instances notice that one is gone. */
#define STALE_USEC 2500000
#define FROZEN_USEC 2000000
#define CUT_OFF_USEC 3000000
#define DRAINING_USEC 300000
#define DONE_LOST_PART 0.2
#define LOST_PART 0.1
#define REPEAT_USEC 10000

struct call {
	uint64_t id;
	uint32_t instance;
	uint32_t dispatcher; /* that was asked */
	int64_t arrived;
	int64_t target_usec;
	int64_t asked_at;
	int64_t sent_at;
	bool waiting; /* for an answer of the dispatcher */
	bool granted;
	bool ended;
	uint32_t asks;
	uint32_t server;
	uint32_t tried; /* bit per server */
	uint32_t runs;
	struct timer patience;
};

struct server {
	uint32_t running;
	GQueue queue; /* struct call */
	double pace;
	bool withdrawn;
};

struct instance {
	uint32_t own[SERVERS];
	uint32_t told[SERVERS]; /* as announced last */
	struct patience patience;
	bool dead;
};

struct dispatcher {
	struct dispatch *dispatch;
	uint32_t instance;
	bool dead;
	bool draining;
	int64_t frozen_until;
};

struct model {
	const struct model_setup *setup;
	struct model_result *result;
	struct clock *clock;
	GRand *rand;
	GRand *arrivals; /* and paces: the same in runs that are compared */
	struct server servers[SERVERS];
	struct instance instances[INSTANCES];
	struct dispatcher dispatchers[DISPATCHERS];
	uint32_t current; /* dispatcher of all instances */
	int64_t cut_from;
	int64_t cut_until;
	GPtrArray *calls;
	GPtrArray *events;
};

/* A message, or anything else that happens later. */
struct event {
	struct timer timer;
	struct model *model;
	struct call *call;
	void (*fn)(struct event *event);
	uint32_t index;
	struct dispatch_answer answer;
	struct dispatch_end end;
	struct server_load load;
	bool refused;
	bool returned;
};

static void call_start(struct model *model, struct call *call);
static void call_direct(struct model *model, struct call *call);

static int64_t now_of(const struct model *model)
{
	return clock_now(model->clock);
}

static void on_event(struct timer *timer, void *ctx)
{
	struct event *event = ctx;

	event->fn(event);
}

static struct event *event_add(struct model *model, int64_t delay,
			       void (*fn)(struct event *event),
			       struct call *call, uint32_t index)
{
	struct event *event = g_new0(struct event, 1);

	event->model = model;
	event->fn = fn;
	event->call = call;
	event->index = index;
	timer_init(&event->timer, model->clock, on_event, event);
	timer_start(&event->timer, delay);
	g_ptr_array_add(model->events, event);
	return event;
}

/* ---- datagrams ---- */

static bool is_lost(struct model *model, uint32_t dispatcher, uint32_t instance)
{
	int64_t now = now_of(model);

	if (model->dispatchers[dispatcher].instance == instance)
		return false;
	if (dispatcher == 0 && now >= model->cut_from && now < model->cut_until)
		return true;
	return model->setup->fault == FAULT_LOST &&
	       g_rand_double(model->rand) < LOST_PART;
}

static int64_t way(const struct model *model, uint32_t dispatcher,
		   uint32_t instance)
{
	return model->dispatchers[dispatcher].instance == instance
		       ? 0
		       : ONE_WAY_USEC;
}

/* A frozen process handles what it received when it continues. */
static bool postpone(struct event *event)
{
	struct dispatcher *dispatcher =
		&event->model->dispatchers[event->index];
	int64_t now = now_of(event->model);

	if (now >= dispatcher->frozen_until)
		return false;
	timer_start(&event->timer, dispatcher->frozen_until - now);
	return true;
}

static void done_arrives(struct event *event)
{
	struct dispatcher *dispatcher =
		&event->model->dispatchers[event->index];

	if (dispatcher->dead || postpone(event))
		return;
	dispatch_done(dispatcher->dispatch, now_of(event->model), &event->end);
}

static void done_add(struct model *model, const struct call *call,
		     int64_t delay, const struct dispatch_end *end)
{
	struct event *event;

	if (is_lost(model, call->dispatcher, call->instance) ||
	    (model->setup->fault == FAULT_DONE_LOST &&
	     g_rand_double(model->rand) < DONE_LOST_PART))
		return;
	event = event_add(model,
			  delay + way(model, call->dispatcher, call->instance),
			  done_arrives, NULL, call->dispatcher);
	event->end = *end;
}

/* Sent twice, since a lost one keeps a slot idle for the lease of its grant. */
static void done_send(struct model *model, const struct call *call,
		      int64_t usec, const struct server_load *load,
		      bool refused)
{
	struct dispatch_end end = {
		.from = call->instance,
		.id = call->id,
		.usec = usec,
		.refused = refused,
	};

	if (load)
		end.load = *load;
	done_add(model, call, 0, &end);
	done_add(model, call, REPEAT_USEC, &end);
}

/* ---- servers ---- */

static void call_end(struct model *model, struct call *call)
{
	call->ended = true;
	timer_stop(&call->patience);
}

static void answer_arrives(struct event *event)
{
	struct model *model = event->model;
	struct call *call = event->call;
	int64_t now = now_of(model);

	if (model->instances[call->instance].dead)
		return;
	model->instances[call->instance].own[call->server]--;
	if (call->granted)
		done_send(model, call, now - call->sent_at, &event->load,
			  event->refused);
	call->granted = false;
	if (event->refused) {
		model->result->sends_refused++;
		call_direct(model, call);
		return;
	}
	call_end(model, call);
	if (now - call->arrived > LIMIT_USEC)
		model->result->gone++;
	else if (now - call->arrived > call->target_usec)
		model->result->late++;
	else
		model->result->in_time++;
}

static void answer_send(struct model *model, struct call *call, bool refused)
{
	const struct server *server = &model->servers[call->server];
	struct event *event =
		event_add(model, ONE_WAY_USEC, answer_arrives, call, 0);

	event->refused = refused;
	event->load = (struct server_load){
		.known = true,
		.running = server->running,
		.waiting = server->queue.length,
		.slots = SLOTS,
		.pace = server->pace,
	};
}

static void run_ends(struct event *event);

static void run_start(struct model *model, struct call *call)
{
	struct server *server = &model->servers[call->server];
	double work = WORK_USEC * g_rand_double_range(model->rand, 0.8, 1.2);

	server->running++;
	call->runs++;
	model->result->runs_max = MAX(model->result->runs_max, call->runs);
	(void)event_add(model, (int64_t)(work * server->pace), run_ends, call,
			call->server);
}

static void run_ends(struct event *event)
{
	struct model *model = event->model;
	struct server *server = &model->servers[event->index];

	answer_send(model, event->call, false);
	server->running--;
	if (server->queue.length > 0)
		run_start(model, g_queue_pop_head(&server->queue));
}

static void call_reaches_server(struct event *event)
{
	struct model *model = event->model;
	struct server *server = &model->servers[event->call->server];

	if (server->running < SLOTS)
		run_start(model, event->call);
	else if (server->queue.length < QUEUE)
		g_queue_push_tail(&server->queue, event->call);
	else
		answer_send(model, event->call, true);
}

static void call_send(struct model *model, struct call *call, uint32_t server)
{
	call->server = server;
	call->tried |= 1u << server;
	call->sent_at = now_of(model);
	model->instances[call->instance].own[server]++;
	model->result->sends++;
	(void)event_add(model, ONE_WAY_USEC, call_reaches_server, call, 0);
}

/* ---- without a dispatcher ---- */

/* Own calls, and those that the others announced a second or more ago. */
static double load_seen(const struct model *model, uint32_t instance,
			uint32_t server)
{
	double sum = model->instances[instance].own[server];

	for (uint32_t i = 0; i < INSTANCES; i++)
		if (i != instance && !model->instances[i].dead)
			sum += model->instances[i].told[server];
	return sum;
}

static void call_direct(struct model *model, struct call *call)
{
	double least = G_MAXDOUBLE;
	uint32_t best = SERVERS;

	for (uint32_t i = 0; i < SERVERS; i++) {
		double load = load_seen(model, call->instance, i) / SLOTS +
			      g_rand_double_range(model->rand, 0.0, 0.02);

		if (model->servers[i].withdrawn || call->tried & 1u << i ||
		    load >= least)
			continue;
		least = load;
		best = i;
	}
	if (best < SERVERS && least <= 5.1) {
		call_send(model, call, best);
		return;
	}
	model->result->refused++;
	call_end(model, call);
}

/* ---- with a dispatcher ---- */

static void on_silent(struct timer *timer, void *ctx)
{
	struct event *event = ctx;
	struct model *model = event->model;
	struct call *call = event->call;

	call->waiting = false;
	patience_silent(&model->instances[call->instance].patience,
			now_of(model));
	done_send(model, call, 0, NULL, false);
	call_direct(model, call);
}

static void grant_use(struct model *model, struct call *call, uint32_t server)
{
	call->granted = true;
	if (!model->servers[server].withdrawn) {
		call_send(model, call, server);
		return;
	}
	done_send(model, call, 0, NULL, false);
	call->granted = false;
	call->tried |= 1u << server;
	call_start(model, call);
}

static void answer_of_dispatcher(struct event *event)
{
	struct model *model = event->model;
	struct call *call = event->call;
	struct instance *instance = &model->instances[call->instance];
	const struct dispatch_answer *answer = &event->answer;

	if (instance->dead)
		return;
	if (!call->waiting || event->end.id != call->id) {
		/* Too late: the call was placed elsewhere. */
		struct call old = *call;

		old.id = event->end.id;
		old.dispatcher = event->index;
		if (answer->result == DISPATCH_GRANTED && !event->returned)
			done_send(model, &old, 0, NULL, false);
		return;
	}
	if (answer->result == DISPATCH_WAITING && !event->returned) {
		patience_answered(&instance->patience, -1);
		timer_start(&call->patience,
			    patience_longest(call->target_usec) -
				    (now_of(model) - call->asked_at));
		return;
	}
	call->waiting = false;
	timer_stop(&call->patience);
	patience_answered(&instance->patience, answer->usec);
	if (event->returned) {
		call_direct(model, call);
	} else if (answer->result == DISPATCH_GRANTED) {
		grant_use(model, call, (uint32_t)answer->server - 1);
	} else {
		model->result->refused++;
		call_end(model, call);
	}
}

static void answer_from(struct model *model, uint32_t dispatcher, uint64_t id,
			const struct dispatch_answer *answer, bool returned)
{
	struct call *call = model->calls->pdata[id >> 1];
	struct event *event;

	if (is_lost(model, dispatcher, call->instance))
		return;
	event = event_add(model, way(model, dispatcher, call->instance),
			  answer_of_dispatcher, call, dispatcher);
	if (answer)
		event->answer = *answer;
	event->end.id = id;
	event->returned = returned;
}

/* The context of a dispatcher's callbacks. */
struct seat {
	struct model *model;
	uint32_t index;
};

static void on_answered(void *ctx, const struct dispatch_call *call,
			const struct dispatch_answer *answer)
{
	const struct seat *seat = ctx;

	answer_from(seat->model, seat->index, call->id, answer, false);
}

static void on_returned(void *ctx, const struct dispatch_call *call)
{
	const struct seat *seat = ctx;

	answer_from(seat->model, seat->index, call->id, NULL, true);
}

static double on_random(void *ctx)
{
	const struct seat *seat = ctx;

	return g_rand_double(seat->model->rand);
}

static void servers_set(struct model *model, struct dispatch *dispatch)
{
	for (uint32_t i = 0; i < SERVERS; i++)
		if (!model->servers[i].withdrawn)
			dispatch_set_server(dispatch, i + 1, SLOTS, true);
	dispatch_sweep(dispatch);
}

static void request_arrives(struct event *event)
{
	struct model *model = event->model;
	struct dispatcher *dispatcher = &model->dispatchers[event->index];
	const struct call *call = event->call;
	int64_t now = now_of(model);
	struct dispatch_answer answer;
	struct dispatch_call request = {
		.from = call->instance,
		.id = event->end.id,
		.target_usec = call->target_usec - (now - call->arrived),
		.limit_usec = LIMIT_USEC - (now - call->arrived),
	};

	if (dispatcher->dead || postpone(event))
		return;
	if (dispatcher->draining) {
		answer_from(model, event->index, request.id, NULL, true);
		return;
	}
	for (uint32_t i = 0; i < SERVERS; i++)
		if (call->tried & 1u << i)
			request.avoid[request.avoid_count++] = i + 1;
	servers_set(model, dispatcher->dispatch);
	(void)dispatch_request(dispatcher->dispatch, now, &request, &answer);
	answer_from(model, event->index, request.id, &answer, false);
}

static uint32_t dispatcher_of(const struct model *model, uint32_t instance)
{
	return model->setup->fault == FAULT_TWO ? instance % 2 : model->current;
}

static void call_start(struct model *model, struct call *call)
{
	struct instance *instance = &model->instances[call->instance];
	int64_t left = call->target_usec - (now_of(model) - call->arrived);
	struct event *event;

	if (!model->setup->dispatched || call->asks >= 2 ||
	    !patience_may_ask(&instance->patience, now_of(model))) {
		call_direct(model, call);
		return;
	}
	call->id = call->id + call->asks;
	call->asks++;
	call->waiting = true;
	call->asked_at = now_of(model);
	call->dispatcher = dispatcher_of(model, call->instance);
	timer_start(&call->patience, patience_first(&instance->patience, left));
	if (is_lost(model, call->dispatcher, call->instance))
		return;
	event = event_add(model, way(model, call->dispatcher, call->instance),
			  request_arrives, call, call->dispatcher);
	event->end.id = call->id;
}

/* ---- the run ---- */

static double exponential(struct model *model, double mean);

static void call_arrives(struct event *event)
{
	struct model *model = event->model;
	double pace = 1.0 + SLOW_PART * (SLOW_PACE - 1.0);
	double per_usec = SERVERS * SLOTS / (WORK_USEC * pace);
	struct call *call = g_new0(struct call, 1);
	struct event *context;

	if (now_of(model) >= model->setup->usec)
		return;
	(void)event_add(model,
			(int64_t)exponential(
				model, 1.0 / (per_usec * model->setup->demand)),
			call_arrives, NULL, 0);
	call->id = (uint64_t)model->calls->len << 1;
	call->instance =
		(uint32_t)g_rand_int_range(model->arrivals, 0, INSTANCES);
	call->arrived = now_of(model);
	call->target_usec = g_rand_boolean(model->arrivals) ? 150000 : 200000;
	g_ptr_array_add(model->calls, call);
	context = g_new0(struct event, 1);
	context->model = model;
	context->call = call;
	g_ptr_array_add(model->events, context);
	timer_init(&call->patience, model->clock, on_silent, context);
	if (model->instances[call->instance].dead)
		call->ended = true;
	else
		model->result->calls++;
	if (!call->ended)
		call_start(model, call);
}

static void pace_changes(struct event *event)
{
	struct model *model = event->model;
	struct server *server = &model->servers[event->index];
	bool slows = server->pace <= 1.0;
	double usual = SLOW_USEC * (1.0 - SLOW_PART) / SLOW_PART;

	server->pace = slows ? SLOW_PACE : 1.0;
	timer_start(&event->timer, slows ? (int64_t)SLOW_USEC
					 : (int64_t)exponential(model, usual));
}

static void told_update(struct event *event)
{
	struct instance *instance = &event->model->instances[event->index];

	memcpy(instance->told, instance->own, sizeof(instance->told));
	timer_start(&event->timer,
		    g_rand_int_range(event->model->rand, 1000000, 1500000));
}

static void ticks(struct event *event)
{
	struct model *model = event->model;
	struct dispatcher *dispatcher = &model->dispatchers[event->index];

	timer_start(&event->timer, TICK_USEC);
	if (dispatcher->dead || now_of(model) < dispatcher->frozen_until)
		return;
	servers_set(model, dispatcher->dispatch);
	dispatch_tick(dispatcher->dispatch, now_of(model));
}

static void successor_takes_over(struct event *event)
{
	event->model->current = 1;
}

static void fault_begins(struct event *event)
{
	struct model *model = event->model;
	struct dispatcher *first = &model->dispatchers[0];
	int64_t now = now_of(model);

	switch (model->setup->fault) {
	case FAULT_KILLED:
		first->dead = true;
		(void)event_add(model, STALE_USEC, successor_takes_over, NULL,
				0);
		break;
	case FAULT_FROZEN:
		first->frozen_until = now + FROZEN_USEC;
		break;
	case FAULT_CUT_OFF:
		model->cut_from = now;
		model->cut_until = now + CUT_OFF_USEC;
		break;
	case FAULT_WITHDRAWN:
		model->servers[2].withdrawn = true;
		break;
	case FAULT_DRAINING:
		first->draining = true;
		dispatch_flush(first->dispatch);
		(void)event_add(model, DRAINING_USEC, successor_takes_over,
				NULL, 0);
		break;
	case FAULT_CALLERS_KILLED:
		for (uint32_t i = 10; i < 20; i++)
			model->instances[i].dead = true;
		break;
	default:
		break;
	}
}

static double exponential(struct model *model, double mean)
{
	return -mean * log(1.0 - g_rand_double(model->arrivals));
}

static void model_open(struct model *model, struct seat *seats)
{
	static const struct dispatch_ops ops = {on_answered, on_returned,
						on_random};

	model->clock = clock_create(0);
	model->rand = g_rand_new_with_seed(model->setup->seed);
	model->arrivals = g_rand_new_with_seed(model->setup->seed + 1000);
	model->calls = g_ptr_array_new_with_free_func(g_free);
	model->events = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < DISPATCHERS; i++) {
		seats[i] = (struct seat){model, i};
		model->dispatchers[i].instance = i;
		model->dispatchers[i].dispatch =
			dispatch_create(&ops, &seats[i]);
		(void)event_add(model, TICK_USEC, ticks, NULL, i);
	}
	for (uint32_t i = 0; i < SERVERS; i++) {
		model->servers[i].pace = 1.0;
		(void)event_add(model, (int64_t)exponential(model, 3400000.0),
				pace_changes, NULL, i);
	}
	for (uint32_t i = 0; i < INSTANCES; i++)
		(void)event_add(model,
				g_rand_int_range(model->rand, 0, 1000000),
				told_update, NULL, i);
	(void)event_add(model, 0, call_arrives, NULL, 0);
	(void)event_add(model, model->setup->usec / 3, fault_begins, NULL, 0);
}

static void model_close(struct model *model)
{
	for (guint i = 0; i < model->calls->len; i++) {
		const struct call *call = model->calls->pdata[i];

		model->result->gone += !call->ended;
	}
	for (uint32_t i = 0; i < DISPATCHERS; i++) {
		if (!model->dispatchers[i].dead)
			model->result->leftover += dispatch_outstanding(
				model->dispatchers[i].dispatch);
		dispatch_destroy(model->dispatchers[i].dispatch);
	}
	for (uint32_t i = 0; i < SERVERS; i++)
		g_queue_clear(&model->servers[i].queue);
	g_ptr_array_unref(model->calls);
	g_ptr_array_unref(model->events);
	g_rand_free(model->rand);
	g_rand_free(model->arrivals);
	clock_destroy(model->clock);
}

void model_run(const struct model_setup *setup, struct model_result *result)
{
	struct model *model = g_new0(struct model, 1);
	struct seat seats[DISPATCHERS];

	*result = (struct model_result){0};
	model->setup = setup;
	model->result = result;
	model_open(model, seats);
	clock_advance(model->clock, setup->usec + LIMIT_USEC);
	model_close(model);
	g_free(model);
}
