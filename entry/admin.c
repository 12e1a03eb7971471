/*
 * admin.c - HTTP endpoints for operators and the load balancer
 */
#include "entry/admin.h"

#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "common/counter.h"
#include "common/log.h"
#include "coord/fold.h"
#include "entry/directory.h"
#include "entry/entry.h"
#include "entry/measures.h"

#define APPLY_TIMEOUT_USEC (10 * USEC_PER_SEC)
#define CONNECTIONS_MAX 256
#define IDLE_TIMEOUT_USEC (60 * USEC_PER_SEC)
#define REQUEST_TIMEOUT_USEC (10 * USEC_PER_SEC)
#define REVISION_TEXT_MAX 24

#define TYPE_JSON "application/json"
#define TYPE_TEXT "text/plain; charset=utf-8"
#define TYPE_METRICS "text/plain; version=0.0.4"

enum {
	STATUS_OK = 200,
	STATUS_UNAVAILABLE = 503,
};

struct admin {
	struct entry *entry;
	struct web_server *server;
	GHashTable *applies; /* set of struct apply */
};

/* A configuration file that is being appended to the log. */
struct apply {
	struct admin *admin;	     /* NULL after admin_destroy() */
	struct web_request *request; /* NULL after the caller disconnected */
};

static void reply_json(struct web_request *request, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	web_reply(request, status, TYPE_JSON, text, strlen(text));
	free(text);
	json_decref(json);
}

static void reply_string(struct web_request *request, const char *type,
			 GString *text)
{
	web_reply(request, STATUS_OK, type, text->str, text->len);
	g_string_free(text, TRUE);
}

static void reply_result(struct web_request *request, enum result_code code,
			 uint64_t revision, const char *reason)
{
	reply_json(request, result_status(code),
		   json_pack("{s:i, s:s, s:I, s:s}", "code", (int)code,
			     "result", result_label(code), "revision",
			     (json_int_t)revision, "error",
			     reason ? reason : ""));
}

static bool method_is(const struct web_request *request, const char *method)
{
	return web_text_is(web_request_method(request), method);
}

/* Answers with an error and returns false for any other method. */
static bool method_require_get(struct web_request *request)
{
	if (method_is(request, "GET") || method_is(request, "HEAD"))
		return true;
	reply_result(request, RESULT_BAD_METHOD, 0, "only GET is known here");
	return false;
}

static void on_health(void *ctx, struct web_request *request)
{
	const struct admin *admin = ctx;
	const char *state = "ready\n";

	if (!method_require_get(request))
		return;
	if (admin->entry->draining)
		state = "draining\n";
	else if (!admin->entry->config ||
		 !directory_is_loaded(admin->entry->directory) ||
		 !supervisor_running(admin->entry->supervisor))
		state = "starting\n";
	int status = state[0] == 'r' ? STATUS_OK : STATUS_UNAVAILABLE;

	web_reply(request, status, TYPE_TEXT, state, strlen(state));
}

static void on_metrics(void *ctx, struct web_request *request)
{
	const struct admin *admin = ctx;
	GString *text;

	if (!method_require_get(request))
		return;
	status_measure(admin->entry);
	text = g_string_new(NULL);
	counter_set_print(admin->entry->counters, text);
	reply_string(request, TYPE_METRICS, text);
}

static void on_status(void *ctx, struct web_request *request)
{
	const struct admin *admin = ctx;
	GString *text;

	if (!method_require_get(request))
		return;
	text = g_string_new(NULL);
	status_print(admin->entry, text);
	reply_string(request, TYPE_JSON, text);
}

static void on_history(void *ctx, struct web_request *request)
{
	const struct admin *admin = ctx;
	GString *text;

	if (!method_require_get(request))
		return;
	text = g_string_new(NULL);
	history_print(admin->entry, text);
	reply_string(request, TYPE_JSON, text);
}

static void on_measures(void *ctx, struct web_request *request)
{
	const struct admin *admin = ctx;
	GString *text;

	if (!method_require_get(request))
		return;
	text = g_string_new(NULL);
	measures_print(admin->entry->measures, text);
	reply_string(request, TYPE_JSON, text);
}

static void config_get(const struct entry *entry, struct web_request *request)
{
	size_t size = 0;
	const char *content = fold_content(entry->fold, &size);

	reply_json(request, STATUS_OK,
		   json_pack("{s:I, s:s%}", "revision",
			     (json_int_t)fold_revision(entry->fold), "content",
			     content ? content : "", size));
}

static void apply_request_gone(void *ctx)
{
	struct apply *apply = ctx;

	apply->request = NULL;
}

static void apply_done(void *ctx, enum result_code code, uint64_t revision,
		       const char *reason)
{
	struct apply *apply = ctx;

	if (apply->admin)
		g_hash_table_remove(apply->admin->applies, apply);
	if (apply->request)
		reply_result(apply->request, code, revision, reason);
	g_free(apply);
}

static bool base_parse(const struct web_request *request, uint64_t *base)
{
	char text[REVISION_TEXT_MAX];

	return web_request_param(request, "base", text, sizeof(text)) &&
	       g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, base, NULL);
}

static void config_post(struct admin *admin, struct web_request *request)
{
	struct web_text body = web_request_body(request);
	char author[FOLD_AUTHOR_MAX];
	struct apply *apply;
	uint64_t base;

	if (!base_parse(request, &base) ||
	    !web_request_param(request, "author", author, sizeof(author)) ||
	    author[0] == '\0' || !g_utf8_validate(author, -1, NULL)) {
		reply_result(request, RESULT_BAD_REQUEST, 0,
			     "base=N and author=NAME are needed");
		return;
	}
	if (body.size > CONFIG_FILE_MAX) {
		reply_result(request, RESULT_TOO_LARGE, 0,
			     "the file is too large");
		return;
	}
	apply = g_new0(struct apply, 1);
	apply->admin = admin;
	apply->request = request;
	g_hash_table_add(admin->applies, apply);
	web_request_on_gone(request, apply_request_gone, apply);
	fold_apply(admin->entry->fold, base, author, body.data, body.size,
		   APPLY_TIMEOUT_USEC, apply_done, apply);
}

static void on_config(void *ctx, struct web_request *request)
{
	struct admin *admin = ctx;

	if (method_is(request, "GET"))
		config_get(admin->entry, request);
	else if (method_is(request, "POST"))
		config_post(admin, request);
	else
		reply_result(request, RESULT_BAD_METHOD, 0,
			     "only GET and POST are known here");
}

static void on_other(void *ctx, struct web_request *request)
{
	reply_result(request, RESULT_NOT_FOUND, 0, "no such page");
}

struct admin *admin_create(struct entry *entry, struct error *err)
{
	struct web_limits limits = {
		.body_bytes = CONFIG_FILE_MAX + 1,
		.connections = CONNECTIONS_MAX,
		.idle_usec = IDLE_TIMEOUT_USEC,
		.request_usec = REQUEST_TIMEOUT_USEC,
	};
	struct web_server *server = web_server_create(
		entry->loop, entry->settings.admin_listen, &limits, err);

	if (!server)
		return NULL;
	struct admin *admin = g_new0(struct admin, 1);

	admin->entry = entry;
	admin->server = server;
	admin->applies = g_hash_table_new(NULL, NULL);
	web_server_handle(server, "/", on_other, admin);
	web_server_handle(server, "/health", on_health, admin);
	web_server_handle(server, "/metrics", on_metrics, admin);
	web_server_handle(server, "/status", on_status, admin);
	web_server_handle(server, "/config", on_config, admin);
	web_server_handle(server, "/history", on_history, admin);
	web_server_handle(server, "/measures", on_measures, admin);
	log_event(LOG_INFO, "listening", LOG_S("role", "admin"),
		  LOG_S("address", web_server_address(server)));
	return admin;
}

void admin_destroy(struct admin *admin)
{
	GHashTableIter iter;
	void *key;

	if (!admin)
		return;
	g_hash_table_iter_init(&iter, admin->applies);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct apply *apply = key;

		apply->admin = NULL;
		apply->request = NULL;
	}
	g_hash_table_destroy(admin->applies);
	web_server_destroy(admin->server);
	g_free(admin);
}

const char *admin_address(const struct admin *admin)
{
	return web_server_address(admin->server);
}
