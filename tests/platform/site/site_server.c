/* A backend server: plain, prefill or decode. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "common/log.h"
#include "site.h"

#define PLAIN_USEC (5 * USEC_PER_MSEC)
#define RESERVATION_TTL_USEC (2 * USEC_PER_SEC)
#define RESULT_TTL_USEC (500 * USEC_PER_MSEC)
#define FIRST_STARTED_MS 1000
#define RESTART_USEC (500 * USEC_PER_MSEC)

/* A request in progress. */
struct run {
	struct server *server;
	struct web_request *request;
	struct timer timer;
	enum fault fault;
	uint64_t event; /* last one sent */
	bool stream;
	bool started;
	bool unframed;		   /* its answer */
	char version[VERSION_MAX]; /* that has begun it */
};

static const char *const stage_names[] = {"none", "prefill", "decode"};

void server_heartbeat(struct server *server)
{
	g_autofree char *value = NULL;

	if (server->gone) {
		store_put(server->site, "keyed.servers", server->id, NULL);
		return;
	}
	value = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"here\","
		"\"slots\":8,\"state\":\"%s\",%s%s%s%s%s%s\"born\":%" PRId64
		",\"sequence\":%d}",
		server->stage == STAGE_PLAIN ? "plain" : "model",
		web_server_address(server->web),
		server->draining ? "draining" : "ready",
		server->stage == STAGE_PLAIN ? "" : "\"stage\":\"",
		server->stage == STAGE_PLAIN ? "" : stage_names[server->stage],
		server->stage == STAGE_PLAIN ? "" : "\",",
		server->version[0] ? "\"version\":\"" : "", server->version,
		server->version[0] ? "\"," : "", server->started_ms,
		(int)++server->heartbeats);
	store_put(server->site, "keyed.servers", server->id, value);
}

static char *header_copy(struct web_request *request, const char *name)
{
	struct web_text text = web_request_header(request, name);

	return text.data ? g_strndup(text.data, text.size) : NULL;
}

static void echo(struct web_request *request)
{
	g_autofree char *id = header_copy(request, "request-id");

	if (id)
		web_reply_header(request, "request-id", id);
}

static void refuse(struct server *server, struct web_request *request,
		   int status, const char *text)
{
	echo(request);
	if (status != 421)
		signals_add_headers(server, request);
	web_reply_header(request, "not-executed", "1");
	web_reply(request, status, "text/plain", text, strlen(text));
}

static void run_end(struct run *run)
{
	run->server->running--;
	timer_stop(&run->timer);
	g_free(run);
}

static void on_gone(void *ctx)
{
	run_end(ctx);
}

/* Checks that the organisation header names the expected tenant, and counts
 * forwarded keys. */
static void organisation_check(struct site *site, struct web_request *request)
{
	g_autofree char *id = header_copy(request, "request-id");
	const struct web_header *headers;
	size_t count = web_request_headers(request, &headers);
	g_autofree char *expected = NULL;
	uint32_t named = 0;

	if (!site->tenants || !id)
		return;
	expected = g_strndup(id, strcspn(id, "."));
	for (size_t i = 0; i < count; i++) {
		site->ledger.secrets +=
			web_text_is(headers[i].name, "authorization");
		if (!web_text_is(headers[i].name, "tenant"))
			continue;
		named++;
		site->ledger.wrong_tenants +=
			!web_text_is(headers[i].value, expected);
	}
	site->ledger.wrong_tenants +=
		named != (strcmp(expected, "nobody") != 0);
}

static void units_count(struct site *site, struct web_request *request)
{
	char *name = header_copy(request, "tenant");
	g_autofree char *tokens = header_copy(request, "token-count");
	const char *comma = tokens ? strchr(tokens, ',') : NULL;
	int units = comma ? atoi(tokens) + atoi(comma + 1) : 0;

	if (!name)
		return;
	units += GPOINTER_TO_INT(g_hash_table_lookup(site->ledger.units, name));
	g_hash_table_replace(site->ledger.units, name, GINT_TO_POINTER(units));
}

static void run_count(struct server *server, struct web_request *request)
{
	struct ledger *ledger = &server->site->ledger;
	char *id = header_copy(request, "request-id");
	guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(ledger->runs, id));

	ledger->total++;
	ledger->repeats += runs > 0;
	g_hash_table_replace(ledger->runs, id, GUINT_TO_POINTER(runs + 1));
}

static void sign(struct run *run)
{
	echo(run->request);
	run->unframed = run->server->unframed;
	if (run->unframed)
		answer_unframe(run->request);
	signals_add_headers(run->server, run->request);
	if (run->fault != FAULT_UNSIGNED)
		web_reply_header(run->request, "server-signature",
				 run->server->name);
}

static void plain_answer(struct run *run)
{
	struct web_text target = web_request_target(run->request);
	struct web_text method = web_request_method(run->request);
	struct web_text body = web_request_body(run->request);
	g_autofree char *text =
		g_strdup_printf("%.*s %.*s %.*s\n", (int)method.size,
				method.data, (int)target.size, target.data,
				(int)body.size, body.data ? body.data : "");

	sign(run);
	if (run->fault == FAULT_ERROR) {
		web_reply(run->request, 500, "text/plain", "error\n", 6);
	} else if (run->fault == FAULT_CUT) {
		web_reply_start(run->request, 200, "text/plain");
		web_reply_piece(run->request, text, strlen(text) / 2);
		answer_cut(run->request, run->unframed);
	} else if (run->fault == FAULT_CRASH_LATER) {
		web_reply_start(run->request, 200, "text/plain");
		web_reply_piece(run->request, text, strlen(text) / 2);
		run->fault = FAULT_CRASH;
		timer_start(&run->timer, PLAIN_USEC);
		return;
	} else if (run->unframed) {
		web_reply_start(run->request, 200, "text/plain");
		web_reply_piece(run->request, text, strlen(text));
		web_reply_end(run->request);
	} else {
		web_reply(run->request, 200, "text/plain", text, strlen(text));
	}
	run_end(run);
}

/* Crashes the server: its connections close and its requests are lost. */
static void server_crash(struct server *server)
{
	struct web_server *web = server->web;

	log_event(LOG_INFO, "server_end", LOG_S("name", server->name),
		  LOG_D("born", server->started_ms));
	server->site->ledger.crashed++;
	server->web = NULL;
	timer_start(&server->restart, RESTART_USEC);
	web_server_destroy(web);
}

static void event_send(struct run *run)
{
	struct site *site = run->server->site;
	char text[64];
	int size;

	if (!run->started) {
		sign(run);
		web_reply_start(run->request, 200, "text/event-stream");
		run->started = true;
	}
	if (run->fault == FAULT_CUT && run->event >= 2) {
		web_reply_piece(run->request, "id: 9", 5);
		answer_cut(run->request, run->unframed);
		run_end(run);
		return;
	}
	if (run->fault == FAULT_CRASH_LATER && run->event >= 2) {
		server_crash(run->server);
		return;
	}
	if (run->event >= site->events) {
		web_reply_end(run->request);
		run_end(run);
		return;
	}
	run->event++;
	size = snprintf(text, sizeof(text), "id: %d\ndata: t%d%s%s\n\n",
			(int)run->event, (int)run->event,
			run->version[0] ? "." : "", run->version);
	web_reply_piece(run->request, text, (size_t)size);
	timer_start(&run->timer, site->event_usec);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct run *run = ctx;

	if (run->fault == FAULT_CRASH) {
		server_crash(run->server);
		return;
	}
	if (run->fault == FAULT_RESET) {
		web_reply_abort(run->request);
		run_end(run);
	} else if (run->fault == FAULT_SILENT) {
		timer_start(timer, 60 * USEC_PER_SEC);
	} else if (run->stream && run->fault != FAULT_ERROR) {
		event_send(run);
	} else {
		plain_answer(run);
	}
}

static enum fault fault_take(struct server *server)
{
	enum fault fault = server->fault;

	if (server->fault_count > 0 && --server->fault_count == 0)
		server->fault = FAULT_NONE;
	return fault;
}

static void run_start(struct server *server, struct web_request *request,
		      enum fault fault)
{
	struct run *run = g_new0(struct run, 1);
	g_autofree char *after = header_copy(request, "last-event-id");

	run->server = server;
	run->request = request;
	run->fault = fault;
	run->stream = server->stage == STAGE_DECODE;
	run->event = after ? strtoull(after, NULL, 10) : 0;
	memcpy(run->version, server->version, sizeof(run->version));
	/* A prefill does not count as a run. */
	if (server->stage != STAGE_PREFILL) {
		run_count(server, request);
		units_count(server->site, request);
	}
	server->running++;
	web_request_on_gone(request, on_gone, run);
	timer_init(&run->timer, server->site->clock, on_timer, run);
	timer_start(&run->timer, PLAIN_USEC);
}

static void result_reply(struct server *server, struct web_request *request)
{
	g_autofree char *name = site_name(server->site, "k");
	g_autofree char *text = g_strdup_printf(
		"{\"handle\":\"%s\",\"tokens\":10,\"version\":1}", name);

	g_hash_table_replace(
		server->site->held, g_strdup(name),
		g_memdup2(&(int64_t){clock_now(server->site->clock) +
				     RESULT_TTL_USEC},
			  sizeof(int64_t)));
	server->site->ledger.prefills++;
	echo(request);
	signals_add_headers(server, request);
	web_reply(request, 200, "application/json", text, strlen(text));
}

/* Takes the reservation and the result that a decode run names; refuses the
 * request and returns false if one is missing. */
static bool decode_inputs_take(struct server *server,
			       struct web_request *request)
{
	g_autofree char *source = header_copy(request, "kv-source");
	g_autofree char *hold = header_copy(request, "hold");
	const char *slash = source ? strchr(source, '/') : NULL;

	if (hold && !site_take(server->site, hold)) {
		refuse(server, request, 503, "no such hold\n");
		return false;
	}
	if (source && (!slash || !site_take(server->site, slash + 1))) {
		refuse(server, request, 503, "no such result\n");
		return false;
	}
	return true;
}

static bool is_other_server(struct server *server, struct web_request *request)
{
	struct web_text id = web_request_header(request, "expect-instance");

	if (!id.data || web_text_is(id, server->id))
		return false;
	web_reply_header(request, "instance-id", server->id);
	refuse(server, request, 421, "another server\n");
	return true;
}

static bool text_contains(struct web_text text, const char *needle)
{
	return text.data && g_strstr_len(text.data, (gssize)text.size, needle);
}

/* FAULT_NONE unless the request crashes the server. */
static enum fault request_fault(const struct server *server,
				struct web_request *request)
{
	struct web_text prompt = web_request_header(request, "prefix-hash");

	if (text_contains(web_request_body(request), ENDS_SERVER) ||
	    text_contains(prompt, ENDS_SERVER_PART ":"))
		return FAULT_CRASH;
	if (text_contains(prompt, ENDS_SERVER_VERSION_PART ":") &&
	    strcmp(server->version, ENDS_SERVER_VERSION) == 0)
		return FAULT_CRASH;
	if (text_contains(prompt, ENDS_SERVER_LATER_PART ":"))
		return FAULT_CRASH_LATER;
	return FAULT_NONE;
}

static void on_call(void *ctx, struct web_request *request)
{
	struct server *server = ctx;
	struct web_text stage = web_request_header(request, "stage");
	enum fault fault;

	if (is_other_server(server, request))
		return;
	organisation_check(server->site, request);
	signals_check(server);
	if (server->backoff_sec > 0.0) {
		signals_add_backoff(server, request);
		refuse(server, request, 503, "resting\n");
		return;
	}
	fault = fault_take(server);
	if (fault == FAULT_BUSY) {
		refuse(server, request, 503, "busy\n");
		return;
	}
	if (web_text_is(stage, "prefill") && server->stage == STAGE_PREFILL &&
	    fault == FAULT_NONE) {
		result_reply(server, request);
		return;
	}
	if ((server->stage == STAGE_PREFILL) != web_text_is(stage, "prefill")) {
		refuse(server, request, 421, "wrong stage\n");
		return;
	}
	if (request_fault(server, request) != FAULT_NONE)
		fault = request_fault(server, request);
	if (server->stage != STAGE_DECODE ||
	    decode_inputs_take(server, request))
		run_start(server, request, fault);
}

static void on_hold(struct server *server, struct web_request *request)
{
	g_autofree char *name = site_name(server->site, "h");
	g_autofree char *text = g_strdup_printf("{\"hold\":\"%s\"}", name);

	g_hash_table_replace(
		server->site->held, g_strdup(name),
		g_memdup2(&(int64_t){clock_now(server->site->clock) +
				     RESERVATION_TTL_USEC},
			  sizeof(int64_t)));
	signals_add_headers(server, request);
	web_reply(request, 200, "application/json", text, strlen(text));
}

static void on_order(struct server *server, struct web_request *request)
{
	struct web_text body = web_request_body(request);
	json_t *root = json_loadb(body.data, body.size, 0, NULL);
	const char *stage = json_string_value(json_object_get(root, "stage"));

	server->site->ledger.orders++;
	if (stage)
		server->stage = strcmp(stage, "prefill") == 0 ? STAGE_PREFILL
							      : STAGE_DECODE;
	json_decref(root);
	server_heartbeat(server);
	web_reply(request, 202, NULL, "", 0);
}

static void on_engine(void *ctx, struct web_request *request)
{
	struct server *server = ctx;
	struct web_text path = web_request_path(request);
	g_autofree char *text = g_strndup(path.data, path.size);
	const char *name = strrchr(text, '/');

	if (is_other_server(server, request))
		return;
	if (strcmp(text, "/-/hold-take") == 0) {
		on_hold(server, request);
	} else if (strcmp(text, "/-/order") == 0) {
		on_order(server, request);
	} else if (name) {
		(void)site_take(server->site, name + 1);
		web_reply(request, 200, NULL, "", 0);
	}
}

static void on_health(void *ctx, struct web_request *request)
{
	struct server *server = ctx;

	if (is_other_server(server, request))
		return;
	web_reply_header(request, "instance-id", server->id);
	signals_add_headers(server, request);
	web_reply(request, 200, "text/plain", "well\n", 5);
}

static void server_listen(struct server *server)
{
	static const struct web_limits limits = {
		.body_bytes = 1 << 20,
		.connections = 1000,
		.idle_usec = 30 * USEC_PER_SEC,
		.request_usec = 30 * USEC_PER_SEC,
	};
	struct error err;

	server->web = web_server_create(server->site->loop, "127.0.0.2:0",
					&limits, &err);
	g_assert_nonnull(server->web);
	web_server_handle(server->web, "/", on_call, server);
	web_server_handle(server->web, "/-/", on_engine, server);
	web_server_handle(server->web, "/healthz", on_health, server);
	log_event(LOG_INFO, "server_open", LOG_S("name", server->name),
		  LOG_S("address", web_server_address(server->web)));
}

static void on_restart(struct timer *timer, void *ctx)
{
	struct server *server = ctx;

	server->started_ms++;
	server->heartbeats = 0;
	memcpy(server->version, server->next_version, sizeof(server->version));
	signals_reset(server);
	server_listen(server);
	server_heartbeat(server);
}

struct server *server_open(struct site *site, const char *name,
			   enum stage stage)
{
	struct server *server = g_new0(struct server, 1);

	server->site = site;
	server->name = g_strdup(name);
	server->id = g_strdup_printf("i-%s", name);
	server->stage = stage;
	server->started_ms = FIRST_STARTED_MS;
	server->limit = -1.0;
	server->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	timer_init(&server->restart, site->clock, on_restart, server);
	server_listen(server);
	return server;
}
