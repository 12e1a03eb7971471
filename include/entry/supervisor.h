/*
 * supervisor.h - starts, restarts and stops the components of a process
 *
 * DESCRIPTION
 *	Components are started in the order of their table and stopped in
 *	reverse. One that fails, at its start or later, is stopped together
 *	with all that were started after it, and they are started again after a
 *	delay; a leaf, which nothing after it depends on, is restarted alone
 *	once it has run. When restarts within the window pass the bound, or the
 *	failure is RESULT_BAD_SETTING or RESULT_BAD_CONFIG, which no restart
 *	can mend, everything is stopped and gave_up is called once.
 *
 *	The design is that of the supervision principles of Erlang/OTP (one for
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

/* The component that failed last, and why. */
typedef void (*supervisor_gave_up_fn)(void *ctx, const char *name,
				      const struct error *cause);

/* The table must outlive the supervisor; ctx is handed to all callbacks. */
struct supervisor *supervisor_create(struct clock *clock,
				     const struct component *components,
				     size_t count,
				     const struct supervisor_settings *settings,
				     supervisor_gave_up_fn gave_up, void *ctx);
/* Stops what runs, without calling gave_up. */
void supervisor_destroy(struct supervisor *supervisor);
/* Starts all in order. A failure is retried from a timer. */
void supervisor_start(struct supervisor *supervisor);
/* A running component tells that it has failed; it is stopped in a later turn,
 * so it may call this from within its own callbacks. Unknown names and
 * components that do not run are ignored. */
void supervisor_fail(struct supervisor *supervisor, const char *name,
		     const struct error *cause);
/* Stops all in reverse order; nothing is started again. */
void supervisor_stop(struct supervisor *supervisor);
/* Whether every component runs. */
bool supervisor_running(const struct supervisor *supervisor);
/* Restarts since the start. */
uint32_t supervisor_restarts(const struct supervisor *supervisor);

#endif
