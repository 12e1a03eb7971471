#include <stdlib.h>
#include <string.h>

#include "standin/platform.h"
#include "standin/reply.h"
#include "web/server.h"

#define STREAM_NAME_MAX 128
#define READ_DEFAULT_RECORDS 1000
#define READ_MAX_RECORDS 10000
#define WAIT_MAX_MSEC 60000
/* Size of the token bucket for appends, as a share of the rate per second. */
#define APPEND_BURST_SHARE 0.25

struct record {
	int64_t appended_at;
	int64_t unix_us;
	GBytes *data;
};

struct stream {
	char *name;
	uint64_t first; /* offset of the oldest record kept */
	GQueue records; /* of struct record */
	GQueue readers; /* of struct reader */
	int64_t appends;
};

/* A read that waits for an append or its timeout. */
struct reader {
	struct platform_log *log;
	struct stream *stream;
	struct web_request *request;
	struct timer timer;
	uint64_t from;
	uint64_t max;
};

struct platform_log {
	struct platform *platform;
	GHashTable *streams;
	double tokens;
	int64_t refilled_at;
	int64_t appends;
	int64_t reads;
	int64_t refused;
	int64_t bytes;
};

static void record_free(void *data)
{
	struct record *record = data;

	g_bytes_unref(record->data);
	g_free(record);
}

static void reader_free(void *data)
{
	struct reader *reader = data;

	timer_stop(&reader->timer);
	g_free(reader);
}

static void stream_free(void *data)
{
	struct stream *stream = data;

	g_queue_clear_full(&stream->records, record_free);
	g_queue_clear_full(&stream->readers, reader_free);
	g_free(stream->name);
	g_free(stream);
}

static double append_burst(const struct platform *platform)
{
	return MAX(1.0, platform->settings.append_rate * APPEND_BURST_SHARE);
}

struct platform_log *platform_log_create(struct platform *platform)
{
	struct platform_log *log = g_new0(struct platform_log, 1);

	log->platform = platform;
	log->streams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     stream_free);
	log->tokens = append_burst(platform);
	log->refilled_at = clock_now(platform->clock);
	return log;
}

void platform_log_destroy(struct platform_log *log)
{
	if (log == NULL)
		return;
	g_hash_table_destroy(log->streams);
	g_free(log);
}

static struct stream *stream_get(struct platform_log *log, const char *name)
{
	struct stream *stream = g_hash_table_lookup(log->streams, name);

	if (stream != NULL)
		return stream;
	stream = g_new0(struct stream, 1);
	stream->name = g_strdup(name);
	g_hash_table_insert(log->streams, stream->name, stream);
	return stream;
}

static bool stream_exceeds_retention(const struct platform_log *log,
				     struct stream *stream)
{
	const struct platform_settings *settings = &log->platform->settings;
	const struct record *oldest = g_queue_peek_head(&stream->records);
	int64_t now = clock_now(log->platform->clock);

	if (oldest == NULL)
		return false;
	if (settings->retain_records > 0 &&
	    stream->records.length > settings->retain_records)
		return true;
	return settings->retain_usec > 0 &&
	       now - oldest->appended_at > settings->retain_usec;
}

static void stream_trim(struct platform_log *log, struct stream *stream)
{
	while (stream_exceeds_retention(log, stream)) {
		record_free(g_queue_pop_head(&stream->records));
		stream->first++;
	}
}

static uint64_t stream_next(const struct stream *stream)
{
	return stream->first + stream->records.length;
}

static bool append_rate_take(struct platform_log *log)
{
	double rate = log->platform->settings.append_rate;
	int64_t now = clock_now(log->platform->clock);

	if (rate <= 0)
		return true;
	log->tokens += rate * (double)(now - log->refilled_at) / USEC_PER_SEC;
	log->tokens = MIN(log->tokens, append_burst(log->platform));
	log->refilled_at = now;
	if (log->tokens < 1.0)
		return false;
	log->tokens -= 1.0;
	return true;
}

static json_t *record_json(uint64_t offset, const struct record *record)
{
	size_t size = 0;
	const void *data = g_bytes_get_data(record->data, &size);
	char *text = g_base64_encode(data, size);
	json_t *json =
		json_pack("{s:I, s:I, s:s}", "offset", (json_int_t)offset,
			  "unix_us", (json_int_t)record->unix_us, "data", text);

	g_free(text);
	return json;
}

/* Searches from the tail, because most reads are of the newest records. */
static const GList *stream_find_record(const struct stream *stream,
				       uint64_t offset)
{
	const GList *link = stream->records.tail;
	uint64_t distance = stream_next(stream) - offset;

	while (distance > 1 && link != NULL) {
		link = link->prev;
		distance--;
	}
	return link;
}

static json_t *stream_page_json(const struct stream *stream, uint64_t from,
				uint64_t max)
{
	uint64_t next = stream_next(stream);
	uint64_t offset = MAX(from, stream->first);
	json_t *records = json_array();
	const GList *link =
		offset < next ? stream_find_record(stream, offset) : NULL;

	for (; link != NULL && json_array_size(records) < max;
	     link = link->next, offset++)
		json_array_append_new(records, record_json(offset, link->data));
	return json_pack("{s:I, s:I, s:o}", "first", (json_int_t)stream->first,
			 "next", (json_int_t)next, "records", records);
}

static void reader_answer(struct reader *reader)
{
	struct platform_log *log = reader->log;
	json_t *page =
		stream_page_json(reader->stream, reader->from, reader->max);
	struct web_request *request = reader->request;

	g_queue_remove(&reader->stream->readers, reader);
	reader_free(reader);
	platform_answer(log->platform, request, 200, page, 0);
}

static void reader_due(struct timer *timer, void *ctx)
{
	reader_answer(ctx);
}

static void reader_gone(void *ctx)
{
	struct reader *reader = ctx;

	g_queue_remove(&reader->stream->readers, reader);
	reader_free(reader);
}

static uint64_t param_number(const struct web_request *request,
			     const char *name, uint64_t fallback)
{
	char text[32];

	if (!web_request_param(request, name, text, sizeof(text)))
		return fallback;
	return g_ascii_strtoull(text, NULL, 10);
}

static void log_read(struct platform_log *log, struct stream *stream,
		     struct web_request *request)
{
	uint64_t from = param_number(request, "from", 0);
	uint64_t max = param_number(request, "max", READ_DEFAULT_RECORDS);
	int64_t wait = (int64_t)MIN(param_number(request, "wait_ms", 0),
				    WAIT_MAX_MSEC);
	struct reader *reader;

	log->reads++;
	max = MIN(max, READ_MAX_RECORDS);
	stream_trim(log, stream);
	if (wait == 0 || from < stream_next(stream)) {
		platform_answer(log->platform, request, 200,
				stream_page_json(stream, from, max), 0);
		return;
	}
	reader = g_new0(struct reader, 1);
	reader->log = log;
	reader->stream = stream;
	reader->request = request;
	reader->from = from;
	reader->max = max;
	timer_init(&reader->timer, log->platform->clock, reader_due, reader);
	timer_start(&reader->timer, wait * USEC_PER_MSEC);
	g_queue_push_tail(&stream->readers, reader);
	web_request_on_gone(request, reader_gone, reader);
}

static uint64_t stream_append(struct platform_log *log, struct stream *stream,
			      struct web_text data)
{
	struct record *record = g_new0(struct record, 1);
	uint64_t offset = stream_next(stream);

	record->appended_at = clock_now(log->platform->clock);
	record->unix_us = clock_unix(log->platform->clock);
	record->data = g_bytes_new(data.data, data.size);
	g_queue_push_tail(&stream->records, record);
	stream->appends++;
	log->appends++;
	log->bytes += (int64_t)data.size;
	return offset;
}

static void log_append(struct platform_log *log, struct stream *stream,
		       struct web_request *request)
{
	struct web_text data = web_request_body(request);
	struct reader *reader;
	uint64_t offset;

	if (data.size > PLATFORM_RECORD_MAX) {
		platform_answer_error(log->platform, request, 413, "too large");
		return;
	}
	if (!append_rate_take(log)) {
		log->refused++;
		platform_answer_error(log->platform, request, 429, "rate");
		return;
	}
	offset = stream_append(log, stream, data);
	platform_answer_effect(
		log->platform, request, 200,
		json_pack("{s:I}", "offset", (json_int_t)offset));
	while ((reader = g_queue_peek_head(&stream->readers)) != NULL)
		reader_answer(reader);
	stream_trim(log, stream);
}

void platform_log_handle(void *ctx, struct web_request *request)
{
	struct platform_log *log = ctx;
	struct platform *platform = log->platform;
	char name[STREAM_NAME_MAX];

	if (platform_apply_cut(platform, request))
		return;
	if (fault_take(&platform->faults, PLATFORM_OUTAGE) != 0) {
		log->refused++;
		platform_answer_error(platform, request, 503, "outage");
	} else if (!request_path_suffix(request, "/log", name, sizeof(name))) {
		platform_answer_error(platform, request, 404, "no stream");
	} else if (request_method_is(request, "POST")) {
		log_append(log, stream_get(log, name), request);
	} else if (request_method_is(request, "GET")) {
		log_read(log, stream_get(log, name), request);
	} else {
		platform_answer_error(platform, request, 405, "method");
	}
}

json_t *platform_log_ledger(const struct platform_log *log)
{
	json_t *streams = json_object();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, log->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct stream *stream = value;

		json_object_set_new(streams, stream->name,
				    json_integer(stream->appends));
	}
	return json_pack("{s:I, s:I, s:I, s:o, s:I}", "appends",
			 (json_int_t)log->appends, "reads",
			 (json_int_t)log->reads, "refused",
			 (json_int_t)log->refused, "by_stream", streams,
			 "bytes", (json_int_t)log->bytes);
}
