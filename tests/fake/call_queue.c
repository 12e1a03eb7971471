#include "call_queue.h"

struct call_queue {
	struct clock *clock;
	GPtrArray *calls;
};

struct call {
	struct call_queue *call_queue;
	struct timer timer;
	void (*fn)(void *data);
	void *data;
	GDestroyNotify destroy;
};

static void call_free(void *data)
{
	struct call *call = data;

	timer_stop(&call->timer);
	if (call->destroy)
		call->destroy(call->data);
	g_free(call);
}

static void call_due(struct timer *timer, void *ctx)
{
	struct call *call = ctx;

	call->fn(call->data);
	g_ptr_array_remove_fast(call->call_queue->calls, call);
}

struct call_queue *call_queue_create(struct clock *clock)
{
	struct call_queue *call_queue = g_new0(struct call_queue, 1);

	call_queue->clock = clock;
	call_queue->calls = g_ptr_array_new_with_free_func(call_free);
	return call_queue;
}

void call_queue_destroy(struct call_queue *call_queue)
{
	g_ptr_array_free(call_queue->calls, TRUE);
	g_free(call_queue);
}

void call_queue_add(struct call_queue *call_queue, int64_t delay,
		    void (*fn)(void *data), void *data, GDestroyNotify destroy)
{
	struct call *call = g_new0(struct call, 1);

	call->call_queue = call_queue;
	call->fn = fn;
	call->data = data;
	call->destroy = destroy;
	timer_init(&call->timer, call_queue->clock, call_due, call);
	timer_start(&call->timer, delay);
	g_ptr_array_add(call_queue->calls, call);
}
