/* Callers that disconnect, over both protocols and at each stage of an answer.
 */
#include <string.h>
#include <unistd.h>

#include "h2.h"

enum disconnect {
	DISCONNECT_CLOSE,    /* closes the connection */
	DISCONNECT_SHUTDOWN, /* closes its sending side only */
	DISCONNECT_ABORT,    /* resets the connection */
	DISCONNECT_STREAM,   /* resets the stream; HTTP/2 only */
};

enum stage {
	STAGE_WAITING,	/* before the first byte of the answer */
	STAGE_STARTED,	/* after the first piece */
	STAGE_BLOCKED,	/* with more queued than the caller reads */
	STAGE_FOLLOWED, /* with a further request sent; HTTP/1 only */
	STAGE_ENDED,	/* after web_reply_end(), with data still queued */
};

struct gone_case {
	const char *name;
	int version;
	enum stage stage;
	enum disconnect how;
};

#define BOTH(name, stage, how)                                                 \
	{"1 " name, 1, stage, how},                                            \
	{                                                                      \
		"2 " name, 2, stage, how                                       \
	}

static const struct gone_case cases[] = {
	BOTH("waiting, close", STAGE_WAITING, DISCONNECT_CLOSE),
	BOTH("waiting, shutdown", STAGE_WAITING, DISCONNECT_SHUTDOWN),
	BOTH("waiting, abort", STAGE_WAITING, DISCONNECT_ABORT),
	BOTH("started, close", STAGE_STARTED, DISCONNECT_CLOSE),
	BOTH("started, shutdown", STAGE_STARTED, DISCONNECT_SHUTDOWN),
	BOTH("started, abort", STAGE_STARTED, DISCONNECT_ABORT),
	BOTH("blocked, close", STAGE_BLOCKED, DISCONNECT_CLOSE),
	BOTH("blocked, shutdown", STAGE_BLOCKED, DISCONNECT_SHUTDOWN),
	BOTH("blocked, abort", STAGE_BLOCKED, DISCONNECT_ABORT),
	BOTH("ended, close", STAGE_ENDED, DISCONNECT_CLOSE),
	BOTH("ended, abort", STAGE_ENDED, DISCONNECT_ABORT),
	{"1 followed, close", 1, STAGE_FOLLOWED, DISCONNECT_CLOSE},
	{"1 followed, abort", 1, STAGE_FOLLOWED, DISCONNECT_ABORT},
	{"2 waiting, reset", 2, STAGE_WAITING, DISCONNECT_STREAM},
	{"2 started, reset", 2, STAGE_STARTED, DISCONNECT_STREAM},
	{"2 blocked, reset", 2, STAGE_BLOCKED, DISCONNECT_STREAM},
};

struct held {
	struct web_request *request;
	int arrived;
	int gone;
};

static void on_gone(void *ctx)
{
	struct held *held = ctx;

	held->request = NULL;
	held->gone++;
}

static void hold(void *ctx, struct web_request *request)
{
	struct held *held = ctx;

	held->request = request;
	held->arrived++;
	web_request_on_gone(request, on_gone, held);
}

struct caller {
	int fd;
	struct h2 *h2; /* NULL for HTTP/1 */
	int32_t stream;
};

static void caller_open(struct caller *caller, struct world *world, int version)
{
	static const char text[] = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

	caller->fd = raw_connect(web_server_address(world->server));
	caller->h2 = NULL;
	if (version == 1) {
		raw_send(caller->fd, text, strlen(text));
		return;
	}
	caller->h2 = h2_create(caller->fd);
	caller->stream = h2_request(caller->h2, "GET", "/", 0);
}

static void caller_iterate(struct caller *caller, struct world *world,
			   int iterations)
{
	if (caller->h2)
		h2_iterate(world, caller->h2, iterations);
	else
		world_iterate(world, iterations);
}

static void caller_close(struct caller *caller)
{
	if (caller->h2)
		h2_destroy(caller->h2);
	else if (caller->fd >= 0)
		close(caller->fd);
}

static void caller_disconnect(struct caller *caller, struct world *world,
			      enum disconnect how)
{
	static const struct linger abortive = {.l_onoff = 1};

	switch (how) {
	case DISCONNECT_STREAM:
		h2_reset(caller->h2, caller->stream);
		h2_iterate(world, caller->h2, 10);
		return;
	case DISCONNECT_SHUTDOWN:
		shutdown(caller->fd, SHUT_WR);
		return;
	case DISCONNECT_ABORT:
		setsockopt(caller->fd, SOL_SOCKET, SO_LINGER, &abortive,
			   sizeof(abortive));
		break;
	case DISCONNECT_CLOSE:
		break;
	}
	caller_close(caller);
	caller->h2 = NULL;
	caller->fd = -1;
}

static void answer_to(struct held *held, struct caller *caller,
		      struct world *world, enum stage stage)
{
	static char large[16 << 20];

	switch (stage) {
	case STAGE_WAITING:
		return;
	case STAGE_FOLLOWED:
		raw_send(caller->fd, "GET /next HTTP/1.1\r\n", 20);
		break;
	case STAGE_STARTED:
		web_reply_start(held->request, 200, "text/plain");
		web_reply_piece(held->request, "some", 4);
		break;
	case STAGE_BLOCKED:
	case STAGE_ENDED:
		web_reply_start(held->request, 200, "text/plain");
		web_reply_piece(held->request, large, sizeof(large));
		break;
	}
	if (stage == STAGE_ENDED)
		web_reply_end(held->request);
	caller_iterate(caller, world, 20);
	if (stage == STAGE_BLOCKED)
		g_assert_cmpuint(web_reply_queued(held->request), >, 0);
}

/* Sends a request that the handler receives and does not answer. */
static void caller_hold(struct caller *caller, struct world *world, int version,
			const char *path, struct held *held)
{
	int arrived = held->arrived + 1;

	web_server_handle(world->server, path, hold, held);
	caller_open(caller, world, version);
	for (int i = 0; i < 1000 && held->arrived < arrived; i++)
		caller_iterate(caller, world, 1);
	g_assert_cmpint(held->arrived, ==, arrived);
}

/* Runs until no request is pending, advancing the clock so that the server's
 * sweep runs. */
static void pending_wait(struct world *world)
{
	for (int i = 0; i < 200 && web_server_pending(world->server); i++) {
		world_iterate(world, 5);
		clock_advance(world->clock,
			      clock_now(world->clock) + 50 * USEC_PER_MSEC);
	}
	g_assert_cmpuint(web_server_pending(world->server), ==, 0);
}

static void test_gone(struct world *world, gconstpointer data)
{
	const struct gone_case *c = data;
	struct held held = {0};
	struct caller caller = {.fd = -1};

	caller_hold(&caller, world, c->version, "/", &held);
	answer_to(&held, &caller, world, c->stage);
	g_assert_cmpint(held.gone, ==, 0);
	g_assert_cmpuint(web_server_pending(world->server), ==, 1);
	caller_disconnect(&caller, world, c->how);
	pending_wait(world);
	g_assert_cmpint(held.gone, ==, c->stage == STAGE_ENDED ? 0 : 1);
	g_assert_cmpint(held.arrived, ==, 1);
	caller_close(&caller);
	/* The server still accepts requests. */
	caller_hold(&caller, world, c->version, "/x", &held);
	caller_close(&caller);
	pending_wait(world);
}

/* A caller that keeps its connection open but reads nothing. */
static void test_slow(struct world *world, gconstpointer data)
{
	int version = GPOINTER_TO_INT(data);
	struct held held = {0};
	struct caller caller = {.fd = -1};

	caller_hold(&caller, world, version, "/", &held);
	answer_to(&held, &caller, world, STAGE_BLOCKED);
	for (int i = 0; i < 4; i++) {
		clock_advance(world->clock,
			      clock_now(world->clock) + USEC_PER_SEC);
		world_iterate(world, 5);
	}
	g_assert_cmpint(held.gone, ==, 0);
	clock_advance(world->clock, clock_now(world->clock) + 2 * USEC_PER_SEC);
	world_iterate(world, 5);
	g_assert_cmpint(held.gone, ==, 1);
	caller_close(&caller);
	pending_wait(world);
}

static void test_drain(struct world *world, gconstpointer data)
{
	int version = GPOINTER_TO_INT(data);
	struct held held = {0};
	struct caller caller = {.fd = -1};
	GString *got;

	caller_hold(&caller, world, version, "/", &held);
	web_server_drain(world->server);
	caller_iterate(&caller, world, 20);
	/* The pending request is answered, and the connection asked to close.
	 */
	g_assert_cmpint(held.gone, ==, 0);
	web_reply(held.request, 200, "text/plain", "last\n", 5);
	if (caller.h2) {
		h2_run(world, caller.h2, &caller.h2->closed, 1);
		g_assert_cmpstr(caller.h2->body->str, ==, "last\n");
		g_assert_true(caller.h2->goaway);
	} else {
		got = raw_read_until(world, caller.fd, NULL);
		g_assert_nonnull(strstr(got->str, "Connection: close"));
		g_assert_nonnull(strstr(got->str, "last\n"));
		g_string_free(got, TRUE);
	}
	caller_close(&caller);
	/* New connections are refused. */
	world_get(world, "GET", "/");
	g_assert_false(world->result.ok);
	g_assert_false(world->result.sent);
}

/* The server is destroyed while a request is pending. */
static void test_destroy(struct world *world, gconstpointer data)
{
	int version = GPOINTER_TO_INT(data);
	struct held held = {0};
	struct caller caller = {.fd = -1};

	caller_hold(&caller, world, version, "/", &held);
	web_server_destroy(world->server);
	world->server = NULL;
	g_assert_cmpint(held.gone, ==, 1);
	caller_close(&caller);
}

static void add(const char *name, gconstpointer data,
		void (*fn)(struct world *, gconstpointer))
{
	char *path = g_strdup_printf("/web/gone/%s", name);

	g_test_add(path, struct world, data, world_setup, fn, world_teardown);
	g_free(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		add(cases[i].name, &cases[i], test_gone);
	add("1 slow", GINT_TO_POINTER(1), test_slow);
	add("2 slow", GINT_TO_POINTER(2), test_slow);
	add("1 drain", GINT_TO_POINTER(1), test_drain);
	add("2 drain", GINT_TO_POINTER(2), test_drain);
	add("1 destroy", GINT_TO_POINTER(1), test_destroy);
	add("2 destroy", GINT_TO_POINTER(2), test_destroy);
	return g_test_run();
}
