/*
 * An instance that connects to servers on behalf of another one: what it
 * answers when servers are up, refuse, or are silent, and its own links work or
 * do not.
 */
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/error.h"
#include "forward/relay.h"
#include "forward/relay_server.h"
#include "web/client.h"

#define SILENT_CONNECTIONS 4

struct site {
	struct clock *clock;
	struct loop *loop;
	struct web_client *client;
	struct web_server *peers; /* of the instance that connects */
	struct web_server *server;
	struct fleet *fleet;
	struct counter_set *counters;
	GRand *rand;
	struct relay_server *relays;
	int silent; /* a listener that accepts nothing */
	int silent_fds[SILENT_CONNECTIONS];
	char silent_address[32];
	struct web_result result;
	int status;
	int vouched;
	bool done;
};

static void on_done(void *ctx, const struct web_result *result)
{
	struct site *site = ctx;

	site->result = *result;
	site->done = true;
}

static void on_head(void *ctx, int status, const struct web_header *headers,
		    size_t count)
{
	struct site *site = ctx;

	site->status = status;
}

static void on_iteration(void *ctx, int64_t gap_usec)
{
	struct site *site = ctx;

	if (site->done)
		loop_stop(site->loop);
}

static void hello(void *ctx, struct web_request *request)
{
	web_reply(request, 200, NULL, "hello", 5);
}

static void silent_open(struct site *site)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(to);

	site->silent = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(site->silent, (struct sockaddr *)&to, size), ==,
			0);
	g_assert_cmpint(listen(site->silent, 0), ==, 0);
	getsockname(site->silent, (struct sockaddr *)&to, &size);
	for (int i = 0; i < SILENT_CONNECTIONS; i++) {
		site->silent_fds[i] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(site->silent_fds[i], (struct sockaddr *)&to,
			      size);
	}
	(void)g_snprintf(site->silent_address, sizeof(site->silent_address),
			 "127.0.0.1:%d", ntohs(to.sin_port));
}

static void server_put(struct site *site, const char *id, const char *address)
{
	struct backend_info info = {.service = 1, .slots = 8};

	g_strlcpy(info.id, id, sizeof(info.id));
	g_strlcpy(info.address, address, sizeof(info.address));
	g_strlcpy(info.data_centre, "here", sizeof(info.data_centre));
	g_assert_nonnull(fleet_put(site->fleet, &info));
}

static void site_setup(struct site *site, gconstpointer data)
{
	static const struct web_limits limits = {
		.body_bytes = 1 << 20,
		.connections = 64,
		.idle_usec = 5 * USEC_PER_SEC,
		.request_usec = 5 * USEC_PER_SEC,
	};
	struct error err;

	alarm(120);
	memset(site, 0, sizeof(*site));
	site->clock = clock_create_system();
	site->loop = loop_create(site->clock);
	loop_on_iteration(site->loop, on_iteration, site);
	site->client = web_client_create(site->loop);
	site->server =
		web_server_create(site->loop, "127.0.0.1:0", &limits, &err);
	site->peers =
		web_server_create(site->loop, "127.0.0.1:0", &limits, &err);
	web_server_handle(site->server, "/", hello, NULL);
	site->fleet = fleet_create(site->clock, "here");
	site->counters = counter_set_create();
	site->rand = g_rand_new_with_seed((guint32)g_test_rand_int());
	site->relays = relay_server_create(site->loop, site->fleet,
					   site->counters, site->rand);
	web_server_handle(site->peers, RELAY_PATH, relay_server_handle,
			  site->relays);
	silent_open(site);
}

static void site_teardown(struct site *site, gconstpointer data)
{
	web_client_destroy(site->client);
	web_server_destroy(site->peers);
	relay_server_destroy(site->relays);
	web_server_destroy(site->server);
	fleet_destroy(site->fleet);
	counter_set_destroy(site->counters);
	g_rand_free(site->rand);
	loop_destroy(site->loop);
	clock_destroy(site->clock);
	for (int i = 0; i < SILENT_CONNECTIONS; i++)
		close(site->silent_fds[i]);
	close(site->silent);
}

static struct web_call *call_path(struct site *site, const char *path)
{
	static const struct web_call_ops ops = {on_head, NULL, on_done};
	const struct web_call_spec spec = {
		.address = web_server_address(site->server),
		.method = "GET",
		.path = "/",
		.connect_usec = USEC_PER_SEC,
		.relay = web_server_address(site->peers),
		.relay_path = path,
	};

	site->done = false;
	return web_call(site->client, &spec, &ops, site);
}

static struct web_call *call(struct site *site, const char *id)
{
	const struct backend *backend = fleet_find_id(site->fleet, id);
	char path[RELAY_PATH_MAX];

	relay_path_print(backend->key, false, path);
	return call_path(site, path);
}

/* The status of the relay's answer. */
static int relay_status(struct site *site, const char *id)
{
	call(site, id);
	loop_run(site->loop);
	g_assert_true(site->result.sent == (site->result.relay_status == 101));
	return site->result.relay_status;
}

static void refused_put(struct site *site, const char *id)
{
	server_put(site, id, "127.0.0.1:1");
}

static void up_put(struct site *site, const char *id)
{
	server_put(site, id, web_server_address(site->server));
}

static void test_up(struct site *site, gconstpointer data)
{
	up_put(site, "up");
	g_assert_cmpint(relay_status(site, "up"), ==, 101);
	g_assert_true(site->result.ok);
	g_assert_cmpint(site->status, ==, 200);
}

/* Its own links work: it has connected to another server. */
static void test_vouched(struct site *site, gconstpointer data)
{
	up_put(site, "up");
	refused_put(site, "refused");
	g_assert_cmpint(relay_status(site, "refused"), ==, RELAY_REFUSED);
	server_put(site, "silent", site->silent_address);
	g_assert_cmpint(relay_status(site, "silent"), ==, RELAY_TIMED_OUT);
	/* Known from now on; it is not tried again at once. */
	g_assert_cmpint(relay_status(site, "refused"), ==, RELAY_NO_LINK);
	g_assert_cmpuint(relay_server_count(site->relays), ==, 0);
}

static void server_forget(struct site *site, const char *id)
{
	fleet_remove(site->fleet, id);
}

/* Asked whether a server has crashed, it does not answer from its own lost link
 * to the server: all instances that were connected to a crashed one lost it. */
static void test_crash_confirmed(struct site *site, gconstpointer data)
{
	char path[RELAY_PATH_MAX];

	up_put(site, "up");
	refused_put(site, "refused");
	backend_unreachable(fleet_find_id(site->fleet, "refused"),
			    clock_now(site->clock));
	relay_path_print(fleet_find_id(site->fleet, "refused")->key, true,
			 path);
	call_path(site, path);
	loop_run(site->loop);
	g_assert_cmpint(site->result.relay_status, ==, RELAY_REFUSED);
}

/* One of the other servers has just crashed, which is not known yet. */
static void test_other_crashed(struct site *site, gconstpointer data)
{
	up_put(site, "up0");
	up_put(site, "up1");
	for (int i = 0; i < 40; i++) {
		refused_put(site, "other");
		refused_put(site, "refused");
		g_assert_cmpint(relay_status(site, "refused"), ==,
				RELAY_REFUSED);
		server_forget(site, "other");
		server_forget(site, "refused");
	}
}

/* Crashed servers, though many, are no evidence about its links. */
static void test_known_crashed(struct site *site, gconstpointer data)
{
	up_put(site, "up");
	for (int i = 0; i < 5; i++) {
		g_autofree char *id = g_strdup_printf("crashed%d", i);

		refused_put(site, id);
		backend_set_crashed(fleet_find_id(site->fleet, id));
		g_assert_cmpint(relay_status(site, id), ==, RELAY_REFUSED);
	}
	g_assert_false(fleet_links_lost(site->fleet));
	refused_put(site, "refused");
	g_assert_cmpint(relay_status(site, "refused"), ==, RELAY_REFUSED);
}

/* It reaches one server of four, whichever it tries first. */
static void test_most_lost(struct site *site, gconstpointer data)
{
	up_put(site, "up");
	for (int i = 0; i < 40; i++) {
		refused_put(site, "other0");
		refused_put(site, "other1");
		refused_put(site, "refused");
		if (relay_status(site, "refused") == RELAY_REFUSED)
			site->vouched++;
		server_forget(site, "other0");
		server_forget(site, "other1");
		server_forget(site, "refused");
	}
	/* A third: those where the reached one is tried first. */
	g_assert_cmpint(site->vouched, <, 28);
}

/* It cannot connect to the other server, either. */
static void test_not_vouched(struct site *site, gconstpointer data)
{
	refused_put(site, "refused");
	refused_put(site, "other");
	g_assert_cmpint(relay_status(site, "refused"), ==, RELAY_NO_LINK);
	server_put(site, "silent", site->silent_address);
	g_assert_cmpint(relay_status(site, "silent"), ==, RELAY_NO_LINK);
}

static void test_not_relayed(struct site *site, gconstpointer data)
{
	static const char *const paths[] = {
		RELAY_PATH "0123456789abcdef", RELAY_PATH, RELAY_PATH "x",
		RELAY_PATH "0123456789abcdef0", RELAY_PATH "-1"};

	up_put(site, "up");
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		call_path(site, paths[i]);
		loop_run(site->loop);
		g_assert_false(site->result.sent);
		g_assert_cmpint(site->result.relay_status, ==, RELAY_NO_LINK);
	}
	relay_server_drain(site->relays);
	g_assert_cmpint(relay_status(site, "up"), ==, RELAY_UNAVAILABLE);
}

/* An instance that is cut off itself asks nobody to wait for it. */
static void test_cut_off(struct site *site, gconstpointer data)
{
	up_put(site, "up");
	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("lost%d", i);

		refused_put(site, id);
		backend_unreachable(fleet_find_id(site->fleet, id),
				    clock_now(site->clock));
	}
	g_assert_cmpint(relay_status(site, "up"), ==, RELAY_UNAVAILABLE);
}

/* The instance that asks gives up at any moment. */
static void test_gone(struct site *site, gconstpointer data)
{
	static const char *const ids[] = {"up", "refused", "silent"};

	for (int i = 0; i < 300; i++) {
		struct web_call *pending;

		/* New incarnations, whose state is not known. */
		up_put(site, "up");
		refused_put(site, "refused");
		server_put(site, "silent", site->silent_address);
		pending = call(site, ids[g_test_rand_int_range(0, 3)]);
		for (int j = g_test_rand_int_range(0, 200);
		     j > 0 && !site->done; j--) {
			loop_run_h2o(site->loop, 1);
			clock_follow(site->clock);
		}
		if (!site->done)
			web_call_cancel(pending);
		for (const char *const *id = ids; id < ids + 3; id++)
			fleet_remove(site->fleet, *id);
	}
	for (int j = 0; j < 200; j++) {
		loop_run_h2o(site->loop, 1);
		clock_follow(site->clock);
	}
	g_assert_cmpuint(relay_server_count(site->relays), ==, 0);
}

#define TEST(name, fn)                                                         \
	g_test_add("/forward/relay-server/" name, struct site, NULL,           \
		   site_setup, fn, site_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	TEST("up", test_up);
	TEST("vouched", test_vouched);
	TEST("crash-confirmed", test_crash_confirmed);
	TEST("other-crashed", test_other_crashed);
	TEST("known-crashed", test_known_crashed);
	TEST("most-lost", test_most_lost);
	TEST("not-vouched", test_not_vouched);
	TEST("not-relayed", test_not_relayed);
	TEST("cut-off", test_cut_off);
	TEST("gone", test_gone);
	return g_test_run();
}
