/*
 * supervisor.h - starts, restarts and stops the components of a process
 *
 * DESCRIPTION
 *	Components start in the order of their table and stop in reverse order.
 *	A component that fails, at its start or later, is stopped together with
 *	all components after it, and they are restarted after a delay. A leaf,
 *	which no later component depends on, is restarted alone if it fails
 *	after its start. When the failures within the window exceed
 *	restarts_max, or the failure is RESULT_BAD_SETTING or RESULT_BAD_CONFIG,
 *	which a restart can't repair, all components are stopped and gave_up is
 *	called once.
 *
 *	The design follows the supervision principles of Erlang/OTP (one for
 *	one and rest for one); see docs/design/supervision.md.
 */
#ifndef ENTRY_SUPERVISOR_H
#define ENTRY_SUPERVISOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"

struct supervisor;

struct component {
	const char *name;
	bool leaf;
	bool (*start)(void *ctx, struct error *err);
	void (*stop)(void *ctx);
};

struct supervisor_settings {
	uint32_t restarts_max; /* within the window */
	int64_t window_usec;
	int64_t delay_usec; /* before a restart */
};

/* name is the component that failed last, cause its error. */
typedef void (*supervisor_gave_up_fn)(void *ctx, const char *name,
				      const struct error *cause);

/* The table must outlive the supervisor; ctx is passed to all callbacks. */
struct supervisor *supervisor_create(struct clock *clock,
				     const struct component *components,
				     size_t count,
				     const struct supervisor_settings *settings,
				     supervisor_gave_up_fn gave_up, void *ctx);
/* Stops all components without calling gave_up. */
void supervisor_destroy(struct supervisor *supervisor);
/* Starts all components in order. A failed start is retried from a timer. */
void supervisor_start(struct supervisor *supervisor);
/* Reports that a running component has failed. It is stopped in a later loop
 * iteration, so it may call this from its own callbacks. Unknown names and
 * components that are not running are ignored. */
void supervisor_fail(struct supervisor *supervisor, const char *name,
		     const struct error *cause);
/* Stops all components in reverse order and cancels a pending restart. */
void supervisor_stop(struct supervisor *supervisor);
/* Whether every component runs. */
bool supervisor_running(const struct supervisor *supervisor);
/* Restarts since supervisor_create(). */
uint32_t supervisor_restarts(const struct supervisor *supervisor);

#endif
