/*
 * dispatch_model_servers.c - servers, datagrams, and calls without a dispatcher
 */
#include "dispatch_model_private.h"

int64_t model_now(const struct model *model)
{
	return clock_now(model->clock);
}

static void on_event(struct timer *timer, void *ctx)
{
	struct event *event = ctx;

	event->fn(event);
}

struct event *model_event(struct model *model, int64_t delay,
			  void (*fn)(struct event *event), struct call *call,
			  uint32_t index)
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

bool model_loses(struct model *model, uint32_t dispatcher, uint32_t instance)
{
	int64_t now = model_now(model);

	if (model->dispatchers[dispatcher].instance == instance)
		return false;
	if (dispatcher == 0 && now >= model->cut_from && now < model->cut_until)
		return true;
	return model->setup->fault == FAULT_LOST &&
	       g_rand_double(model->rand) < LOST_PART;
}

int64_t model_way(const struct model *model, uint32_t dispatcher,
		  uint32_t instance)
{
	return model->dispatchers[dispatcher].instance == instance
		       ? 0
		       : ONE_WAY_USEC;
}

/* A frozen process handles what it received when it continues. */
bool model_postpone(struct event *event)
{
	struct dispatcher *dispatcher =
		&event->model->dispatchers[event->index];
	int64_t now = model_now(event->model);

	if (now >= dispatcher->frozen_until)
		return false;
	timer_start(&event->timer, dispatcher->frozen_until - now);
	return true;
}

static void done_arrives(struct event *event)
{
	struct dispatcher *dispatcher =
		&event->model->dispatchers[event->index];

	if (dispatcher->dead || model_postpone(event))
		return;
	dispatch_done(dispatcher->dispatch, model_now(event->model),
		      &event->end);
}

static void done_add(struct model *model, const struct call *call,
		     int64_t delay, const struct dispatch_end *end)
{
	struct event *event;

	if (model_loses(model, call->dispatcher, call->instance) ||
	    (model->setup->fault == FAULT_DONE_LOST &&
	     g_rand_double(model->rand) < DONE_LOST_PART))
		return;
	event = model_event(
		model,
		delay + model_way(model, call->dispatcher, call->instance),
		done_arrives, NULL, call->dispatcher);
	event->end = *end;
}

/* Sent twice, since a lost one keeps a slot idle for the lease of its grant. */
void model_done(struct model *model, const struct call *call, int64_t usec,
		const struct server_load *load, bool refused)
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

void model_end(struct model *model, struct call *call)
{
	call->ended = true;
	timer_stop(&call->patience);
}

static void answer_arrives(struct event *event)
{
	struct model *model = event->model;
	struct call *call = event->call;
	int64_t now = model_now(model);

	if (model->instances[call->instance].dead)
		return;
	model->instances[call->instance].own[call->server]--;
	if (call->granted)
		model_done(model, call, now - call->sent_at, &event->load,
			   event->refused);
	call->granted = false;
	if (event->refused) {
		model->result->sends_refused++;
		model_direct(model, call);
		return;
	}
	model_end(model, call);
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
		model_event(model, ONE_WAY_USEC, answer_arrives, call, 0);

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
	(void)model_event(model, (int64_t)(work * server->pace), run_ends, call,
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

void model_send(struct model *model, struct call *call, uint32_t server)
{
	call->server = server;
	call->tried |= 1u << server;
	call->sent_at = model_now(model);
	model->instances[call->instance].own[server]++;
	model->result->sends++;
	(void)model_event(model, ONE_WAY_USEC, call_reaches_server, call, 0);
}

/* ---- without a dispatcher ---- */

/* Own calls, and those that the others announced a second or more ago. */
static double load_seen(const struct model *model, uint32_t instance,
			uint32_t server)
{
	double sum = model->instances[instance].own[server];

	for (uint32_t i = 0; i < INSTANCES; i++)
		if (i != instance && !model->instances[i].dead)
			sum += model->setup->view == VIEW_AT_ONCE
				       ? model->instances[i].own[server]
				       : model->instances[i].told[server];
	return sum;
}

void model_direct(struct model *model, struct call *call)
{
	double least = G_MAXDOUBLE;
	uint32_t best = SERVERS;
	uint32_t skipped = SERVERS;

	/* Two of three at random are all but one. */
	if (model->setup->view == VIEW_TWO && call->tried == 0)
		skipped = (uint32_t)g_rand_int_range(model->rand, 0, SERVERS);

	for (uint32_t i = 0; i < SERVERS; i++) {
		double load = load_seen(model, call->instance, i) / SLOTS +
			      g_rand_double_range(model->rand, 0.0, 0.02);

		if (i == skipped || model->servers[i].withdrawn ||
		    call->tried & 1u << i || load >= least)
			continue;
		least = load;
		best = i;
	}
	if (best < SERVERS && least <= 5.1) {
		model_send(model, call, best);
		return;
	}
	model->result->refused++;
	model_end(model, call);
}
