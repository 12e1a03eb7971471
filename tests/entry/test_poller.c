/* The poller against one fake backend server with scripted answers. */
#include <string.h>

#include <glib.h>

#include "common/log.h"
#include "entry/directory.h"
#include "entry/entry.h"
#include "entry/poller.h"
#include "fake_coord.h"
#include "rows.h"
#include "run.h"

#define POLL_INTERVAL_USEC (10 * USEC_PER_MSEC)

#define CONFIG_FILE SOURCE_ROOT "/examples/arequipa.yaml"

struct row {
	const char *name;
	const char *pool;
	bool home;
	bool rank; /* this instance has rank 0 for the pool */
	const char *path;
	const char *body;   /* answer of this path; others answer 404 */
	const char *events; /* lines that must be recorded; NULL: no poll */
	bool leaving;
};

static const struct row rows[] = {
	{"load", "lex-decode", true, false, "/load",
	 "{\"role\":\"decode\",\"pieces_used\":5,\"pieces\":20,"
	 "\"running\":3,\"waiting\":2,\"queue_tokens\":9,"
	 "\"tokens_per_s\":1.5,\"age_ms\":120}",
	 "report used=5 running=3 waiting=2 queue=9 rate=1.5 age=120\n", false},
	{"leaving", "lex-decode", true, false, "/load", "{\"leaving\":true}",
	 "fact 1\nreport leaving used=0 running=0 waiting=0 queue=0 rate=0.0 "
	 "age=500\n",
	 true},
	{"odd-load", "lex-decode", true, false, "/load",
	 "{\"age_ms\":-5,\"pieces_used\":-5,\"running\":\"x\",\"waiting\":"
	 "null}",
	 "report used=0 running=0 waiting=0 queue=0 rate=0.0 age=0\n", false},
	{"load-garbage", "lex-decode", true, false, "/load", "{",
	 "report unreachable used=0 running=0 waiting=0 queue=0 rate=0.0 "
	 "age=500\n",
	 false},
	{"load-array", "lex-decode", true, false, "/load", "[]",
	 "report unreachable used=0 running=0 waiting=0 queue=0 rate=0.0 "
	 "age=500\n",
	 false},
	{"streams", "lex-decode", true, false, "/streams",
	 "{\"streams\":[{\"stream\":\"s1\",\"request\":\"00000000000000aa\","
	 "\"owner\":\"00000000000000bb\",\"incarnation\":"
	 "\"00000000000000cc\",\"attempt\":2,\"pieces\":3},{\"stream\":7},"
	 "null]}",
	 "streams 1 s1/bb/cc/aa/2/3\n", false},
	{"no-streams", "lex-decode", true, false, "/streams",
	 "{\"streams\":[]}", "streams 0\n", false},
	{"prefill-has-no-streams", "lex-prefill", true, false, "/streams",
	 "{\"streams\":[]}",
	 "report unreachable used=0 running=0 waiting=0 queue=0 rate=0.0 "
	 "age=500\n",
	 false},
	{"events", "lex-prefill", true, false, "/events",
	 "{\"next\":7,\"gap\":true,\"events\":[{\"block\":"
	 "\"00000000000000a1\",\"stored\":true},{\"block\":"
	 "\"00000000000000a2\",\"stored\":false}]}",
	 "stored a1\nevicted a2\n", false},
	{"not-home", "lex-decode", false, true, "/load", "{\"leaving\":true}",
	 NULL, false},
	{"no-such-pool", "moon", true, true, "/load", "{}", NULL, false},
	{"server", "settle", false, true, "/-/load", "{\"leaving\":true}",
	 "fact 1\n", true},
	{"server-at-home", "settle", true, false, "/-/load", "{\"running\":4}",
	 "report used=0 running=4 waiting=0 queue=0 rate=0.0 age=500\n", false},
	{"server-of-another", "settle", false, false, "/-/load", "{}", NULL,
	 false},
};

struct world {
	struct run run;
	struct entry entry;
	struct web_server *server;
	const struct row *row;
	GString *requested;
	int count;
};

static void on_any(void *ctx, struct web_request *request)
{
	struct world *world = ctx;
	struct web_text path = web_request_path(request);
	struct web_text query = web_request_query(request);
	const struct row *row = world->row;
	bool known = web_text_is(path, row->path);
	const char *body = known ? row->body : "{}";

	world->count++;
	g_string_append_printf(world->requested, "%.*s?%.*s\n", (int)path.size,
			       path.data, (int)query.size, query.data);
	web_reply(request, known ? 200 : 404, "application/json", body,
		  strlen(body));
}

static void world_setup(struct world *world, const struct row *row)
{
	static const struct web_limits limits = {
		.body_bytes = 1024,
		.connections = 16,
		.idle_usec = 5 * USEC_PER_SEC,
		.request_usec = 5 * USEC_PER_SEC,
	};
	struct error err = {0};

	*world = (struct world){.row = row};
	run_setup(&world->run);
	fake_coord_setup();
	world->requested = g_string_new(NULL);
	world->entry.clock = world->run.clock;
	world->entry.loop = world->run.loop;
	world->entry.counters = world->run.counters;
	world->entry.rand = g_rand_new_with_seed(1);
	world->entry.settings.poll_usec = POLL_INTERVAL_USEC;
	world->entry.membership = (struct membership *)world; /* not NULL */
	world->entry.config = config_load(CONFIG_FILE, &err);
	g_assert_cmpstr(err.text, ==, "");
	world->entry.client = web_client_create(world->run.loop);
	world->server = web_server_create(world->run.loop, "127.0.0.1:0",
					  &limits, NULL);
	web_server_handle(world->server, "/", on_any, world);
	world->entry.directory = directory_create(&world->entry);
}

static void backend_add(struct world *world)
{
	const struct row *row = world->row;
	struct backend backend = {
		.id = id_of("r1"),
		.incarnation = 1,
		.name = "r1",
		.data_centre = "d",
		.listed = true,
	};

	g_strlcpy(backend.pool, row->pool, sizeof(backend.pool));
	g_strlcpy(backend.address, web_server_address(world->server),
		  sizeof(backend.address));
	directory_put(world->entry.directory, &backend);
	fake_coord.home = row->home ? backend.id : 0;
	fake_coord.rank = row->rank ? id_of(row->pool) : 0;
	world->entry.poller = poller_create(&world->entry);
}

static void world_teardown(struct world *world)
{
	poller_destroy(world->entry.poller);
	directory_destroy(world->entry.directory);
	web_client_destroy(world->entry.client);
	web_server_destroy(world->server);
	config_destroy(world->entry.config);
	g_rand_free(world->entry.rand);
	g_string_free(world->requested, TRUE);
	fake_coord_teardown();
	run_teardown(&world->run);
}

static bool event_seen(void *ctx)
{
	const struct world *world = ctx;

	return strstr(fake_coord.events->str, world->row->events) != NULL;
}

static void test_row(gconstpointer data)
{
	const struct row *row = data;
	struct world world;

	world_setup(&world, row);
	backend_add(&world);
	if (row->events)
		g_assert_true(run_until(&world.run, event_seen, &world));
	else
		run_for(&world.run, 5 * POLL_INTERVAL_USEC);
	if (!row->events)
		g_assert_cmpstr(world.requested->str, ==, "");
	if (strcmp(row->name, "prefill-has-no-streams") == 0)
		g_assert_null(strstr(world.requested->str, "/streams"));
	g_assert_cmpint(
		directory_find(world.entry.directory, id_of("r1"))->leaving, ==,
		row->leaving);
	world_teardown(&world);
}

static bool requested_from_seven(void *ctx)
{
	return strstr(((struct world *)ctx)->requested->str, "/events?from=7");
}

/* Events are fetched from the offset at which the last answer ended. */
static void test_events_continue(void)
{
	const struct row *row = &rows[8];
	struct world world;

	g_assert_cmpstr(row->name, ==, "events");
	world_setup(&world, row);
	backend_add(&world);
	g_assert_true(run_until(&world.run, requested_from_seven, &world));
	g_assert_nonnull(strstr(world.requested->str, "/events?from=0"));
	g_assert_cmpint(run_counter(&world.run, "jt_cache_gaps_total", NULL), >,
			0);
	world_teardown(&world);
}

static bool unreachable_seen(void *ctx)
{
	return strstr(fake_coord.events->str, "report unreachable");
}

static void test_absent(void)
{
	struct world world;

	world_setup(&world, &rows[0]);
	backend_add(&world);
	web_server_destroy(world.server);
	world.server = NULL;
	g_assert_true(run_until(&world.run, unreachable_seen, &world));
	g_assert_cmpint(run_counter(&world.run, "jt_poll_failures_total", NULL),
			>, 0);
	world_teardown(&world);
}

/* A runner whose home has moved is no longer polled. */
static void test_moved(void)
{
	struct world world;

	world_setup(&world, &rows[0]);
	backend_add(&world);
	g_assert_true(run_until(&world.run, event_seen, &world));
	fake_coord.home = 0;
	poller_refresh(world.entry.poller);
	run_for(&world.run, 2 * POLL_INTERVAL_USEC);
	int before = world.count;

	run_for(&world.run, 5 * POLL_INTERVAL_USEC);
	g_assert_cmpint(world.count, ==, before);
	world_teardown(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	ROWS_ADD("/poller/", rows, test_row);
	g_test_add_func("/poller/events-go-on", test_events_continue);
	g_test_add_func("/poller/absent", test_absent);
	g_test_add_func("/poller/moved", test_moved);
	return g_test_run();
}
