#include <math.h>
#include <string.h>

#include "dispatch_model_private.h"

static double exponential(struct model *model, double mean);

static void call_arrives(struct event *event)
{
	struct model *model = event->model;
	double pace = 1.0 + SLOW_PART * (SLOW_PACE - 1.0);
	double per_usec = SERVERS * SLOTS / (WORK_USEC * pace);
	struct event *context;
	struct call *call;

	if (model_now(model) >= model->setup->usec)
		return;
	call = g_new0(struct call, 1);
	(void)model_event(
		model,
		(int64_t)exponential(model,
				     1.0 / (per_usec * model->setup->demand)),
		call_arrives, NULL, 0);
	call->id = (uint64_t)model->calls->len << 1;
	call->instance =
		(uint32_t)g_rand_int_range(model->arrivals, 0, INSTANCES);
	call->arrived = model_now(model);
	call->target_usec = g_rand_boolean(model->arrivals) ? 150000 : 200000;
	g_ptr_array_add(model->calls, call);
	context = g_new0(struct event, 1);
	context->model = model;
	context->call = call;
	g_ptr_array_add(model->events, context);
	timer_init(&call->patience, model->clock, model_silent, context);
	if (model->instances[call->instance].dead)
		call->ended = true;
	else
		model->result->calls++;
	if (!call->ended)
		model_start(model, call);
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
	if (dispatcher->dead || model_now(model) < dispatcher->frozen_until)
		return;
	model_servers(model, dispatcher->dispatch);
	dispatch_tick(dispatcher->dispatch, model_now(model));
}

static void successor_takes_over(struct event *event)
{
	event->model->current = 1;
}

static void fault_begins(struct event *event)
{
	struct model *model = event->model;
	struct dispatcher *first = &model->dispatchers[0];
	int64_t now = model_now(model);

	switch (model->setup->fault) {
	case FAULT_KILLED:
		first->dead = true;
		(void)model_event(model, STALE_USEC, successor_takes_over, NULL,
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
		(void)model_event(model, DRAINING_USEC, successor_takes_over,
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
	model->clock = clock_create(0);
	model->rand = g_rand_new_with_seed(model->setup->seed);
	model->arrivals = g_rand_new_with_seed(model->setup->seed + 1000);
	model->calls = g_ptr_array_new_with_free_func(g_free);
	model->events = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < DISPATCHERS; i++) {
		seats[i] = (struct seat){model, i};
		model->dispatchers[i].instance = i;
		model->dispatchers[i].dispatch =
			dispatch_create(&model_ops, &seats[i]);
		(void)model_event(model, TICK_USEC, ticks, NULL, i);
	}
	for (uint32_t i = 0; i < SERVERS; i++) {
		model->servers[i].pace = 1.0;
		(void)model_event(model, (int64_t)exponential(model, 3400000.0),
				  pace_changes, NULL, i);
	}
	for (uint32_t i = 0; i < INSTANCES; i++)
		(void)model_event(model,
				  g_rand_int_range(model->rand, 0, 1000000),
				  told_update, NULL, i);
	(void)model_event(model, 0, call_arrives, NULL, 0);
	(void)model_event(model, model->setup->usec / 3, fault_begins, NULL, 0);
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
	/* Resets the timers of the events, so it comes before them. */
	clock_destroy(model->clock);
	g_ptr_array_unref(model->calls);
	g_ptr_array_unref(model->events);
	g_rand_free(model->rand);
	g_rand_free(model->arrivals);
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
