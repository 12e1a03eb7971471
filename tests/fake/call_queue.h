/*
 * call_queue.h - delayed calls, for messages in flight in a test
 *
 * DESCRIPTION
 *	Simulates the delay of messages and answers. Each delayed call is a
 *	function with its data; it runs once when its delay has passed, in the
 *	order of the clock's timers. Destroying the queue drops the pending
 *	calls and frees their data.
 */
#ifndef TESTS_FAKE_CALL_QUEUE_H
#define TESTS_FAKE_CALL_QUEUE_H

#include <glib.h>

#include "common/clock.h"

struct call_queue;

struct call_queue *call_queue_create(struct clock *clock);
void call_queue_destroy(struct call_queue *call_queue);
/* Calls fn(data) once after delay, and then destroy(data) unless destroy is
 * NULL. */
void call_queue_add(struct call_queue *call_queue, int64_t delay,
		    void (*fn)(void *data), void *data, GDestroyNotify destroy);

#endif
