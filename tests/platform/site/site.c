/* The simulated platform: arguments, configuration, control calls. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "common/log.h"
#include "site.h"

#define PROGRAM "jtsite"
#define HEARTBEAT_USEC (200 * USEC_PER_MSEC)

static const char *const fault_names[FAULT_COUNT] = {
	"none", "reset",    "error", "busy",	  "silent",
	"cut",	"unsigned", "end",   "end-later",
};

char *site_name(struct site *site, const char *prefix)
{
	return g_strdup_printf("%s%d", prefix, (int)++site->names);
}

/* Removes a reservation or result; false if it is missing or expired. */
bool site_take(struct site *site, const char *name)
{
	int64_t *until = g_hash_table_lookup(site->held, name);
	bool is_valid = until && *until >= clock_now(site->clock);

	g_hash_table_remove(site->held, name);
	return is_valid;
}

static void route_add(json_t *routes, const struct site *site,
		      const char *prefix, const char *kind, const char *service)
{
	bool stream = strcmp(kind, "streaming") == 0;
	bool resumable = strcmp(prefix, "/resume/") == 0;

	json_array_append_new(
		routes,
		json_pack("{s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:s, s:i, s:b, "
			  "s:b, s:b, s:i}",
			  "name", prefix, "host", "site.example", "path_prefix",
			  prefix, "route_type", kind, "timeout_ms",
			  (json_int_t)site->timeout_msec, "target_latency_ms",
			  900, "priority", 1, "service", service,
			  "max_attempts", 2, "sticky", stream, "resumable",
			  resumable, "public", strcmp(prefix, "/open/") == 0,
			  "gap_aim_ms", 300));
}

void site_config(struct site *site)
{
	json_t *routes = json_array();
	json_t *root;
	char *text;

	route_add(routes, site, "/plain/", "idempotent", "plain");
	route_add(routes, site, "/once/", "non_idempotent", "plain");
	route_add(routes, site, "/stream/", "streaming", "model");
	route_add(routes, site, "/resume/", "streaming", "model");
	if (site->extra)
		route_add(routes, site, site->extra, "idempotent", "plain");
	root = json_pack(
		"{s:I, s:o, s:[{s:s, s:s}, {s:s, s:s, s:{s:i, s:i, s:f, s:f, "
		"s:f}}], s:{}}",
		"version", (json_int_t)site->version, "routes", routes,
		"services", "name", "plain", "health_path", "/healthz", "name",
		"model", "health_path", "/healthz", "engine", "slots", 8,
		"kv_tokens", 10000, "handle_ttl_s", 0.5, "switch_s", 0.1,
		"hold_ms", 2000.0, "limits");
	if (site->tenants)
		json_object_set(root, "tenants", site->tenants);
	text = json_dumps(root, JSON_COMPACT);
	store_put(site, "keyed.op", "config", text);
	free(text);
	json_decref(root);
}

static struct server *server_find(struct site *site, const char *name)
{
	for (guint i = 0; name && i < site->servers->len; i++) {
		struct server *server = site->servers->pdata[i];

		if (strcmp(server->name, name) == 0)
			return server;
	}
	return NULL;
}

static const char *text_of(const json_t *root, const char *name)
{
	const char *text = json_string_value(json_object_get(root, name));

	return text ? text : "";
}

static bool fault_set(struct site *site, const json_t *root)
{
	struct server *server = server_find(site, text_of(root, "server"));

	for (int i = 0; server && i < FAULT_COUNT; i++) {
		if (strcmp(fault_names[i], text_of(root, "fault")) != 0)
			continue;
		server->fault = (enum fault)i;
		server->fault_count = (uint32_t)json_integer_value(
			json_object_get(root, "count"));
		return true;
	}
	return false;
}

static void version_set(struct server *server, const json_t *root)
{
	if (json_object_get(root, "version")) {
		g_strlcpy(server->version, text_of(root, "version"),
			  VERSION_MAX);
		memcpy(server->next_version, server->version, VERSION_MAX);
	}
	if (json_object_get(root, "next_version"))
		g_strlcpy(server->next_version, text_of(root, "next_version"),
			  VERSION_MAX);
}

static bool state_set(struct site *site, const json_t *root)
{
	struct server *server = server_find(site, text_of(root, "server"));

	if (!server)
		return false;
	version_set(server, root);
	server->draining = strcmp(text_of(root, "state"), "draining") == 0;
	server->gone = strcmp(text_of(root, "state"), "gone") == 0;
	server->mute = strcmp(text_of(root, "state"), "mute") == 0;
	server->unframed = json_is_true(json_object_get(root, "unframed"));
	if (strcmp(text_of(root, "state"), "again") == 0) {
		server->started_ms++;
		server->heartbeats = 0;
		signals_reset(server);
	}
	if (server->web && !server->mute)
		server_heartbeat(server);
	return true;
}

static bool limit_set(struct site *site, const json_t *root)
{
	struct server *server = server_find(site, text_of(root, "server"));

	if (server)
		signals_set_limit(server, json_number_value(json_object_get(
						  root, "per_s")));
	return server != NULL;
}

static bool leaving_set(struct site *site, const json_t *root)
{
	struct server *server = server_find(site, text_of(root, "server"));

	if (server)
		server->leaving_by_answer = true;
	return server != NULL;
}

static bool backoff_set(struct site *site, const json_t *root)
{
	struct server *server = server_find(site, text_of(root, "server"));

	if (server)
		server->backoff_sec =
			json_number_value(json_object_get(root, "sec"));
	return server != NULL;
}

static bool entry_set(struct site *site, const json_t *root)
{
	const char *topic = text_of(root, "topic");

	store_put(site, *topic ? topic : "keyed.servers", text_of(root, "key"),
		  text_of(root, "value"));
	return true;
}

static bool config_set(struct site *site, const json_t *root)
{
	const json_t *timeout = json_object_get(root, "timeout_ms");

	site->version =
		(uint64_t)json_integer_value(json_object_get(root, "version"));
	if (timeout)
		site->timeout_msec = json_integer_value(timeout);
	g_free(site->extra);
	site->extra = json_object_get(root, "extra")
			      ? g_strdup(text_of(root, "extra"))
			      : NULL;
	if (json_object_get(root, "tenants")) {
		json_decref(site->tenants);
		site->tenants = json_incref(json_object_get(root, "tenants"));
	}
	site_config(site);
	return true;
}

static bool store_set(struct site *site, const json_t *root)
{
	const char *state = text_of(root, "state");

	if (strcmp(state, "copy") == 0) {
		store_copy(site);
	} else if (strcmp(state, "restore") == 0) {
		store_restore(site);
		if (!json_is_true(json_object_get(root, "unwritten")))
			site_config(site);
	} else {
		site->down = strcmp(state, "down") == 0;
	}
	if (strcmp(state, "forget") == 0)
		store_forget(site);
	return true;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct site *site = data;

	return *(int64_t *)value < clock_now(site->clock);
}

/* Number of runs of the request given by the query parameter "id". */
static int runs_of(struct site *site, const struct web_request *request)
{
	char id[128] = "";

	web_request_param(request, "id", id, sizeof(id));
	return GPOINTER_TO_INT(g_hash_table_lookup(site->ledger.runs, id));
}

/* Tokens run for the organisation given by the query parameter "of". */
static int units_of(struct site *site, const struct web_request *request)
{
	char name[128] = "";

	web_request_param(request, "of", name, sizeof(name));
	return GPOINTER_TO_INT(g_hash_table_lookup(site->ledger.units, name));
}

static json_t *ledger_encode(struct site *site,
			     const struct web_request *request)
{
	const struct ledger *ledger = &site->ledger;
	uint32_t running = 0;

	for (guint i = 0; i < site->servers->len; i++) {
		const struct server *server = site->servers->pdata[i];

		running += server->running;
	}
	g_hash_table_foreach_remove(site->held, is_expired, site);
	return json_pack(
		"{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, "
		"s:i, s:i, s:i, s:i}",
		"after_leaving", (int)ledger->after_leaving, "in_backoff",
		(int)ledger->in_backoff, "over_limit", (int)ledger->over_limit,
		"strangers", (int)ledger->wrong_tenants, "secrets",
		(int)ledger->secrets, "units", units_of(site, request), "of_id",
		runs_of(site, request), "runs", (int)ledger->total, "repeats",
		(int)ledger->repeats, "prefills", (int)ledger->prefills,
		"orders", (int)ledger->orders, "running", (int)running, "held",
		(int)g_hash_table_size(site->held), "ended",
		(int)ledger->crashed);
}

static const struct {
	const char *path;
	bool (*fn)(struct site *site, const json_t *root);
} controls[] = {
	{"/site/fault", fault_set},	{"/site/state", state_set},
	{"/site/entry", entry_set},	{"/site/config", config_set},
	{"/site/store", store_set},	{"/site/limit", limit_set},
	{"/site/leaving", leaving_set}, {"/site/backoff", backoff_set},
};

static void on_control(void *ctx, struct web_request *request)
{
	struct site *site = ctx;
	struct web_text path = web_request_path(request);
	struct web_text body = web_request_body(request);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.size, 0, NULL);
	json_t *answer = ledger_encode(site, request);
	char *text = json_dumps(answer, JSON_COMPACT);
	bool is_valid = g_str_has_prefix(path.data, "/site/ledger");

	for (size_t i = 0; root && i < G_N_ELEMENTS(controls); i++)
		if (web_text_is(path, controls[i].path))
			is_valid = controls[i].fn(site, root);
	web_reply(request, is_valid ? 200 : 400, "application/json", text,
		  strlen(text));
	free(text);
	json_decref(answer);
	json_decref(root);
}

static void on_heartbeat(struct timer *timer, void *ctx)
{
	struct site *site = ctx;

	for (guint i = 0; i < site->servers->len; i++) {
		struct server *server = site->servers->pdata[i];

		if (server->web && !server->gone && !server->mute)
			server_heartbeat(server);
	}
	timer_start(timer, HEARTBEAT_USEC);
}

static void servers_open(struct site *site, const char *list)
{
	g_auto(GStrv) names = g_strsplit(list, ",", -1);

	for (int i = 0; names[i]; i++) {
		enum stage stage = names[i][0] == 'p'	? STAGE_PREFILL
				   : names[i][0] == 'd' ? STAGE_DECODE
							: STAGE_PLAIN;

		g_ptr_array_add(site->servers,
				server_open(site, names[i], stage));
	}
}

/* jtsite SERVERS [EVENTS [EVENT_MSEC]]: SERVERS is a comma-separated list of
 * names that begin with s (plain), p (prefill) or d (decode). */
int main(int argc, char **argv)
{
	static const struct web_limits limits = {
		.body_bytes = 1 << 20,
		.connections = 1000,
		.idle_usec = 30 * USEC_PER_SEC,
		.request_usec = 30 * USEC_PER_SEC,
	};
	struct site site = {.version = 3, .timeout_msec = 10000};
	struct error err;

	site.clock = clock_create_system();
	log_setup(site.clock, PROGRAM, LOG_INFO);
	site.loop = loop_create(site.clock);
	site.events = argc > 2 ? (uint32_t)atoi(argv[2]) : 5;
	site.event_usec = (argc > 3 ? atoi(argv[3]) : 10) * USEC_PER_MSEC;
	site.servers = g_ptr_array_new();
	site.topics = g_hash_table_new(g_str_hash, g_str_equal);
	site.held =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	site.ledger.units =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	site.ledger.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	site.control =
		web_server_create(site.loop, "127.0.0.1:0", &limits, &err);
	store_serve(&site);
	web_server_handle(site.control, "/site/", on_control, &site);
	servers_open(&site, argc > 1 ? argv[1] : "s1,p1,d1");
	timer_init(&site.heartbeat, site.clock, on_heartbeat, &site);
	on_heartbeat(&site.heartbeat, &site);
	site_config(&site);
	log_event(LOG_INFO, "listening", LOG_S("role", "store"),
		  LOG_S("address", web_server_address(site.control)));
	loop_run(site.loop);
	return 0;
}
