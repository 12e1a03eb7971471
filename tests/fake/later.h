/*
 * later.h - what is under way in a test: calls that a clock makes later
 *
 * DESCRIPTION
 *	Messages, answers and news are on their way for a while. Each is a
 *	function with its data, called once when its time has come, in the
 *	order of the clock's timers. What is still under way at the end is
 *	dropped, and its data freed.
 */
#ifndef TESTS_FAKE_LATER_H
#define TESTS_FAKE_LATER_H

#include <glib.h>

#include "common/clock.h"

struct later;

struct later *later_create(struct clock *clock);
void later_destroy(struct later *later);
/* Calls fn(data) once, delay from now, and then destroy(data) unless that is
 * NULL. */
void later_call(struct later *later, int64_t delay, void (*fn)(void *data),
		void *data, GDestroyNotify destroy);

#endif
