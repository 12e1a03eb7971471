#include "later.h"

struct later {
	struct clock *clock;
	GPtrArray *calls;
};

struct call {
	struct later *later;
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
	g_ptr_array_remove_fast(call->later->calls, call);
}

struct later *later_create(struct clock *clock)
{
	struct later *later = g_new0(struct later, 1);

	later->clock = clock;
	later->calls = g_ptr_array_new_with_free_func(call_free);
	return later;
}

void later_destroy(struct later *later)
{
	g_ptr_array_free(later->calls, TRUE);
	g_free(later);
}

void later_call(struct later *later, int64_t delay, void (*fn)(void *data),
		void *data, GDestroyNotify destroy)
{
	struct call *call = g_new0(struct call, 1);

	call->later = later;
	call->fn = fn;
	call->data = data;
	call->destroy = destroy;
	timer_init(&call->timer, later->clock, call_due, call);
	timer_start(&call->timer, delay);
	g_ptr_array_add(later->calls, call);
}
