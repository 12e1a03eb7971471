/*
 * later.h - delayed calls, for messages in flight in a test
 *
 * DESCRIPTION
 *	Simulates the delay of messages and answers. Each delayed call is a
 *	function with its data; it runs once when its delay has passed, in the
 *	order of the clock's timers. Destroying the queue drops the pending
 *	calls and frees their data.
 */
#ifndef TESTS_FAKE_LATER_H
#define TESTS_FAKE_LATER_H

#include <glib.h>

#include "common/clock.h"

struct later;

struct later *later_create(struct clock *clock);
void later_destroy(struct later *later);
/* Calls fn(data) once after delay, and then destroy(data) unless destroy is
 * NULL. */
void later_call(struct later *later, int64_t delay, void (*fn)(void *data),
		void *data, GDestroyNotify destroy);

#endif
