/*
 * poller_read.c - fetches and parses the reports of one backend server
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "common/hex.h"
#include "coord/ledger.h"
#include "entry/directory.h"
#include "entry/entry.h"
#include "poller_private.h"

/* Assumed age of a load report without age_ms. */
#define AGE_DEFAULT_USEC (500 * USEC_PER_MSEC)
#define CALL_TIMEOUT_USEC (1 * USEC_PER_SEC)
#define AGE_MS_MAX 3600000u
#define ANSWER_BYTES_MAX (1u << 20)
#define PATH_MAX_BYTES 64
#define STATUS_OK 200

static uint64_t number_get(const json_t *json, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(json, name));

	return value > 0 ? (uint64_t)value : 0;
}

static uint64_t id_get(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));
	uint64_t id = 0;

	if (text)
		(void)hex_parse(text, strlen(text), &id);
	return id;
}

static int64_t age_get(const json_t *json)
{
	if (!json_is_integer(json_object_get(json, "age_ms")))
		return AGE_DEFAULT_USEC;
	return (int64_t)MIN(number_get(json, "age_ms"), AGE_MS_MAX) *
	       USEC_PER_MSEC;
}

static void load_handle(struct target *target, const json_t *json)
{
	struct entry *entry = target->poller->entry;
	struct ledger_report report = {
		.runner = target->id,
		.reachable = json_is_object(json),
		.leaving = json_is_true(json_object_get(json, "leaving")),
		.pieces_used = (uint32_t)number_get(json, "pieces_used"),
		.running = (uint32_t)number_get(json, "running"),
		.waiting = (uint32_t)number_get(json, "waiting"),
		.queue_tokens = number_get(json, "queue_tokens"),
		.tokens_per_s = json_number_value(
			json_object_get(json, "tokens_per_s")),
		.age = age_get(json),
	};

	if (report.leaving)
		directory_mark_leaving(entry->directory, target->id);
	if (ledger_is_home(entry->ledger, target->id))
		ledger_report(entry->ledger, &report);
}

static bool stream_parse(const struct target *target, const json_t *item,
			 struct ledger_stream *stream)
{
	const char *name = json_string_value(json_object_get(item, "stream"));

	if (!name || g_strlcpy(stream->stream, name, sizeof(stream->stream)) >=
			     sizeof(stream->stream))
		return false;
	stream->runner = target->id;
	stream->owner.instance = id_get(item, "owner");
	stream->owner.incarnation = id_get(item, "incarnation");
	stream->request = id_get(item, "request");
	stream->attempt = (uint32_t)number_get(item, "attempt");
	stream->pieces = (uint32_t)number_get(item, "pieces");
	return true;
}

static void streams_handle(struct target *target, const json_t *json)
{
	struct entry *entry = target->poller->entry;
	const json_t *list = json_object_get(json, "streams");
	size_t count = json_array_size(list);
	size_t filled = 0;

	if (!json_is_array(list) || !ledger_is_home(entry->ledger, target->id))
		return;
	struct ledger_stream *streams = g_new0(struct ledger_stream, count);

	for (size_t i = 0; i < count; i++) {
		if (stream_parse(target, json_array_get(list, i),
				 &streams[filled]))
			filled++;
	}
	ledger_streams(entry->ledger, target->id, streams, filled);
	g_free(streams);
}

static void event_handle(struct target *target, const json_t *item)
{
	uint64_t block = id_get(item, "block");
	bool stored = json_is_true(json_object_get(item, "stored"));

	ledger_cache_event(target->poller->entry->ledger, target->id, &block, 1,
			   stored);
}

static void events_handle(struct target *target, const json_t *json)
{
	const json_t *list = json_object_get(json, "events");
	const json_t *item;
	size_t i;

	if (!json_is_array(list))
		return;
	target->events_offset = number_get(json, "next");
	if (json_is_true(json_object_get(json, "gap")))
		target->poller->gaps->value++;
	if (!ledger_is_home(target->poller->entry->ledger, target->id))
		return;
	json_array_foreach (list, i, item)
		event_handle(target, item);
}

static void
report_handle(struct report_call *call, const struct web_result *result,
	      int status, const void *body, size_t size,
	      void (*handle)(struct target *target, const json_t *json))
{
	json_t *json = NULL;

	call->call = NULL;
	if (result->ok && status == STATUS_OK)
		json = json_loadb(body, size, 0, NULL);
	if (!json)
		call->target->poller->failures->value++;
	handle(call->target, json);
	json_decref(json);
}

static void load_done(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	report_handle(ctx, result, status, body, size, load_handle);
}

static void streams_done(void *ctx, const struct web_result *result, int status,
			 const void *body, size_t size)
{
	report_handle(ctx, result, status, body, size, streams_handle);
}

static void events_done(void *ctx, const struct web_result *result, int status,
			const void *body, size_t size)
{
	report_handle(ctx, result, status, body, size, events_handle);
}

static void report_fetch(struct target *target, const char *address,
			 enum report report, const char *path, web_answer_fn fn)
{
	struct report_call *call = &target->calls[report];
	struct web_call_spec spec = {
		.address = address,
		.method = "GET",
		.path = path,
		.head_usec = CALL_TIMEOUT_USEC,
		.idle_usec = CALL_TIMEOUT_USEC,
	};

	if (call->call)
		return;
	target->poller->reads->value++;
	call->target = target;
	call->call = web_fetch(target->poller->entry->client, &spec,
			       ANSWER_BYTES_MAX, fn, call);
}

void target_poll(struct target *target)
{
	const struct backend *backend =
		directory_find(target->poller->entry->directory, target->id);
	char path[PATH_MAX_BYTES];

	if (!backend)
		return;
	if (target->role == POOL_PLAIN) {
		report_fetch(target, backend->address, REPORT_LOAD, "/-/load",
			     load_done);
		return;
	}
	report_fetch(target, backend->address, REPORT_LOAD, "/load", load_done);
	if (target->role == POOL_DECODE)
		report_fetch(target, backend->address, REPORT_STREAMS,
			     "/streams", streams_done);
	(void)snprintf(path, sizeof(path), "/events?from=%" PRIu64,
		       target->events_offset);
	report_fetch(target, backend->address, REPORT_EVENTS, path,
		     events_done);
}
