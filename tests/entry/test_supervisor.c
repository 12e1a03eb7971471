/*
 * Scripted runs of a supervisor of four components: a, b, c (a leaf) and d.
 * A step is one word: "start", "stop", "fail:NAME" (a failure at run time),
 * "break:NAME:N" (the next N starts fail), "misconfigure:NAME" (starts fail
 * with RESULT_BAD_SETTING), "run:MSEC". The events are recorded as +NAME for a
 * start, -NAME for a stop, !NAME for a failed start, and GAVEUP:NAME.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/log.h"
#include "entry/supervisor.h"
#include "rows.h"

struct script {
	const char *name;
	const char *steps;
	const char *expected;
	uint32_t restarts;
	bool running;
};

static const struct script scripts[] = {
	{"order", "start stop", "+a +b +c +d -d -c -b -a", 0, false},
	{"start-twice", "start start", "+a +b +c +d", 0, true},
	{"rest-for-one", "start fail:b run:100",
	 "+a +b +c +d -d -c -b +b +c +d", 1, true},
	{"leaf-alone", "start fail:c run:100", "+a +b +c +d -c +c", 1, true},
	{"restart-waits", "start fail:c run:99", "+a +b +c +d -c", 0, false},
	{"start-fails", "break:b:2 start run:200", "+a !b !b +b +c +d", 2,
	 true},
	{"first-restart-fails", "start break:b:1 fail:b run:300",
	 "+a +b +c +d -d -c -b !b +b +c +d", 2, true},
	{"two-in-one-turn", "start fail:c fail:b run:100",
	 "+a +b +c +d -d -c -b +b +c +d", 1, true},
	{"two-leaves", "start fail:c fail:d run:100", "+a +b +c +d -c -d +c +d",
	 1, true},
	{"bound", "break:a:9 start run:1000", "!a !a !a !a GAVEUP:a", 3, false},
	{"bound-at-run",
	 "start fail:c run:100 fail:c run:100 fail:c run:100 fail:c run:100",
	 "+a +b +c +d -c +c -c +c -c +c -c -d -b -a GAVEUP:c", 3, false},
	{"window",
	 "start fail:c run:600 fail:c run:600 fail:c run:600 fail:c run:600",
	 "+a +b +c +d -c +c -c +c -c +c -c +c", 4, true},
	{"setting", "misconfigure:b start run:1000", "+a !b -a GAVEUP:b", 0,
	 false},
	{"unknown", "start fail:x run:100", "+a +b +c +d", 0, true},
	{"not-running", "fail:a run:100", "", 0, false},
	{"stop-cancels-restart", "start fail:b run:0 stop run:1000",
	 "+a +b +c +d -d -c -b -a", 0, false},
	{"stop-cancels-failure", "start fail:b stop run:1000",
	 "+a +b +c +d -d -c -b -a", 0, false},
};

#define COUNT 4

struct world {
	struct clock *clock;
	struct supervisor *supervisor;
	GString *events;
	int start_failures[COUNT]; /* number of the next starts that fail */
	bool bad_setting[COUNT];
};

static void event(struct world *world, const char *mark, const char *name)
{
	if (world->events->len > 0)
		g_string_append_c(world->events, ' ');
	g_string_append_printf(world->events, "%s%s", mark, name);
}

static bool start_any(struct world *world, int i, const char *name,
		      struct error *err)
{
	if (world->bad_setting[i] || world->start_failures[i] > 0) {
		event(world, "!", name);
		world->start_failures[i] -= world->start_failures[i] > 0;
		return error_set(err,
				 world->bad_setting[i] ? RESULT_BAD_SETTING
						       : RESULT_IO,
				 "scripted");
	}
	event(world, "+", name);
	return true;
}

#define COMPONENT(name, i)                                                     \
	static bool name##_start(void *ctx, struct error *err)                 \
	{                                                                      \
		return start_any(ctx, i, #name, err);                          \
	}                                                                      \
	static void name##_stop(void *ctx)                                     \
	{                                                                      \
		event(ctx, "-", #name);                                        \
	}

COMPONENT(a, 0)
COMPONENT(b, 1)
COMPONENT(c, 2)
COMPONENT(d, 3)

static const struct component components[COUNT] = {
	{"a", false, a_start, a_stop},
	{"b", false, b_start, b_stop},
	{"c", true, c_start, c_stop},
	{"d", true, d_start, d_stop},
};

static void gave_up(void *ctx, const char *name, const struct error *cause)
{
	g_assert_cmpstr(cause->text, ==, "scripted");
	event(ctx, "GAVEUP:", name);
}

static void step(struct world *world, const char *text)
{
	struct error cause = {.code = RESULT_IO, .text = "scripted"};
	g_auto(GStrv) part = g_strsplit(text, ":", 3);
	const char *verb = part[0] ? part[0] : "";
	const char *object = verb[0] && part[1] ? part[1] : "";
	int i = object[0] - 'a';

	if (strcmp(verb, "start") == 0)
		supervisor_start(world->supervisor);
	else if (strcmp(verb, "stop") == 0)
		supervisor_stop(world->supervisor);
	else if (strcmp(verb, "fail") == 0)
		supervisor_fail(world->supervisor, object, &cause);
	else if (strcmp(verb, "break") == 0)
		world->start_failures[i] = atoi(part[2]);
	else if (strcmp(verb, "misconfigure") == 0)
		world->bad_setting[i] = true;
	else
		clock_advance(world->clock,
			      clock_now(world->clock) +
				      atoi(object) * USEC_PER_MSEC);
}

static void test_script(gconstpointer data)
{
	static const struct supervisor_settings settings = {
		.restarts_max = 3,
		.window_usec = 1 * USEC_PER_SEC,
		.delay_usec = 100 * USEC_PER_MSEC,
	};
	const struct script *script = data;
	g_auto(GStrv) steps = g_strsplit(script->steps, " ", -1);
	struct world world = {0};

	world.clock = clock_create(0);
	world.events = g_string_new(NULL);
	world.supervisor = supervisor_create(world.clock, components, COUNT,
					     &settings, gave_up, &world);
	for (char **text = steps; *text; text++)
		step(&world, *text);
	g_assert_cmpstr(world.events->str, ==, script->expected);
	g_assert_cmpuint(supervisor_restarts(world.supervisor), ==,
			 script->restarts);
	g_assert_cmpint(supervisor_running(world.supervisor), ==,
			script->running);
	supervisor_destroy(world.supervisor);
	g_string_free(world.events, TRUE);
	clock_destroy(world.clock);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	ROWS_ADD("/supervisor/", scripts, test_script);
	return g_test_run();
}
