#include "fake_log.h"

#include <string.h>

#include "common/position.h"

#define POLL_USEC (20 * USEC_PER_MSEC)
#define SILENT_RECHECK_USEC (100 * USEC_PER_MSEC)
#define LATE_APPLY_USEC (3 * USEC_PER_SEC)

struct append {
	struct fake_log *log;
	struct fake_log_client *client;
	char *stream;
	GBytes *data;
	log_append_fn fn;
	void *fn_ctx;
	enum result_code code;
	uint64_t offset;
	bool apply;
	bool answer;
};

struct read {
	struct fake_log *log;
	struct fake_log_client *client;
	char *stream;
	uint64_t from;
	uint32_t max;
	int64_t until;
	log_read_fn fn;
	void *fn_ctx;
	enum result_code code;
	GArray *records;
	struct log_page page;
};

static int64_t log_random(struct fake_log *log, int64_t limit)
{
	return (int64_t)(g_rand_double(log->rand) * (double)limit);
}

static bool log_chance(struct fake_log *log, int percent)
{
	return g_rand_int_range(log->rand, 0, 100) < percent;
}

static bool log_chance_permille(struct fake_log *log, int per_thousand)
{
	return per_thousand > 0 &&
	       g_rand_int_range(log->rand, 0, 1000) < per_thousand;
}

static int64_t log_delay(struct fake_log *log)
{
	return log->fixed_delay + log_random(log, log->delay);
}

static void record_free(void *data)
{
	struct log_record *record = data;

	g_free((void *)record->data);
	g_free(record);
}

static void stream_free(void *data)
{
	g_ptr_array_free(data, TRUE);
}

static GPtrArray *stream_get(struct fake_log *log, const char *name)
{
	GPtrArray *stream = g_hash_table_lookup(log->streams, name);

	if (stream)
		return stream;
	stream = g_ptr_array_new_with_free_func(record_free);
	g_hash_table_insert(log->streams, g_strdup(name), stream);
	return stream;
}

struct fake_log *fake_log_create(struct clock *clock,
				 struct call_queue *call_queue, GRand *rand)
{
	struct fake_log *log = g_new0(struct fake_log, 1);

	log->clock = clock;
	log->call_queue = call_queue;
	log->rand = rand;
	log->delay = 10 * USEC_PER_MSEC;
	log->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     stream_free);
	return log;
}

void fake_log_destroy(struct fake_log *log)
{
	g_hash_table_destroy(log->streams);
	g_free(log);
}

const GPtrArray *fake_log_records(struct fake_log *log, const char *stream)
{
	return stream_get(log, stream);
}

uint64_t fake_log_first(struct fake_log *log, const char *stream)
{
	const GPtrArray *records = stream_get(log, stream);
	int64_t oldest = clock_unix(log->clock) - log->retention;
	uint64_t first = 0;

	while (log->retention && first < records->len &&
	       ((struct log_record *)records->pdata[first])->unix_us < oldest)
		first++;
	return first;
}

void fake_log_put(struct fake_log *log, const char *stream, const void *data,
		  size_t size)
{
	GPtrArray *records = stream_get(log, stream);
	struct log_record *record = g_new0(struct log_record, 1);

	record->offset = records->len;
	record->unix_us = clock_unix(log->clock);
	record->data = g_memdup2(data, size);
	record->size = size;
	g_ptr_array_add(records, record);
}

void fake_log_restore(struct fake_log *log, int64_t age_usec)
{
	int64_t copied_at = clock_unix(log->clock) - age_usec;
	GHashTableIter iter;
	GPtrArray *records;

	g_hash_table_iter_init(&iter, log->streams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&records))
		while (records->len > 0 &&
		       ((struct log_record *)records->pdata[records->len - 1])
				       ->unix_us > copied_at)
			g_ptr_array_remove_index(records, records->len - 1);
	log->era++;
}

static void append_free(void *data)
{
	struct append *append = data;

	g_free(append->stream);
	g_bytes_unref(append->data);
	g_free(append);
}

static void append_answer(void *data)
{
	struct append *append = data;

	append->fn(append->fn_ctx, append->code, append->offset);
}

static void append_arrived(void *data)
{
	struct append *append = data;
	struct fake_log *log = append->log;

	if (append->client->silent && append->answer) {
		call_queue_add(log->call_queue, SILENT_RECHECK_USEC,
			       append_arrived, append, NULL);
		return;
	}
	if (append->apply && log->outage && log->outage_at_arrival) {
		append->apply = false;
		if (append->code == RESULT_OK)
			append->code = RESULT_LOG_DOWN;
	}
	if (append->apply) {
		append->offset = position_make(
			log->era, stream_get(log, append->stream)->len);
		fake_log_put(log, append->stream,
			     g_bytes_get_data(append->data, NULL),
			     g_bytes_get_size(append->data));
	}
	if (append->answer)
		append->client->post(append->client->node, log_delay(log),
				     append_answer, append, append_free);
	else
		append_free(append);
}

static struct append *append_create(struct fake_log_client *client,
				    const char *stream, const void *data,
				    size_t size)
{
	struct append *append = g_new0(struct append, 1);

	append->log = client->log;
	append->client = client;
	append->stream = g_strdup(stream);
	append->data = g_bytes_new(data, size);
	append->answer = true;
	return append;
}

/* Applies a copy of the append after the delay, as a network might that holds
 * it back. */
static void append_apply_late(const struct append *append, int64_t delay)
{
	gsize size;
	const void *data = g_bytes_get_data(append->data, &size);
	struct append *late =
		append_create(append->client, append->stream, data, size);

	late->apply = true;
	late->answer = false;
	call_queue_add(late->log->call_queue, delay, append_arrived, late,
		       NULL);
}

/* Draws the fault of an append that would otherwise succeed. */
static void append_draw_fault(struct append *append)
{
	struct fake_log *log = append->log;

	if (log_chance_permille(log, log->refused_permille)) {
		append->code = RESULT_LOG_DOWN;
		append->apply = false;
	} else if (log_chance_permille(log, log->late_permille)) {
		append->code = RESULT_LOG_UNKNOWN;
		append->apply = false;
		append_apply_late(append, LATE_APPLY_USEC);
	} else if (log_chance_permille(log, log->answer_lost_permille)) {
		append->code = RESULT_LOG_UNKNOWN;
	}
}

static void log_append(void *ctx, const char *stream, const void *data,
		       size_t size, log_append_fn fn, void *fn_ctx)
{
	struct fake_log_client *client = ctx;
	struct fake_log *log = client->log;
	struct append *append = append_create(client, stream, data, size);

	log->appends++;
	append->fn = fn;
	append->fn_ctx = fn_ctx;
	append->apply = !log->outage && !client->partitioned;
	append->code = append->apply ? RESULT_OK : RESULT_LOG_DOWN;
	if (log_chance(log, log->lost_percent)) {
		append->code = RESULT_LOG_UNKNOWN;
		append->apply = append->apply && log_chance(log, 50);
		if (!append->apply && log_chance(log, 50))
			append_apply_late(append,
					  log_random(log, 2 * USEC_PER_SEC));
	} else if (append->apply) {
		append_draw_fault(append);
	}
	call_queue_add(log->call_queue, log_delay(log), append_arrived, append,
		       NULL);
}

static void read_free(void *data)
{
	struct read *read = data;

	g_array_unref(read->records);
	g_free(read->stream);
	g_free(read);
}

static void read_answer(void *data)
{
	struct read *read = data;

	read->fn(read->fn_ctx, read->code,
		 read->code == RESULT_OK ? &read->page : NULL);
}

/* A read from a position of another era is answered with the beginning of the
 * log, or, beyond its end, too. */
static bool is_replaced(const struct read *read, const GPtrArray *records)
{
	return read->from > 0 && (position_era(read->from) != read->log->era ||
				  position_offset(read->from) > records->len);
}

static void read_fill(struct read *read, const GPtrArray *records)
{
	struct fake_log *log = read->log;
	uint64_t first = fake_log_first(log, read->stream);
	uint64_t from = position_offset(read->from);

	g_array_set_size(read->records, 0);
	read->page = (struct log_page){
		.first = position_make(log->era, first),
		.next = position_make(log->era, first),
	};
	if (is_replaced(read, records))
		return;
	for (uint64_t i = MAX(first, from);
	     i < records->len && read->records->len < read->max; i++) {
		struct log_record record =
			*(struct log_record *)records->pdata[i];

		record.offset = position_make(log->era, i);
		g_array_append_val(read->records, record);
	}
	if (read->records->len > 1 && log_chance(log, log->hole_percent))
		g_array_remove_index(read->records, 0);
	read->page.next = position_make(log->era, records->len);
	read->page.records = (struct log_record *)(void *)read->records->data;
	read->page.count = read->records->len;
}

static void read_arrived(void *data)
{
	struct read *read = data;
	struct fake_log *log = read->log;
	const GPtrArray *records = stream_get(log, read->stream);

	if (read->client->silent) {
		call_queue_add(log->call_queue, SILENT_RECHECK_USEC,
			       read_arrived, read, NULL);
		return;
	}
	read->code = log->outage || read->client->partitioned ? RESULT_LOG_DOWN
							      : RESULT_OK;
	read_fill(read, records);
	if (read->code == RESULT_OK && !read->page.count &&
	    !is_replaced(read, records) &&
	    clock_now(log->clock) < read->until) {
		call_queue_add(log->call_queue, POLL_USEC, read_arrived, read,
			       NULL);
		return;
	}
	read->client->post(read->client->node, log_delay(log), read_answer,
			   read, read_free);
}

static void log_read(void *ctx, const char *stream, uint64_t from, uint32_t max,
		     int64_t wait_us, log_read_fn fn, void *fn_ctx)
{
	struct fake_log_client *client = ctx;
	struct fake_log *log = client->log;
	struct read *read = g_new0(struct read, 1);

	read->log = log;
	read->client = client;
	read->stream = g_strdup(stream);
	read->from = from;
	read->max = max;
	read->until = clock_now(log->clock) + wait_us;
	read->fn = fn;
	read->fn_ctx = fn_ctx;
	read->records = g_array_new(FALSE, FALSE, sizeof(struct log_record));
	call_queue_add(log->call_queue, log_delay(log), read_arrived, read,
		       NULL);
}

struct log_store fake_log_store(struct fake_log_client *client)
{
	return (struct log_store){log_append, log_read, client};
}
