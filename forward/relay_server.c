#include "forward/relay_server.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "forward/relay.h"
#include "web/relay.h"

/* Half of the connections that an instance accepts from others; each takes two
 * descriptors. */
#define RELAYS_MAX 384u
/* Shorter than the time-out of the instance that asks. */
#define CONNECT_USEC (100 * USEC_PER_MSEC)
/* A connection inside the site takes 1 to 5 ms. If it takes this long, the own
 * links are checked at the same time, so that the answer is not late. */
#define CHECK_DELAY_USEC (30 * USEC_PER_MSEC)
/* Servers considered in search of one for the check of the own links. */
#define CHECK_TRIES 16u
/* Servers connected to in that check, of which a majority must be reached: one
 * alone may have just crashed. */
#define CHECK_SERVERS_MAX 3u

struct relay_server {
	struct loop *loop;
	struct fleet *fleet;
	GRand *rand;
	struct web_relays *relays;
	GQueue attempts; /* struct attempt */
	struct counter *joined;
	struct counter *refused;
	bool draining;
};

/* Connections to other servers, one after the other, which tell whether the own
 * links work. */
struct links_check {
	struct web_connect *connect;
	uint64_t key; /* of the other server */
	uint32_t refused;
	uint32_t connected;
	bool done;
};

/* A request until its connection is made or refused. */
struct attempt {
	struct relay_server *server;
	GList link;
	struct web_request *request;
	struct web_connect *connect; /* NULL once it has failed */
	uint64_t key;		     /* of the server that is connected to */
	enum relay_status status;    /* if the own links work */
	struct links_check check;
	struct timer check_timer;
};

void relay_path_print(uint64_t server, bool confirm, char path[RELAY_PATH_MAX])
{
	(void)snprintf(path, RELAY_PATH_MAX, RELAY_PATH "%016" PRIx64 "%s",
		       server, confirm ? "?" RELAY_CONFIRM : "");
}

struct relay_server *relay_server_create(struct loop *loop, struct fleet *fleet,
					 struct counter_set *counters,
					 GRand *rand)
{
	struct relay_server *server = g_new0(struct relay_server, 1);

	server->loop = loop;
	server->fleet = fleet;
	server->rand = rand;
	server->relays = web_relays_create(loop);
	server->joined = counter_get(counters, "jt_relayed_total",
				     "Connections made for other instances",
				     "result=\"joined\"");
	server->refused = counter_get(counters, "jt_relayed_total", "",
				      "result=\"refused\"");
	return server;
}

static void attempt_free(struct attempt *attempt)
{
	timer_stop(&attempt->check_timer);
	if (attempt->connect)
		web_connect_cancel(attempt->connect);
	if (attempt->check.connect)
		web_connect_cancel(attempt->check.connect);
	g_queue_unlink(&attempt->server->attempts, &attempt->link);
	g_free(attempt);
}

void relay_server_destroy(struct relay_server *server)
{
	struct attempt *attempt;

	if (!server)
		return;
	while ((attempt = g_queue_peek_head(&server->attempts)))
		attempt_free(attempt);
	web_relays_destroy(server->relays);
	g_free(server);
}

void relay_server_drain(struct relay_server *server)
{
	server->draining = true;
}

uint32_t relay_server_count(const struct relay_server *server)
{
	return web_relays_count(server->relays) + server->attempts.length;
}

static void request_refuse(struct relay_server *server,
			   struct web_request *request,
			   enum relay_status status)
{
	server->refused->value++;
	web_reply(request, (int)status, "text/plain", "not relayed\n", 12);
}

static void attempt_refuse(struct attempt *attempt, enum relay_status status)
{
	const struct backend *backend =
		fleet_find(attempt->server->fleet, attempt->key);

	log_event(LOG_INFO, "relay_refused",
		  LOG_S("backend", backend ? backend->info.id : ""),
		  LOG_D("status", status));
	request_refuse(attempt->server, attempt->request, status);
	attempt_free(attempt);
}

static void connected_record(const struct relay_server *server, uint64_t key)
{
	struct backend *backend = fleet_find(server->fleet, key);

	if (backend)
		backend_reached(backend);
}

static void unconnected_record(const struct relay_server *server, uint64_t key)
{
	struct backend *backend = fleet_find(server->fleet, key);

	if (backend)
		backend_unreachable(backend,
				    clock_now(loop_clock(server->loop)));
}

/* Another server that this instance should be able to connect to; NULL when
 * none was found. */
static const struct backend *other_server(const struct attempt *attempt)
{
	const struct relay_server *server = attempt->server;
	const GPtrArray *all = fleet_all(server->fleet);
	guint start = (guint)g_rand_int_range(server->rand, 0,
					      (gint32)MAX(all->len, 1));

	for (guint i = 0; i < MIN(all->len, CHECK_TRIES); i++) {
		const struct backend *backend =
			all->pdata[(start + i) % all->len];

		if (backend->key != attempt->key &&
		    backend->key != attempt->check.key && !backend->crashed &&
		    backend->direct.failures == 0 &&
		    !backend_withdrawn(backend))
			return backend;
	}
	return NULL;
}

/* Answers once both the connection has failed and the own links are checked. */
static void attempt_settle(struct attempt *attempt)
{
	bool vouched = attempt->check.connected > attempt->check.refused &&
		       !fleet_links_lost(attempt->server->fleet);

	if (!attempt->connect && attempt->check.done)
		attempt_refuse(attempt,
			       vouched ? attempt->status : RELAY_NO_LINK);
}

static void on_checked(void *ctx, enum web_connect_result result,
		       struct web_connection *connection);

static bool is_majority(uint32_t count)
{
	return count > CHECK_SERVERS_MAX / 2;
}

/* A connection that hangs leaves no time for another. */
static bool links_check_settled(const struct links_check *check,
				enum web_connect_result result)
{
	return result == WEB_CONNECT_TIMED_OUT || is_majority(check->refused) ||
	       check->connected > check->refused;
}

static void links_check_next(struct attempt *attempt)
{
	const struct backend *backend = other_server(attempt);

	if (!backend) {
		attempt->check.done = true;
		return;
	}
	attempt->check.key = backend->key;
	attempt->check.connect =
		web_connect(attempt->server->loop, backend->info.address,
			    CONNECT_USEC, on_checked, attempt);
}

static void on_checked(void *ctx, enum web_connect_result result,
		       struct web_connection *connection)
{
	struct attempt *attempt = ctx;
	struct links_check *check = &attempt->check;

	check->connect = NULL;
	if (connection) {
		web_connection_close(connection);
		connected_record(attempt->server, check->key);
		check->connected++;
	} else {
		unconnected_record(attempt->server, check->key);
		check->refused++;
	}
	if (links_check_settled(check, result))
		check->done = true;
	else
		links_check_next(attempt);
	attempt_settle(attempt);
}

/* A failed connection may also mean that this instance has lost its own links,
 * which connections to other servers tell apart. */
static void links_check_start(struct attempt *attempt)
{
	if (!attempt->check.connect && !attempt->check.done)
		links_check_next(attempt);
}

static void on_check_timer(struct timer *timer, void *ctx)
{
	links_check_start(ctx);
}

static void on_connected(void *ctx, enum web_connect_result result,
			 struct web_connection *connection)
{
	struct attempt *attempt = ctx;
	struct relay_server *server = attempt->server;

	attempt->connect = NULL;
	if (!connection) {
		unconnected_record(server, attempt->key);
		attempt->status = result == WEB_CONNECT_REFUSED
					  ? RELAY_REFUSED
					  : RELAY_TIMED_OUT;
		links_check_start(attempt);
		attempt_settle(attempt);
		return;
	}
	connected_record(server, attempt->key);
	server->joined->value++;
	web_relay_join(server->relays, attempt->request, connection);
	attempt_free(attempt);
}

static void on_gone(void *ctx)
{
	attempt_free(ctx);
}

/* The server named by the path; NULL when it is not listed. */
static const struct backend *request_server(const struct relay_server *server,
					    const struct web_request *request)
{
	struct web_text path = web_request_path(request);
	size_t prefix = strlen(RELAY_PATH);
	g_autofree char *text = NULL;
	guint64 key;

	if (path.size <= prefix)
		return NULL;
	text = g_strndup(path.data + prefix, path.size - prefix);
	if (!g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, &key, NULL))
		return NULL;
	return fleet_find(server->fleet, key);
}

static void attempt_start(struct relay_server *server,
			  const struct backend *backend,
			  struct web_request *request)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->server = server;
	attempt->link.data = attempt;
	attempt->request = request;
	attempt->key = backend->key;
	g_queue_push_tail_link(&server->attempts, &attempt->link);
	web_request_on_gone(request, on_gone, attempt);
	timer_init(&attempt->check_timer, loop_clock(server->loop),
		   on_check_timer, attempt);
	timer_start(&attempt->check_timer, CHECK_DELAY_USEC);
	attempt->connect = web_connect(server->loop, backend->info.address,
				       CONNECT_USEC, on_connected, attempt);
}

void relay_server_handle(void *ctx, struct web_request *request)
{
	struct relay_server *server = ctx;
	const struct backend *backend = request_server(server, request);
	bool confirm = web_text_is(web_request_query(request), RELAY_CONFIRM);

	if (server->draining || fleet_cut_off(server->fleet) ||
	    relay_server_count(server) >= RELAYS_MAX)
		request_refuse(server, request, RELAY_UNAVAILABLE);
	else if (!backend || !web_relay_requested(request) ||
		 (!confirm && backend_link_lost(backend)))
		request_refuse(server, request, RELAY_NO_LINK);
	else
		attempt_start(server, backend, request);
}
