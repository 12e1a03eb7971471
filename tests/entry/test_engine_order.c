/* The result of each answer to an order or a role query, with a fake engine. */
#include <string.h>

#include <glib.h>

#include "common/log.h"
#include "entry/engine_order.h"
#include "entry/entry.h"
#include "rows.h"
#include "run.h"

/* Values of row.status other than an HTTP status. */
enum {
	CUT = 1,    /* connection aborted within the answer */
	ABSENT = 2, /* no server at the address */
};

struct row {
	const char *name;
	int status;
	const char *body;
	enum order_answer answer; /* of an order */
	bool ok;		  /* of a role query */
	enum pool_role role;
};

static const struct row rows[] = {
	{"prefill", 200, "{\"role\": \"prefill\"}", ORDER_TAKEN, true,
	 POOL_PREFILL},
	{"decode", 200, "{\"role\": \"decode\"}", ORDER_TAKEN, true,
	 POOL_DECODE},
	{"other-role", 200, "{\"role\": \"idle\"}", ORDER_TAKEN, false, 0},
	{"no-role", 200, "{}", ORDER_TAKEN, false, 0},
	{"garbage", 200, "{", ORDER_TAKEN, false, 0},
	{"fenced", 409, "{\"role\": \"decode\"}", ORDER_FENCED, false, 0},
	{"malformed", 400, "{}", ORDER_REFUSED, false, 0},
	{"no-orders-here", 404, "{}", ORDER_REFUSED, false, 0},
	{"refused", 503, "{}", ORDER_REFUSED, false, 0},
	{"failed", 500, "{}", ORDER_LOST, false, 0},
	{"gateway", 502, "{}", ORDER_LOST, false, 0},
	{"cut", CUT, "", ORDER_LOST, false, 0},
	{"absent", ABSENT, "", ORDER_REFUSED, false, 0},
};

struct world {
	struct run run;
	struct entry entry;
	struct web_server *server;
	char *address;
	const struct row *row;
	GString *received;
	struct engine_role_call call;
	bool ended;
	bool ok;
	enum pool_role role;
	enum order_answer answer;
};

static void on_any(void *ctx, struct web_request *request)
{
	struct world *world = ctx;
	struct web_text path = web_request_path(request);
	struct web_text body = web_request_body(request);

	g_string_append_printf(world->received, "%.*s %.*s\n", (int)path.size,
			       path.data, (int)body.size, body.data);
	if (world->row->status != CUT) {
		web_reply(request, world->row->status, "application/json",
			  world->row->body, strlen(world->row->body));
		return;
	}
	web_reply_start(request, 200, "application/json");
	web_reply_piece(request, "{", 1);
	web_reply_abort(request);
}

static void role_done(void *ctx, bool ok, enum pool_role role)
{
	struct world *world = ctx;

	g_assert_false(world->ended);
	world->ended = true;
	world->ok = ok;
	world->role = role;
}

static void order_done(void *ctx, enum order_answer answer)
{
	struct world *world = ctx;

	g_assert_false(world->ended);
	world->ended = true;
	world->answer = answer;
}

static void world_setup(struct world *world, const struct row *row)
{
	static const struct web_limits limits = {
		.body_bytes = 1024,
		.connections = 16,
		.idle_usec = 5 * USEC_PER_SEC,
		.request_usec = 5 * USEC_PER_SEC,
	};

	*world = (struct world){.row = row};
	run_setup(&world->run);
	world->entry.client = web_client_create(world->run.loop);
	world->received = g_string_new(NULL);
	world->server = web_server_create(world->run.loop, "127.0.0.1:0",
					  &limits, NULL);
	world->address = g_strdup(web_server_address(world->server));
	web_server_handle(world->server, "/", on_any, world);
	world->call = (struct engine_role_call){
		.role = role_done,
		.order = order_done,
		.ctx = world,
	};
	if (row->status != ABSENT)
		return;
	web_server_destroy(world->server);
	world->server = NULL;
}

static void world_teardown(struct world *world)
{
	web_client_destroy(world->entry.client);
	web_server_destroy(world->server);
	g_string_free(world->received, TRUE);
	g_free(world->address);
	run_teardown(&world->run);
}

static bool ended(void *ctx)
{
	return ((const struct world *)ctx)->ended;
}

static void test_order(gconstpointer data)
{
	const struct row *row = data;
	struct world world;

	world_setup(&world, row);
	engine_role_order(&world.entry, world.address, POOL_DECODE, "lex", 7,
			  &world.call);
	g_assert_true(run_until(&world.run, ended, &world));
	g_assert_null(world.call.call);
	g_assert_cmpint(world.answer, ==, row->answer);
	if (row->status != ABSENT)
		g_assert_cmpstr(world.received->str, ==,
				"/orders {\"order\":\"role\",\"role\":"
				"\"decode\",\"pool\":\"lex\",\"fence\":7}\n");
	world_teardown(&world);
}

static void test_read(gconstpointer data)
{
	const struct row *row = data;
	struct world world;

	world_setup(&world, row);
	engine_role_read(&world.entry, world.address, &world.call);
	g_assert_true(run_until(&world.run, ended, &world));
	g_assert_null(world.call.call);
	g_assert_cmpint(world.ok, ==, row->ok);
	if (row->ok)
		g_assert_cmpint(world.role, ==, row->role);
	if (row->status != ABSENT)
		g_assert_cmpstr(world.received->str, ==, "/load \n");
	world_teardown(&world);
}

/* A cancelled call gives no callback. */
static void test_cancelled(void)
{
	struct world world;

	world_setup(&world, &rows[0]);
	engine_role_order(&world.entry, world.address, POOL_DECODE, "lex", 7,
			  &world.call);
	web_call_cancel(world.call.call);
	run_for(&world.run, 50 * USEC_PER_MSEC);
	g_assert_false(world.ended);
	world_teardown(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	ROWS_ADD("/engine-order/order/", rows, test_order);
	ROWS_ADD("/engine-order/read/", rows, test_read);
	g_test_add_func("/engine-order/cancelled", test_cancelled);
	return g_test_run();
}
