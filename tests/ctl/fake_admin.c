#include "fake_admin.h"

#include <string.h>

#include "common/error.h"
#include "config/config.h"

#define REVISION 7
#define JSON_TYPE "application/json"

static const char history[] =
	"{\"revision\": 7, \"changes\": ["
	"{\"revision\": 5, \"base\": 0, \"unix_us\": 1764600000000000,"
	" \"author\": \"ana\", \"code\": 0, \"result\": \"ok\","
	" \"reason\": \"\", \"size\": 1200},"
	"{\"revision\": 6, \"base\": 4, \"unix_us\": 1764600060000000,"
	" \"author\": \"luis\", \"code\": 103, \"result\": \"stale-revision\","
	" \"reason\": \"based on 4, \\u001b in force is 5\", \"size\": 1300},"
	"{\"revision\": 7, \"base\": 5, \"unix_us\": 1764600120000000,"
	" \"author\": \"ana\", \"code\": 0, \"result\": \"ok\","
	" \"reason\": \"\", \"size\": 1310}]}";

static const char status[] =
	"{\"instance\": {\"name\": \"entry-1\", \"data_centre\": \"a\","
	" \"uptime_us\": 12000000, \"draining\": true},"
	" \"version\": \"0.1.0\", \"revision\": 7, \"policy\": \"reserve\","
	" \"platform\": {\"configured\": true, \"list_age_us\": 300000},"
	" \"members\": [{\"name\": \"entry-22\", \"data_centre\": \"b\","
	" \"state\": \"suspect\", \"peer_address\": \"127.0.0.1:3\","
	" \"address\": \"\"}, {\"name\": \"entry-1\","
	" \"data_centre\": \"a\", \"state\": \"alive\","
	" \"peer_address\": \"127.0.0.1:1\","
	" \"address\": \"127.0.0.1:2\"}],"
	" \"runners\": [{\"name\": \"r1\", \"pool\": \"p\","
	" \"data_centre\": \"a\", \"address\": \"127.0.0.1:4\","
	" \"leaving\": false, \"listed\": true, \"home\": true},"
	" {\"name\": \"r2\", \"pool\": \"d\", \"data_centre\": \"a\","
	" \"address\": \"127.0.0.1:5\", \"leaving\": true, \"listed\": true},"
	" {\"name\": \"r3\", \"pool\": \"old\", \"data_centre\": \"b\","
	" \"address\": \"127.0.0.1:6\", \"listed\": false}],"
	" \"requests\": [{}, {}], \"ledger\": {\"waiting\": 3, \"grants\": 4,"
	" \"held\": 5, \"records\": 6}}";

/* Counts rise by a fixed amount with each request. */
static const char measures[] =
	"{\"instance\": \"entry-1\", \"since_us\": %u, \"until_us\": %u,"
	" \"revision\": 7, \"policy\": \"reserve\", \"classes\": ["
	"{\"service\": \"m\", \"class\": \"urgent\", \"requests\": %u,"
	" \"completed\": %u, \"within_targets\": %u, \"goodput\": 0.9,"
	" \"output_tokens\": %u, \"results\": {\"ok\": %u,"
	" \"queue-full\": %u}, \"first_token_ms\": {\"p50\": 100.0,"
	" \"p95\": 200.0, \"p99\": 300.0, \"count\": 9},"
	" \"between_tokens_ms\": {\"p50\": 20.0, \"p95\": 25.0,"
	" \"p99\": 30.0, \"count\": 9}, \"complete_ms\": {\"p50\": 1000.0,"
	" \"p95\": 2000.0, \"p99\": 2500.5, \"count\": 9}}],"
	" \"prefill\": {\"asked_tokens\": %u, \"computed_tokens\": %u,"
	" \"cached_tokens\": %u, \"wasted_tokens\": %u,"
	" \"wasted_share\": 0.02}}";

static void request_record(struct fake_admin *fake,
			   const struct web_request *request)
{
	struct web_text method = web_request_method(request);
	struct web_text path = web_request_path(request);
	struct web_text query = web_request_query(request);

	g_string_append_printf(fake->requests, "%.*s %.*s%s%.*s\n",
			       (int)method.size, method.data, (int)path.size,
			       path.data, query.size > 0 ? "?" : "",
			       (int)query.size, query.data);
}

static void reply_text(struct web_request *request, int code, const char *text)
{
	web_reply(request, code, JSON_TYPE, text, strlen(text));
}

static void reply_result(struct web_request *request, enum result_code code,
			 unsigned int revision, const char *text)
{
	g_autofree char *body = g_strdup_printf(
		"{\"code\": %d, \"result\": \"%s\", \"revision\": %u, "
		"\"error\": \"%s\"}",
		(int)code, result_label(code), revision, text);

	reply_text(request, result_status(code), body);
}

static void on_status(void *ctx, struct web_request *request)
{
	struct fake_admin *fake = ctx;

	request_record(fake, request);
	reply_text(request, 200, fake->mode == FAKE_NOT_JSON ? "busy" : status);
}

static void on_history(void *ctx, struct web_request *request)
{
	request_record(ctx, request);
	reply_text(request, 200, history);
}

static void on_measures(void *ctx, struct web_request *request)
{
	struct fake_admin *fake = ctx;
	unsigned int n = ++fake->report_count;
	g_autofree char *body = g_strdup_printf(
		measures, fake->mode == FAKE_RESTART && n % 2 == 0 ? n : 0,
		n * 1500000, n * 100, n * 95, n * 90, n * 950, n * 95, n * 5,
		n * 1000, n * 800, n * 200, n * 16);

	request_record(fake, request);
	reply_text(request, 200, body);
}

static void config_post(struct fake_admin *fake, struct web_request *request)
{
	switch (fake->mode) {
	case FAKE_STALE:
		reply_result(request, RESULT_STALE_REVISION, REVISION,
			     "not the revision in force");
		return;
	case FAKE_BAD:
		reply_result(request, RESULT_BAD_CONFIG, REVISION,
			     "policy.name: unknown here");
		return;
	case FAKE_LOG_DOWN:
		reply_result(request, RESULT_LOG_DOWN, REVISION,
			     "no answer from the log");
		return;
	case FAKE_ABORTED:
		web_reply_start(request, 200, JSON_TYPE);
		web_reply_piece(request, "{", 1);
		web_reply_abort(request);
		return;
	default:
		reply_result(request, RESULT_OK, REVISION + 1, "");
		return;
	}
}

static void on_config(void *ctx, struct web_request *request)
{
	struct fake_admin *fake = ctx;
	g_autofree char *escaped = NULL;
	g_autofree char *body = NULL;

	request_record(fake, request);
	if (web_request_method(request).data[0] == 'P') {
		config_post(fake, request);
		return;
	}
	if (fake->mode == FAKE_EMPTY) {
		reply_text(request, 200,
			   "{\"revision\": 0, \"content\": \"\"}");
		return;
	}
	escaped = g_strescape(fake->content, NULL);
	body = g_strdup_printf("{\"revision\": %d, \"content\": \"%s\"}",
			       REVISION, escaped);
	reply_text(request, 200, body);
}

struct fake_admin *fake_admin_create(struct loop *loop, enum fake_mode mode)
{
	static const struct web_limits limits = {
		.body_bytes = CONFIG_FILE_MAX,
		.connections = 8,
		.idle_usec = 10000000,
		.request_usec = 10000000,
	};
	struct fake_admin *fake = g_new0(struct fake_admin, 1);

	fake->mode = mode;
	fake->requests = g_string_new(NULL);
	g_assert_true(g_file_get_contents(SOURCE_ROOT "/tests/config/base.yaml",
					  &fake->content, NULL, NULL));
	fake->server = web_server_create(loop, "127.0.0.1:0", &limits, NULL);
	g_assert_nonnull(fake->server);
	web_server_handle(fake->server, "/status", on_status, fake);
	web_server_handle(fake->server, "/history", on_history, fake);
	web_server_handle(fake->server, "/measures", on_measures, fake);
	web_server_handle(fake->server, "/config", on_config, fake);
	return fake;
}

void fake_admin_destroy(struct fake_admin *fake)
{
	web_server_destroy(fake->server);
	g_string_free(fake->requests, TRUE);
	g_free(fake->content);
	g_free(fake);
}
