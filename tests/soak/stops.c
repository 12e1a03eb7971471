/* Planned stops in series, under callers that use their connections until the
 * process is gone. No process is killed and no server fails, so a request that
 * has run must be answered. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

#define CONNECTIONS (60 * INSTANCES)
#define TICK_USEC (2 * USEC_PER_MSEC)
#define CONNECT_PAUSE_USEC (50 * USEC_PER_MSEC)
/* Longer than an instance takes to stop. */
#define IDLE_MAX_MSEC 3200
/* Time after which the second half of a request is sent. */
#define HALF_MAX_MSEC 3500
#define HALF_SHARE 0.2
#define SIGNAL_MIN_MSEC 100
#define SIGNAL_MAX_MSEC 700
#define STOP_SHARE 0.5
#define ANSWER_MAX 4096

enum connection_state {
	CONNECTION_CLOSED,
	CONNECTION_IDLE,
	CONNECTION_HALF, /* a part of a request was sent */
	CONNECTION_SENT,
};

struct connection {
	const struct instance *instance;
	int fd;
	enum connection_state state;
	int64_t due_at; /* of the next step */
	struct kept_call *call;
	char request[512];
	size_t sent;
	char answer[ANSWER_MAX];
	size_t size;
};

struct kept_call {
	char id[32];
	bool once;
	int status; /* 0: closed without a whole answer */
};

struct stops {
	struct soak *soak;
	GRand *rand;
	struct timer tick;
	struct timer signals;
	struct connection connections[CONNECTIONS];
	GPtrArray *calls;
	uint32_t stops;
};

static const struct {
	const char *method;
	const char *path;
	const char *prompt;
	bool once;
} kinds[] = {
	{"GET", "/plain/k", "", false},
	{"POST", "/once/k", "", true},
	{"POST", "/stream/k", "token-count: 100,50\r\n", true},
};

static int64_t msec_draw(struct stops *stops, int min, int max)
{
	return g_rand_int_range(stops->rand, min, max) * USEC_PER_MSEC;
}

static int64_t now_of(const struct stops *stops)
{
	return clock_now(stops->soak->clock);
}

static void connection_close(struct stops *stops, struct connection *connection)
{
	close(connection->fd);
	connection->state = CONNECTION_CLOSED;
	connection->due_at = now_of(stops) + CONNECT_PAUSE_USEC;
	connection->call = NULL;
}

static void connection_rest(struct stops *stops, struct connection *connection)
{
	connection->state = CONNECTION_IDLE;
	connection->due_at = now_of(stops) + msec_draw(stops, 0, IDLE_MAX_MSEC);
	connection->call = NULL;
}

static void connection_open(struct stops *stops, struct connection *connection)
{
	const char *address = connection->instance->address;
	const char *colon = strchr(address, ':');
	g_autofree char *ip = g_strndup(address, (gsize)(colon - address));
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((in_port_t)atoi(colon + 1)),
	};

	inet_pton(AF_INET, ip, &to.sin_addr);
	connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(connection->fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		connection_rest(stops, connection);
	else
		connection_close(stops, connection);
}

static void part_send(struct connection *connection, size_t size)
{
	(void)send(connection->fd, connection->request + connection->sent, size,
		   MSG_NOSIGNAL);
	connection->sent += size;
}

static void request_send(struct stops *stops, struct connection *connection)
{
	int kind = g_rand_int_range(stops->rand, 0, G_N_ELEMENTS(kinds));
	struct kept_call *call = g_new0(struct kept_call, 1);
	size_t size;

	(void)g_snprintf(call->id, sizeof(call->id), "acme.k%u",
			 stops->calls->len);
	call->once = kinds[kind].once;
	size = (size_t)g_snprintf(
		connection->request, sizeof(connection->request),
		"%s %s HTTP/1.1\r\nhost: site.example\r\nrequest-id: %s\r\n"
		"deadline-ms: 5000\r\nauthorization: Token ka\r\n%s"
		"content-length: 2\r\n\r\n{}",
		kinds[kind].method, kinds[kind].path, call->id,
		kinds[kind].prompt);
	g_ptr_array_add(stops->calls, call);
	connection->call = call;
	connection->sent = 0;
	connection->size = 0;
	connection->answer[0] = '\0';
	if (g_rand_double(stops->rand) < HALF_SHARE) {
		part_send(connection, (size_t)g_rand_int_range(stops->rand, 1,
							       (gint32)size));
		connection->state = CONNECTION_HALF;
		connection->due_at =
			now_of(stops) + msec_draw(stops, 0, HALF_MAX_MSEC);
		return;
	}
	part_send(connection, size);
	connection->state = CONNECTION_SENT;
}

static void rest_send(struct connection *connection)
{
	part_send(connection, strlen(connection->request) - connection->sent);
	connection->state = CONNECTION_SENT;
}

static bool answer_is_whole(const struct connection *connection)
{
	const char *end = strstr(connection->answer, "\r\n\r\n");
	const char *length =
		strcasestr(connection->answer, "\r\ncontent-length:");

	if (!end)
		return false;
	if (!length || length > end)
		return g_str_has_suffix(connection->answer, "\r\n0\r\n\r\n");
	return connection->size >= (size_t)(end + 4 - connection->answer) +
					   strtoul(length + 17, NULL, 10);
}

/* Reads what has arrived; false when the connection has ended. */
static bool answer_read(struct connection *connection)
{
	ssize_t n = recv(connection->fd, connection->answer + connection->size,
			 sizeof(connection->answer) - 1 - connection->size,
			 MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (n <= 0)
		return false;
	connection->size += (size_t)n;
	connection->answer[connection->size] = '\0';
	return true;
}

static void connection_read(struct stops *stops, struct connection *connection)
{
	bool is_open = answer_read(connection);

	if (connection->call && answer_is_whole(connection)) {
		connection->call->status =
			atoi(connection->answer + strlen("HTTP/1.1 "));
		if (strcasestr(connection->answer, "connection: close"))
			connection_close(stops, connection);
		else
			connection_rest(stops, connection);
	} else if (!is_open) {
		connection_close(stops, connection);
	}
}

static void connection_tick(struct stops *stops, struct connection *connection)
{
	if (connection->state != CONNECTION_CLOSED)
		connection_read(stops, connection);
	if (connection->state == CONNECTION_SENT ||
	    now_of(stops) < connection->due_at)
		return;
	if (connection->state == CONNECTION_CLOSED)
		connection_open(stops, connection);
	else if (connection->state == CONNECTION_HALF)
		rest_send(connection);
	else if (now_of(stops) < stops->soak->end_at)
		request_send(stops, connection);
}

static void on_tick(struct timer *timer, void *ctx)
{
	struct stops *stops = ctx;

	for (int i = 0; i < CONNECTIONS; i++)
		connection_tick(stops, &stops->connections[i]);
	timer_start(timer, TICK_USEC);
}

static void config_write(struct stops *stops)
{
	struct soak *soak = stops->soak;
	g_autofree char *body = NULL;

	soak->version++;
	body = g_strdup_printf("{\"version\":%d,\"extra\":\"/v%d/\"}",
			       (int)soak->version, (int)soak->version);
	site_post(soak, "/site/config", body);
}

static void on_signal_due(struct timer *timer, void *ctx)
{
	struct stops *stops = ctx;
	struct soak *soak = stops->soak;
	struct instance *instance =
		&soak->instances[g_rand_int_range(stops->rand, 0, INSTANCES)];

	if (now_of(stops) >= soak->end_at)
		return;
	if (g_rand_double(stops->rand) < STOP_SHARE) {
		stops->stops += instance->pid > 0 && !instance->stopping;
		instance->stopping = instance->pid > 0;
		instance_signal(instance, SIGTERM);
	} else if (g_rand_boolean(stops->rand)) {
		instance->reloaded = true;
		instance_signal(instance, SIGHUP);
	} else {
		config_write(stops);
	}
	timer_start(timer, msec_draw(stops, SIGNAL_MIN_MSEC, SIGNAL_MAX_MSEC));
}

struct stops *stops_start(struct soak *soak, uint32_t seed)
{
	struct stops *stops = g_new0(struct stops, 1);

	stops->soak = soak;
	stops->rand = g_rand_new_with_seed(seed);
	stops->calls = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < CONNECTIONS; i++)
		stops->connections[i].instance =
			&soak->instances[i % INSTANCES];
	timer_init(&stops->tick, soak->clock, on_tick, stops);
	timer_init(&stops->signals, soak->clock, on_signal_due, stops);
	timer_start(&stops->tick, 0);
	timer_start(&stops->signals, 0);
	return stops;
}

static void call_check(struct soak *soak, const struct kept_call *call)
{
	g_autofree char *path = g_strdup_printf("/site/ledger?id=%s", call->id);
	int64_t runs = site_call(soak, "GET", path, NULL, "of_id");

	if (runs > 0 && call->status == 0)
		soak_fail(soak, "%s: ran and is not answered", call->id);
	if (runs > 1 && call->once)
		soak_fail(soak, "%s: ran %d times", call->id, (int)runs);
	if (runs > 0 && (call->status == 503 || call->status == 429))
		soak_fail(soak, "%s: refused as not run, and ran", call->id);
}

/* All calls are over by then, answered or closed. */
static void connection_end(struct stops *stops, struct connection *connection)
{
	if (connection->state == CONNECTION_SENT)
		soak_fail(stops->soak, "%s: never ended", connection->call->id);
	if (connection->state != CONNECTION_CLOSED)
		close(connection->fd);
}

void stops_check(struct stops *stops)
{
	uint32_t whole = 0;
	uint32_t refused = 0;
	uint32_t unanswered = 0;

	timer_stop(&stops->tick);
	for (guint i = 0; i < stops->calls->len; i++) {
		const struct kept_call *call = stops->calls->pdata[i];

		whole += call->status == 200;
		refused += call->status == 503 || call->status == 429;
		unanswered += call->status == 0;
		call_check(stops->soak, call);
	}
	printf("  %u stops, %u calls on kept connections, %u served, %u "
	       "refused, %u closed unread\n",
	       stops->stops, stops->calls->len, whole, refused, unanswered);
	for (int i = 0; i < CONNECTIONS; i++)
		connection_end(stops, &stops->connections[i]);
	g_ptr_array_unref(stops->calls);
	g_rand_free(stops->rand);
	g_free(stops);
}
