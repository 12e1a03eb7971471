/*
 * dispatch_model_calls.c - calls that ask a dispatcher, and the dispatchers
 */
#include "dispatch_model_private.h"

void model_silent(struct timer *timer, void *ctx)
{
	struct event *event = ctx;
	struct model *model = event->model;
	struct call *call = event->call;

	call->waiting = false;
	patience_silent(&model->instances[call->instance].patience,
			model_now(model));
	model_done(model, call, 0, NULL, false);
	model_direct(model, call);
}

static void grant_use(struct model *model, struct call *call, uint32_t server)
{
	call->granted = true;
	if (!model->servers[server].withdrawn) {
		model_send(model, call, server);
		return;
	}
	model_done(model, call, 0, NULL, false);
	call->granted = false;
	call->tried |= 1u << server;
	model_start(model, call);
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
			model_done(model, &old, 0, NULL, false);
		return;
	}
	if (answer->result == DISPATCH_WAITING && !event->returned) {
		patience_answered(&instance->patience, -1);
		timer_start(&call->patience,
			    patience_longest(call->target_usec) -
				    (model_now(model) - call->asked_at));
		return;
	}
	call->waiting = false;
	timer_stop(&call->patience);
	patience_answered(&instance->patience, answer->usec);
	if (event->returned) {
		model_direct(model, call);
	} else if (answer->result == DISPATCH_GRANTED) {
		grant_use(model, call, (uint32_t)answer->server - 1);
	} else {
		model->result->refused++;
		model_end(model, call);
	}
}

static void answer_from(struct model *model, uint32_t dispatcher, uint64_t id,
			const struct dispatch_answer *answer, bool returned)
{
	struct call *call = model->calls->pdata[id >> 1];
	struct event *event;

	if (model_loses(model, dispatcher, call->instance))
		return;
	event = model_event(model, model_way(model, dispatcher, call->instance),
			    answer_of_dispatcher, call, dispatcher);
	if (answer)
		event->answer = *answer;
	event->end.id = id;
	event->returned = returned;
}

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

const struct dispatch_ops model_ops = {on_answered, on_returned, on_random};

void model_servers(struct model *model, struct dispatch *dispatch)
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
	const struct dispatch_call *request = &event->request;
	struct dispatch_answer answer;

	if (dispatcher->dead || model_postpone(event))
		return;
	if (dispatcher->draining) {
		answer_from(model, event->index, request->id, NULL, true);
		return;
	}
	model_servers(model, dispatcher->dispatch);
	(void)dispatch_request(dispatcher->dispatch, model_now(model), request,
			       &answer);
	answer_from(model, event->index, request->id, &answer, false);
}

static uint32_t dispatcher_of(const struct model *model, uint32_t instance)
{
	return model->setup->fault == FAULT_TWO ? instance % 2 : model->current;
}

void model_start(struct model *model, struct call *call)
{
	struct instance *instance = &model->instances[call->instance];
	int64_t left = call->target_usec - (model_now(model) - call->arrived);
	struct event *event;

	if (!model->setup->dispatched || call->asks >= 2 ||
	    !patience_may_ask(&instance->patience, model_now(model))) {
		model_direct(model, call);
		return;
	}
	call->id = call->id + call->asks;
	call->asks++;
	call->waiting = true;
	call->asked_at = model_now(model);
	call->dispatcher = dispatcher_of(model, call->instance);
	timer_start(&call->patience, patience_first(&instance->patience, left));
	if (model_loses(model, call->dispatcher, call->instance))
		return;
	event = model_event(model,
			    model_way(model, call->dispatcher, call->instance),
			    request_arrives, call, call->dispatcher);
	event->request = (struct dispatch_call){
		.from = call->instance,
		.id = call->id,
		.target_usec = left,
		.limit_usec = left + LIMIT_USEC - call->target_usec,
	};
	for (uint32_t i = 0; i < SERVERS; i++)
		if (call->tried & 1u << i)
			event->request.avoid[event->request.avoid_count++] =
				i + 1;
}
