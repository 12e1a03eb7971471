#include "memory_log.h"

#include <glib.h>

#define ANSWER_DELAY_USEC USEC_PER_MSEC

struct memory_log {
	struct clock *clock;
	GHashTable *streams; /* stream name to GArray of struct log_record */
};

/* An answer must not be given within the call, so a timer delivers it. */
struct answer {
	struct timer timer;
	const GArray *records;
	uint64_t offset;
	uint32_t max;
	log_append_fn appended;
	log_read_fn read;
	void *fn_ctx;
};

static void records_free(void *data)
{
	GArray *records = data;

	for (guint i = 0; i < records->len; i++)
		g_free((void *)g_array_index(records, struct log_record, i)
			       .data);
	g_array_unref(records);
}

static GArray *stream_get(struct memory_log *log, const char *name)
{
	GArray *records = g_hash_table_lookup(log->streams, name);

	if (records)
		return records;
	records = g_array_new(FALSE, FALSE, sizeof(struct log_record));
	g_hash_table_insert(log->streams, g_strdup(name), records);
	return records;
}

static void answer_deliver(struct timer *timer, void *ctx)
{
	struct answer *answer = ctx;
	uint64_t next = answer->records->len;
	uint64_t from = MIN(answer->offset, next);
	struct log_page page = {
		.next = next,
		.records = (const struct log_record *)(const void *)
				   answer->records->data +
			   from,
		.count = MIN(next - from, answer->max),
	};

	if (answer->appended)
		answer->appended(answer->fn_ctx, RESULT_OK, answer->offset);
	else
		answer->read(answer->fn_ctx, RESULT_OK, &page);
	g_free(answer);
}

static struct answer *answer_create(struct memory_log *log,
				    const GArray *records, uint64_t offset,
				    void *fn_ctx)
{
	struct answer *answer = g_new0(struct answer, 1);

	answer->records = records;
	answer->offset = offset;
	answer->fn_ctx = fn_ctx;
	timer_init(&answer->timer, log->clock, answer_deliver, answer);
	timer_start(&answer->timer, ANSWER_DELAY_USEC);
	return answer;
}

static void log_append(void *ctx, const char *stream, const void *data,
		       size_t size, log_append_fn fn, void *fn_ctx)
{
	struct memory_log *log = ctx;
	GArray *records = stream_get(log, stream);
	struct log_record record = {
		.offset = records->len,
		.unix_us = clock_unix(log->clock),
		.data = g_memdup2(data, size),
		.size = size,
	};

	g_array_append_val(records, record);
	answer_create(log, records, record.offset, fn_ctx)->appended = fn;
}

static void log_read(void *ctx, const char *stream, uint64_t from, uint32_t max,
		     int64_t wait_us, log_read_fn fn, void *fn_ctx)
{
	struct memory_log *log = ctx;
	struct answer *answer =
		answer_create(log, stream_get(log, stream), from, fn_ctx);

	answer->read = fn;
	answer->max = max;
}

struct memory_log *memory_log_create(struct clock *clock)
{
	struct memory_log *log = g_new0(struct memory_log, 1);

	log->clock = clock;
	log->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     records_free);
	return log;
}

void memory_log_destroy(struct memory_log *log)
{
	g_hash_table_destroy(log->streams);
	g_free(log);
}

struct log_store memory_log_store(struct memory_log *log)
{
	return (struct log_store){log_append, log_read, log};
}
