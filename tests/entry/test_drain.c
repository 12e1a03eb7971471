/*
 * Scripted shutdowns on a manual clock. A step is one word:
 *	requests:N pending:N   requests in flight, answers not yet written
 *	unsent sent            whether messages to peers are unwritten
 *	drain                  SIGTERM
 *	ended                  the requests module reports that it is empty
 *	run:MSEC               advances the clock
 * Each call to another module is recorded with its time in milliseconds.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/log.h"
#include "entry/entry.h"
#include "entry/own_platform.h"
#include "entry/peers.h"
#include "entry/requests.h"
#include "rows.h"

#define ANNOUNCED "0:list-leaves 0:members-leave 0:ledger-drains 0:closing "

struct script {
	const char *name;
	int delay_msec;
	int limit_msec;
	const char *steps;
	const char *expected;
};

static const struct script scripts[] = {
	{"idle", 500, 0, "drain run:499", ANNOUNCED},
	{"idle-ends", 500, 0, "drain run:600",
	 ANNOUNCED "500:stop-listening 510:stop"},
	{"no-delay", 0, 0, "drain run:100",
	 ANNOUNCED "0:stop-listening 10:stop"},
	{"waits-for-requests", 0, 0,
	 "requests:2 drain run:60000 requests:1 run:60000 requests:0 run:100",
	 ANNOUNCED "0:stop-listening 120020:stop"},
	{"told-of-the-end", 0, 0,
	 "requests:1 drain run:5 requests:0 ended "
	 "run:100",
	 ANNOUNCED "0:stop-listening 15:stop"},
	{"ended-within-the-delay", 500, 0,
	 "requests:1 drain run:100 requests:0 ended run:500",
	 ANNOUNCED "500:stop-listening 510:stop"},
	{"new-ones-within-the-delay", 500, 0,
	 "drain run:400 requests:1 run:1000 requests:0 run:100",
	 ANNOUNCED "500:stop-listening 1420:stop"},
	{"waits-for-answers", 0, 0,
	 "pending:1 drain run:1000 pending:0 run:100",
	 ANNOUNCED "0:stop-listening 1020:stop"},
	{"waits-for-peers", 0, 0, "unsent drain run:200 sent run:100",
	 ANNOUNCED "0:stop-listening 210:stop"},
	{"peers-are-bounded", 0, 0, "unsent drain run:5000",
	 ANNOUNCED "0:stop-listening 1000:stop"},
	{"limit", 500, 3000, "requests:1 drain run:10000",
	 ANNOUNCED "500:stop-listening 3000:stop"},
	{"limit-not-reached", 0, 3000, "drain run:10000",
	 ANNOUNCED "0:stop-listening 10:stop"},
	{"twice", 500, 0, "drain run:100 drain run:1000",
	 ANNOUNCED "500:stop-listening 510:stop"},
	{"ended-without-drain", 0, 0, "ended run:1000", ""},
};

struct world {
	struct entry entry;
	GString *events;
	uint32_t requests;
	unsigned int pending;
	bool unsent;
};

static struct world world;

static void event(const char *name)
{
	g_string_append_printf(
		world.events, "%d:%s ",
		(int)(clock_now(world.entry.clock) / USEC_PER_MSEC), name);
}

/* Stubs of the functions of other modules that drain.c calls. */

void platform_leave(struct platform *platform)
{
	event("list-leaves");
}

void membership_leave(struct membership *membership)
{
	event("members-leave");
}

void ledger_drain(struct ledger *ledger)
{
	event("ledger-drains");
}

void web_server_announce_shutdown(struct web_server *server)
{
	event("closing");
}

void web_server_drain(struct web_server *server)
{
	event("stop-listening");
}

unsigned int web_server_pending(const struct web_server *server)
{
	return world.pending;
}

uint32_t requests_count(const struct requests *requests)
{
	return world.requests;
}

bool peers_flushed(const struct peers *peers)
{
	return !world.unsent;
}

void loop_stop(struct loop *loop)
{
	event("stop");
}

static void step(const char *text)
{
	g_auto(GStrv) part = g_strsplit(text, ":", 2);
	const char *verb = part[0] ? part[0] : "";
	int number = verb[0] && part[1] ? atoi(part[1]) : 0;
	struct clock *clock = world.entry.clock;

	if (strcmp(verb, "requests") == 0)
		world.requests = (uint32_t)number;
	else if (strcmp(verb, "pending") == 0)
		world.pending = (unsigned int)number;
	else if (strcmp(verb, "unsent") == 0 || strcmp(verb, "sent") == 0)
		world.unsent = verb[0] == 'u';
	else if (strcmp(verb, "drain") == 0)
		entry_drain(&world.entry);
	else if (strcmp(verb, "ended") == 0)
		entry_drained(&world.entry);
	else
		clock_advance(clock, clock_now(clock) + number * USEC_PER_MSEC);
}

static void test_script(gconstpointer data)
{
	const struct script *script = data;
	g_auto(GStrv) steps = g_strsplit(script->steps, " ", -1);
	g_autofree char *expected = g_strdup(script->expected);
	void *some = &world;

	world = (struct world){.events = g_string_new(NULL)};
	world.entry = (struct entry){
		.clock = clock_create(0),
		.platform = some,
		.membership = some,
		.ledger = some,
		.server = some,
		.requests = some,
		.peers = some,
	};
	world.entry.settings.drain_delay_usec =
		script->delay_msec * USEC_PER_MSEC;
	world.entry.settings.drain_usec = script->limit_msec * USEC_PER_MSEC;
	world.entry.drain = drain_create(&world.entry);
	for (char **text = steps; *text; text++)
		step(*text);
	g_strstrip(expected);
	g_assert_cmpstr(g_strstrip(world.events->str), ==, expected);
	drain_destroy(world.entry.drain);
	clock_destroy(world.entry.clock);
	g_string_free(world.events, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	ROWS_ADD("/drain/", scripts, test_script);
	return g_test_run();
}
