/*
 * supervisor.c - ordered start and stop of components, bounded restarts
 */
#include "entry/supervisor.h"

#include <string.h>

#include <glib.h>

#include "common/log.h"

struct child {
	bool running;
	bool failed; /* sweep stops it in a later loop iteration */
	struct error cause;
};

struct supervisor {
	const struct component *components;
	size_t count;
	struct child *children;
	struct supervisor_settings settings;
	supervisor_gave_up_fn gave_up;
	void *ctx;
	struct clock *clock;
	struct timer restart;
	struct timer sweep; /* stops failed components */
	GArray *failures;   /* int64_t: failure times within the window */
	uint32_t restarts;
	bool stopped;
};

static void child_stop(struct supervisor *s, size_t index)
{
	struct child *child = &s->children[index];

	child->failed = false;
	if (!child->running)
		return;
	child->running = false;
	s->components[index].stop(s->ctx);
	log_event(LOG_INFO, "component_stopped",
		  LOG_S("component", s->components[index].name));
}

static void children_stop(struct supervisor *s, size_t from)
{
	for (size_t i = s->count; i > from; i--)
		child_stop(s, i - 1);
}

static void failures_expire(struct supervisor *s)
{
	int64_t oldest = clock_now(s->clock) - s->settings.window_usec;

	while (s->failures->len > 0 &&
	       g_array_index(s->failures, int64_t, 0) <= oldest)
		g_array_remove_index(s->failures, 0);
}

static bool restart_allowed(const struct supervisor *s,
			    const struct error *cause)
{
	return cause->code != RESULT_BAD_SETTING &&
	       cause->code != RESULT_BAD_CONFIG &&
	       s->failures->len <= s->settings.restarts_max;
}

static void supervisor_give_up(struct supervisor *s, size_t index)
{
	const char *name = s->components[index].name;
	struct error cause = s->children[index].cause;

	log_event(LOG_ERR, "supervisor_gave_up", LOG_S("component", name),
		  LOG_D("code", cause.code), LOG_S("reason", cause.text),
		  LOG_D("restarts", s->restarts));
	supervisor_stop(s);
	s->gave_up(s->ctx, name, &cause);
}

/* Records the failure, then schedules a restart or gives up. */
static void failure_handle(struct supervisor *s, size_t index)
{
	const struct error *cause = &s->children[index].cause;
	int64_t now = clock_now(s->clock);

	log_event(LOG_ERR, "component_failed",
		  LOG_S("component", s->components[index].name),
		  LOG_D("code", cause->code), LOG_S("reason", cause->text));
	failures_expire(s);
	g_array_append_val(s->failures, now);
	if (!restart_allowed(s, cause)) {
		supervisor_give_up(s, index);
		return;
	}
	timer_start(&s->restart, s->settings.delay_usec);
}

static bool child_start(struct supervisor *s, size_t index)
{
	const struct component *component = &s->components[index];
	struct child *child = &s->children[index];

	child->cause = (struct error){.code = RESULT_OK};
	if (!component->start(s->ctx, &child->cause))
		return false;
	child->running = true;
	log_event(LOG_INFO, "component_started",
		  LOG_S("component", component->name));
	return true;
}

static void children_start(struct supervisor *s)
{
	for (size_t i = 0; i < s->count && !s->stopped; i++) {
		if (s->children[i].running)
			continue;
		if (child_start(s, i))
			continue;
		failure_handle(s, i);
		return;
	}
}

static void restart_fire(struct timer *timer, void *ctx)
{
	struct supervisor *s = ctx;

	s->restarts++;
	children_start(s);
}

static void sweep_fire(struct timer *timer, void *ctx)
{
	struct supervisor *s = ctx;

	for (size_t i = 0; i < s->count && !s->stopped; i++) {
		if (!s->children[i].failed)
			continue;
		if (s->components[i].leaf)
			child_stop(s, i);
		else
			children_stop(s, i);
		failure_handle(s, i);
	}
}

struct supervisor *supervisor_create(struct clock *clock,
				     const struct component *components,
				     size_t count,
				     const struct supervisor_settings *settings,
				     supervisor_gave_up_fn gave_up, void *ctx)
{
	struct supervisor *s = g_new0(struct supervisor, 1);

	s->components = components;
	s->count = count;
	s->children = g_new0(struct child, count);
	s->settings = *settings;
	s->gave_up = gave_up;
	s->ctx = ctx;
	s->clock = clock;
	s->failures = g_array_new(FALSE, FALSE, sizeof(int64_t));
	timer_init(&s->restart, clock, restart_fire, s);
	timer_init(&s->sweep, clock, sweep_fire, s);
	return s;
}

void supervisor_destroy(struct supervisor *s)
{
	if (!s)
		return;
	supervisor_stop(s);
	g_array_free(s->failures, TRUE);
	g_free(s->children);
	g_free(s);
}

void supervisor_start(struct supervisor *s)
{
	s->stopped = false;
	children_start(s);
}

void supervisor_fail(struct supervisor *s, const char *name,
		     const struct error *cause)
{
	for (size_t i = 0; i < s->count; i++) {
		if (strcmp(s->components[i].name, name) != 0)
			continue;
		if (!s->children[i].running || s->children[i].failed)
			return;
		s->children[i].failed = true;
		s->children[i].cause = *cause;
		timer_start(&s->sweep, 0);
		return;
	}
}

void supervisor_stop(struct supervisor *s)
{
	s->stopped = true;
	timer_stop(&s->restart);
	timer_stop(&s->sweep);
	children_stop(s, 0);
}

bool supervisor_running(const struct supervisor *s)
{
	for (size_t i = 0; i < s->count; i++) {
		if (!s->children[i].running)
			return false;
	}
	return !s->stopped;
}

uint32_t supervisor_restarts(const struct supervisor *s)
{
	return s->restarts;
}
