/* Timers are kept in a binary heap; a timer's slot is its index plus one. */
#include "clock_heap.h"

static bool timer_before(const struct timer *a, const struct timer *b)
{
	if (a->due != b->due)
		return a->due < b->due;
	return a->order < b->order;
}

static void heap_put(GPtrArray *heap, size_t i, struct timer *timer)
{
	heap->pdata[i] = timer;
	timer->slot = i + 1;
}

static void heap_sift_up(GPtrArray *heap, size_t i)
{
	struct timer *timer = heap->pdata[i];

	while (i > 0) {
		size_t parent = (i - 1) / 2;

		if (!timer_before(timer, heap->pdata[parent]))
			break;
		heap_put(heap, i, heap->pdata[parent]);
		i = parent;
	}
	heap_put(heap, i, timer);
}

static void heap_sift_down(GPtrArray *heap, size_t i)
{
	struct timer *timer = heap->pdata[i];

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= heap->len)
			break;
		if (child + 1 < heap->len &&
		    timer_before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (!timer_before(heap->pdata[child], timer))
			break;
		heap_put(heap, i, heap->pdata[child]);
		i = child;
	}
	heap_put(heap, i, timer);
}

struct timer *clock_first(const struct clock *clock)
{
	return clock->heap->len ? clock->heap->pdata[0] : NULL;
}

void timer_init(struct timer *timer, struct clock *clock, timer_fn fn,
		void *ctx)
{
	*timer = (struct timer){.clock = clock, .fn = fn, .ctx = ctx};
}

void timer_start(struct timer *timer, int64_t delay_us)
{
	struct clock *clock = timer->clock;

	timer_stop(timer);
	if (delay_us < 0)
		delay_us = 0;
	if (delay_us >= CLOCK_NEVER - clock->now)
		timer->due = CLOCK_NEVER;
	else
		timer->due = clock->now + delay_us;
	timer->order = clock->starts++;
	g_ptr_array_add(clock->heap, timer);
	heap_sift_up(clock->heap, clock->heap->len - 1);
}

void timer_stop(struct timer *timer)
{
	GPtrArray *heap;
	struct timer *last;
	size_t i;

	if (!timer_running(timer))
		return;
	heap = timer->clock->heap;
	i = timer->slot - 1;
	timer->slot = 0;
	last = heap->pdata[heap->len - 1];
	g_ptr_array_set_size(heap, (int)heap->len - 1);
	if (last == timer)
		return;
	heap_put(heap, i, last);
	heap_sift_up(heap, i);
	heap_sift_down(heap, last->slot - 1);
}

bool timer_running(const struct timer *timer)
{
	return timer->slot != 0;
}
