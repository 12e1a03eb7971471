/* Runs each check of a load run against ledgers that violate it. */
#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "common/error.h"
#include "load/check.h"
#include "load/ledgers.h"
#include "load/targets.h"
#include "web/client.h"
#include "web/loop.h"
#include "web/server.h"

struct world {
	struct clock *clock;
	struct loop *loop;
	struct web_client *client;
	struct web_server *engine;
	struct web_server *service;
	const char *engine_ledger;
	const char *service_ledger;
	const char *fallback_ledger; /* served as /ledger by the service */
	json_int_t max_tokens;	     /* requested by the last call */
};

static void ledger_reply(struct web_request *request, const char *ledger)
{
	web_reply(request, ledger != NULL ? 200 : 404, "application/json",
		  ledger, ledger != NULL ? strlen(ledger) : 0);
}

static void engine_handle(void *ctx, struct web_request *request)
{
	const struct world *world = ctx;

	ledger_reply(request, world->engine_ledger);
}

static void not_found_handle(void *ctx, struct web_request *request)
{
	ledger_reply(request, NULL);
}

static void service_handle(void *ctx, struct web_request *request)
{
	const struct world *world = ctx;

	ledger_reply(request, world->service_ledger);
}

static void fallback_handle(void *ctx, struct web_request *request)
{
	const struct world *world = ctx;

	ledger_reply(request, world->fallback_ledger);
}

static struct web_server *server_make(struct world *world)
{
	static const struct web_limits limits = {
		.body_bytes = 1024,
		.connections = 8,
		.idle_usec = 10 * USEC_PER_SEC,
		.request_usec = 10 * USEC_PER_SEC,
	};
	struct web_server *server =
		web_server_create(world->loop, "127.0.0.1:0", &limits, NULL);

	g_assert_nonnull(server);
	return server;
}

static void world_open(struct world *world)
{
	world->clock = clock_create_system();
	world->loop = loop_create(world->clock);
	world->client = web_client_create(world->loop);
	world->engine = server_make(world);
	world->service = server_make(world);
	web_server_handle(world->engine, "/ledger", engine_handle, world);
	web_server_handle(world->engine, "/", not_found_handle, world);
	web_server_handle(world->service, "/-/ledger", service_handle, world);
	web_server_handle(world->service, "/ledger", fallback_handle, world);
}

static void world_close(struct world *world)
{
	web_client_destroy(world->client);
	web_server_destroy(world->engine);
	web_server_destroy(world->service);
	loop_destroy(world->loop);
	clock_destroy(world->clock);
}

static void ledgers_ready(void *ctx)
{
	loop_stop(ctx);
}

#define ENGINE(requests, held)                                                 \
	"{\"prefill_tokens\": 5, \"requests\": {" requests                     \
	"}, \"held\": [" held "]}"
#define SERVICE(keys) "{\"runs\": 1, \"keys\": {" keys "}}"
#define CLEAN ENGINE("", "")
#define ID "00000000000000aa"

enum check_number {
	CHECK_NONE = -1,
	CHECK_WRONG,
	CHECK_LOST,
	CHECK_NOT_RUN,
	CHECK_ONCE,
	CHECK_TWICE,
	CHECK_HELD,
	CHECK_READ,
	CHECK_COUNT,
};

static const struct {
	const char *engine; /* the engine's ledger; NULL: not found */
	const char *service;
	bool model;
	enum call_verdict verdict;
	enum outcome outcome;
	bool may_have_run;
	enum check_number broken;
} rows[] = {
	{CLEAN, SERVICE("\"k\": 1"), false, CALL_WHOLE, OUTCOME_RUN, true,
	 CHECK_NONE},
	{CLEAN, SERVICE(""), true, CALL_WRONG, OUTCOME_RUN, true, CHECK_WRONG},
	{CLEAN, SERVICE(""), true, CALL_BROKEN, OUTCOME_UNKNOWN, true,
	 CHECK_LOST},
	{CLEAN, SERVICE(""), true, CALL_UNANSWERED, OUTCOME_UNKNOWN, true,
	 CHECK_LOST},
	{CLEAN, SERVICE(""), true, CALL_HUNG_UP, OUTCOME_UNKNOWN, true,
	 CHECK_NONE},
	{CLEAN, SERVICE(""), true, CALL_REFUSED, OUTCOME_NOT_RUN, false,
	 CHECK_NONE},
	{ENGINE("\"" ID "\": {\"prefills\": 1}", ""), SERVICE(""), true,
	 CALL_REFUSED, OUTCOME_NOT_RUN, false, CHECK_NOT_RUN},
	{ENGINE("\"" ID "\": {\"decodes\": 1}", ""), SERVICE(""), true,
	 CALL_REFUSED, OUTCOME_NOT_RUN, false, CHECK_NOT_RUN},
	{ENGINE("\"" ID "\": {\"decodes\": 1}", ""), SERVICE(""), true,
	 CALL_REFUSED, OUTCOME_NOT_RUN, true, CHECK_NONE},
	{ENGINE("\"" ID "\": {\"decodes\": 1}", ""), SERVICE(""), true,
	 CALL_REFUSED, OUTCOME_UNKNOWN, true, CHECK_NONE},
	{CLEAN, SERVICE("\"k\": 1"), false, CALL_REFUSED, OUTCOME_NOT_RUN,
	 false, CHECK_NOT_RUN},
	{CLEAN, SERVICE("\"k\": 2"), false, CALL_HUNG_UP, OUTCOME_UNKNOWN, true,
	 CHECK_ONCE},
	{CLEAN, SERVICE(""), false, CALL_WHOLE, OUTCOME_RUN, true, CHECK_ONCE},
	{ENGINE("\"" ID "\": {\"finished\": 2}", ""), SERVICE(""), true,
	 CALL_WHOLE, OUTCOME_RUN, true, CHECK_TWICE},
	{ENGINE("\"" ID "\": {\"finished\": 1, \"cancelled\": 1}", ""),
	 SERVICE(""), true, CALL_WHOLE, OUTCOME_RUN, true, CHECK_NONE},
	{ENGINE("", "{\"stream\": \"s\"}"), SERVICE(""), true, CALL_HUNG_UP,
	 OUTCOME_UNKNOWN, true, CHECK_HELD},
	{NULL, SERVICE(""), true, CALL_WHOLE, OUTCOME_RUN, true, CHECK_READ},
};

static json_t *row_check(struct world *world, size_t i, bool *ok)
{
	struct load_kind kind = {
		.model = rows[i].model ? "m" : NULL,
		.path = rows[i].model ? NULL : "/book",
		.non_idempotent = !rows[i].model,
	};
	struct check_record record = {
		.kind = &kind,
		.key = "k",
		.request_id = ID,
		.verdict = rows[i].verdict,
		.outcome = rows[i].outcome,
		.may_have_run = rows[i].may_have_run,
	};
	const char *addresses[] = {web_server_address(world->engine),
				   web_server_address(world->service)};
	GArray *records = g_array_new(FALSE, FALSE, sizeof(record));
	struct ledgers *ledgers = ledgers_create(world->client, addresses, 2);
	json_t *checks;

	world->engine_ledger = rows[i].engine;
	world->service_ledger = rows[i].service;
	g_array_append_val(records, record);
	ledgers_read(ledgers, ledgers_ready, world->loop);
	loop_run(world->loop);
	checks = checks_run(records, ledgers, ok);
	ledgers_destroy(ledgers);
	g_array_free(records, TRUE);
	return checks;
}

static void test_checks(void)
{
	struct world world = {0};

	world_open(&world);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		bool ok = false;
		json_t *checks = row_check(&world, i, &ok);

		g_test_message("row %zu", i);
		g_assert_cmpint(ok, ==, rows[i].broken == CHECK_NONE);
		g_assert_cmpint(json_array_size(checks), ==, CHECK_COUNT);
		for (int at = 0; at < CHECK_COUNT; at++) {
			json_t *check = json_array_get(checks, (size_t)at);

			g_assert_cmpint(
				json_is_true(json_object_get(check, "ok")), ==,
				at != (int)rows[i].broken);
		}
		json_decref(checks);
	}
	world_close(&world);
}

#define USEFUL(id, n) "\"" id "\": {\"useful_tokens\": " n "}"

/* Ledgers of two engines before and after a run, and the tokens computed more
 * than once: for each request, those on all engines but the one with the most.
 */
static const struct {
	const char *engines[2][2];
	int64_t recomputed;
} recomputed_rows[] = {
	{{{"", ""}, {"", ""}}, 0},
	{{{"", USEFUL("a", "700")}, {"", ""}}, 0},
	{{{"", USEFUL("a", "700")}, {"", USEFUL("b", "500")}}, 0},
	{{{"", USEFUL("a", "700")}, {"", USEFUL("a", "500")}}, 500},
	{{{"", USEFUL("a", "500")}, {"", USEFUL("a", "700")}}, 500},
	{{{"", USEFUL("a", "500") ", " USEFUL("b", "90")},
	  {"", USEFUL("a", "700") ", " USEFUL("b", "80")}},
	 580},
	{{{USEFUL("a", "500"), USEFUL("a", "500")},
	  {USEFUL("a", "700"), USEFUL("a", "700") ", " USEFUL("b", "80")}},
	 0},
	{{{"", USEFUL("a", "500")}, {"", NULL}}, 0},
};

static void recomputed_read(struct world *world, struct ledgers *ledgers,
			    size_t row, int when)
{
	char *text[2];

	for (int i = 0; i < 2; i++) {
		const char *requests = recomputed_rows[row].engines[i][when];

		text[i] = requests == NULL
				  ? NULL
				  : g_strdup_printf("{\"requests\": {%s}}",
						    requests);
	}
	world->engine_ledger = text[0];
	world->fallback_ledger = text[1];
	ledgers_read(ledgers, ledgers_ready, world->loop);
	loop_run(world->loop);
	for (int i = 0; i < 2; i++)
		g_free(text[i]);
}

static void test_recomputed(void)
{
	struct world world = {0};

	world_open(&world);
	for (size_t row = 0; row < G_N_ELEMENTS(recomputed_rows); row++) {
		const char *addresses[] = {web_server_address(world.engine),
					   web_server_address(world.service)};
		struct ledgers *ledgers =
			ledgers_create(world.client, addresses, 2);

		g_test_message("row %zu", row);
		recomputed_read(&world, ledgers, row, 0);
		recomputed_read(&world, ledgers, row, 1);
		g_assert_cmpint(ledgers_recomputed(ledgers), ==,
				recomputed_rows[row].recomputed);
		ledgers_destroy(ledgers);
	}
	world_close(&world);
}

static void call_handle(void *ctx, struct web_request *request)
{
	struct world *world = ctx;
	struct web_text body = web_request_body(request);
	json_t *json = json_loadb(body.data, body.size, 0, NULL);

	world->max_tokens =
		json_integer_value(json_object_get(json, "max_tokens"));
	json_decref(json);
	web_reply(request, 503, "application/json", "{}", 2);
}

static void call_finished(void *ctx, const struct call_plan *plan,
			  const struct call_result *result)
{
	loop_stop(ctx);
}

/* max_tokens of a call, with and without the exact length of its answer. */
static void test_exact(void)
{
	struct load_kind kind = {.name = "k", .model = "m"};
	struct call_plan plan = {.kind = &kind,
				 .text = "text",
				 .output_tokens = 7,
				 .max_tokens = 90};
	struct world world = {0};
	const char *address;
	struct call_env env;

	world_open(&world);
	web_server_handle(world.engine, "/v1/completions", call_handle, &world);
	address = web_server_address(world.engine);
	env = (struct call_env){
		.client = world.client,
		.clock = world.clock,
		.targets = targets_create(world.client, world.clock, &address,
					  NULL, 1, 1),
		.timeout_usec = 10 * USEC_PER_SEC,
	};
	for (int exact = 0; exact < 2; exact++) {
		env.exact = exact;
		call_start(&env, &plan, call_finished, world.loop);
		loop_run(world.loop);
		g_assert_cmpint(world.max_tokens, ==, exact ? 7 : 90);
	}
	targets_destroy(env.targets);
	world_close(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/checks", test_checks);
	g_test_add_func("/load/repeated", test_recomputed);
	g_test_add_func("/load/exact", test_exact);
	return g_test_run();
}
