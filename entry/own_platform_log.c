/*
 * own_platform_log.c - the append-only log over HTTP
 */
#include "own_platform_private.h"

#include <inttypes.h>
#include <stdio.h>

#include <jansson.h>

#include "common/log.h"

#define PATH_MAX_BYTES 256
#define APPEND_ANSWER_BYTES_MAX 4096
/* Keeps the answer to a read below READ_ANSWER_BYTES_MAX. */
#define READ_RECORDS_MAX 32
#define READ_ANSWER_BYTES_MAX (24u << 20)

enum {
	STATUS_OK = 200,
	STATUS_BAD_REQUEST = 400,
	STATUS_SERVER_ERROR = 500,
	STATUS_UNAVAILABLE = 503,
};

struct log_call {
	struct platform *platform;
	struct web_call *call;
	struct timer deferred; /* answers without a call */
	log_append_fn append;
	log_read_fn read;
	void *ctx;
};

enum result_code platform_append_code(const struct web_result *result,
				      int status, bool offset)
{
	if (status == STATUS_UNAVAILABLE)
		return RESULT_LOG_DOWN;
	if (status >= STATUS_BAD_REQUEST && status < STATUS_SERVER_ERROR)
		return RESULT_LOG_DOWN;
	if (status == 0 && !result->ok && !result->sent)
		return RESULT_LOG_DOWN;
	if (result->ok && status == STATUS_OK && offset)
		return RESULT_OK;
	return RESULT_LOG_UNKNOWN;
}

static void call_free(struct log_call *call)
{
	timer_stop(&call->deferred);
	g_hash_table_remove(call->platform->calls, call);
	g_free(call);
}

static void deferred_fire(struct timer *timer, void *ctx)
{
	struct log_call call = *(struct log_call *)ctx;

	call_free(ctx);
	if (call.append)
		call.append(call.ctx, RESULT_LOG_DOWN, 0);
	else
		call.read(call.ctx, RESULT_LOG_DOWN, NULL);
}

static struct log_call *call_create(struct platform *platform, void *fn_ctx)
{
	struct log_call *call = g_new0(struct log_call, 1);

	call->platform = platform;
	call->ctx = fn_ctx;
	timer_init(&call->deferred, platform->clock, deferred_fire, call);
	g_hash_table_add(platform->calls, call);
	return call;
}

static bool offset_parse(const void *body, size_t size, uint64_t *offset)
{
	json_t *json = json_loadb(body, size, 0, NULL);
	const json_t *field = json_object_get(json, "offset");
	bool valid = json_is_integer(field) && json_integer_value(field) >= 0;

	if (valid)
		*offset = (uint64_t)json_integer_value(field);
	json_decref(json);
	return valid;
}

static void append_done(void *ctx, const struct web_result *result, int status,
			const void *body, size_t size)
{
	struct log_call call = *(struct log_call *)ctx;
	uint64_t offset = 0;
	bool found = result->ok && offset_parse(body, size, &offset);
	enum result_code code = platform_append_code(result, status, found);

	if (code == RESULT_LOG_DOWN)
		call.platform->appends_not_run->value++;
	else if (code == RESULT_LOG_UNKNOWN)
		call.platform->appends_unknown->value++;
	if (code != RESULT_OK)
		log_event(LOG_NOTICE, "log_append_failed",
			  LOG_S("result", result_label(code)),
			  LOG_D("status", status),
			  LOG_S("reason", result->text ? result->text : ""));
	call_free(ctx);
	call.append(call.ctx, code, offset);
}

static void log_append(void *ctx, const char *stream, const void *data,
		       size_t size, log_append_fn fn, void *fn_ctx)
{
	struct platform *platform = ctx;
	struct log_call *call = call_create(platform, fn_ctx);
	char path[PATH_MAX_BYTES];

	call->append = fn;
	platform->appends->value++;
	if (!platform->address || size > PLATFORM_RECORD_MAX) {
		timer_start(&call->deferred, 0);
		return;
	}
	(void)snprintf(path, sizeof(path), "/log/%s", stream);
	struct web_call_spec spec = {
		.address = platform->address,
		.method = "POST",
		.path = path,
		.body = data,
		.body_size = size,
		.head_usec = platform->call_usec,
		.idle_usec = platform->call_usec,
	};

	call->call = web_fetch(platform->client, &spec, APPEND_ANSWER_BYTES_MAX,
			       append_done, call);
}

static bool record_parse(const json_t *item, struct log_record *record)
{
	const json_t *offset = json_object_get(item, "offset");
	const json_t *data = json_object_get(item, "data");

	if (!json_is_integer(offset) || !json_is_string(data))
		return false;
	record->offset = (uint64_t)json_integer_value(offset);
	record->unix_us = json_integer_value(json_object_get(item, "unix_us"));
	record->data = g_base64_decode(json_string_value(data), &record->size);
	return true;
}

static void records_free(struct log_record *records, size_t count)
{
	for (size_t i = 0; i < count; i++)
		g_free((void *)records[i].data);
	g_free(records);
}

/* Passes the page to the reader; false when the answer is not a page. */
static bool page_deliver(const struct log_call *call, const json_t *json)
{
	const json_t *list = json_object_get(json, "records");
	const json_t *first = json_object_get(json, "first");
	const json_t *next = json_object_get(json, "next");

	if (!json_is_array(list) || !json_is_integer(first) ||
	    !json_is_integer(next))
		return false;
	size_t count = json_array_size(list);
	struct log_record *records = g_new0(struct log_record, count);
	struct log_page page = {
		.first = (uint64_t)json_integer_value(first),
		.next = (uint64_t)json_integer_value(next),
		.records = records,
		.count = count,
	};
	bool valid = true;

	for (size_t i = 0; i < count && valid; i++)
		valid = record_parse(json_array_get(list, i), &records[i]);
	if (valid)
		call->read(call->ctx, RESULT_OK, &page);
	records_free(records, count);
	return valid;
}

static void read_done(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	struct log_call call = *(struct log_call *)ctx;
	json_t *json = NULL;

	call_free(ctx);
	if (result->ok && status == STATUS_OK)
		json = json_loadb(body, size, 0, NULL);
	if (!page_deliver(&call, json)) {
		call.platform->log_read_failures->value++;
		log_event(LOG_NOTICE, "log_read_failed",
			  LOG_D("status", status),
			  LOG_S("reason", result->text ? result->text : ""));
		call.read(call.ctx, RESULT_LOG_DOWN, NULL);
	}
	json_decref(json);
}

static void log_read(void *ctx, const char *stream, uint64_t from, uint32_t max,
		     int64_t wait_us, log_read_fn fn, void *fn_ctx)
{
	struct platform *platform = ctx;
	struct log_call *call = call_create(platform, fn_ctx);
	char path[PATH_MAX_BYTES];

	call->read = fn;
	platform->log_reads->value++;
	if (!platform->address) {
		timer_start(&call->deferred, MAX(wait_us, 0));
		return;
	}
	(void)snprintf(path, sizeof(path),
		       "/log/%s?from=%" PRIu64 "&max=%u&wait_ms=%" PRId64,
		       stream, from, CLAMP(max, 1, READ_RECORDS_MAX),
		       MAX(wait_us, 0) / USEC_PER_MSEC);
	struct web_call_spec spec = {
		.address = platform->address,
		.method = "GET",
		.path = path,
		.head_usec = platform->call_usec + MAX(wait_us, 0),
		.idle_usec = platform->call_usec,
	};

	call->call = web_fetch(platform->client, &spec, READ_ANSWER_BYTES_MAX,
			       read_done, call);
}

void platform_log_init(struct platform *platform, struct counter_set *counters)
{
	platform->store = (struct log_store){
		.append = log_append,
		.read = log_read,
		.ctx = platform,
	};
	platform->calls = g_hash_table_new(NULL, NULL);
	platform->appends = counter_get(counters, "jt_log_appends_total",
					"Appends to the log", NULL);
	platform->appends_not_run =
		counter_get(counters, "jt_log_append_failures_total",
			    "Appends that failed", "outcome=\"not-run\"");
	platform->appends_unknown =
		counter_get(counters, "jt_log_append_failures_total",
			    "Appends that failed", "outcome=\"unknown\"");
	platform->log_reads = counter_get(counters, "jt_log_reads_total",
					  "Readings of the log", NULL);
	platform->log_read_failures =
		counter_get(counters, "jt_log_read_failures_total",
			    "Readings of the log that failed", NULL);
}

/* The callback still runs, since the caller frees its state there. Callers are
 * destroyed before the platform. */
static void call_abort(struct log_call *call)
{
	timer_stop(&call->deferred);
	if (call->call)
		web_call_cancel(call->call);
	if (call->append)
		call->append(call->ctx, RESULT_LOG_UNKNOWN, 0);
	else
		call->read(call->ctx, RESULT_LOG_DOWN, NULL);
	g_free(call);
}

void platform_log_finish(struct platform *platform)
{
	GList *calls = g_hash_table_get_keys(platform->calls);

	g_hash_table_remove_all(platform->calls);
	for (GList *at = calls; at; at = at->next)
		call_abort(at->data);
	g_list_free(calls);
	g_hash_table_destroy(platform->calls);
}
