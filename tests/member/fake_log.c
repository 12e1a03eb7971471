#include "fake_log.h"

#include <string.h>

struct entry {
	int64_t unix_us;
	size_t size;
	unsigned char data[];
};

enum call_stage {
	CALL_GOING, /* on the way to the log */
	CALL_WAITING,
	CALL_COMING, /* the answer is on its way */
};

/* A call in flight: an append when append is set, else a read. */
struct call {
	struct timer timer;
	struct fake_log *log;
	struct node *node;
	enum call_stage stage;
	log_append_fn append;
	log_read_fn read;
	void *ctx;
	uint64_t from;
	uint32_t max;
	int64_t until;
	int64_t life; /* which life of the node made it */
	enum result_code code;
	uint64_t offset;
	bool silent; /* acts, but nobody waits for the answer any more */
	struct entry *entry;
};

static int64_t log_delay(struct fake_log *log)
{
	return g_rand_int_range(log->world->rand, (gint32)log->delay_min,
				(gint32)log->delay_max + 1);
}

static bool log_chance(struct fake_log *log, int per_thousand)
{
	return per_thousand > 0 &&
	       g_rand_int_range(log->world->rand, 0, 1000) < per_thousand;
}

static void call_free(struct call *call)
{
	timer_stop(&call->timer);
	g_ptr_array_remove_fast(call->log->calls, call);
	g_free(call->entry);
	g_free(call);
}

static void log_retain(struct fake_log *log)
{
	int64_t now = clock_unix(log->world->clock);

	while (log->first < log->records->len) {
		const struct entry *entry = log->records->pdata[log->first];
		uint64_t kept = log->records->len - log->first;

		if (!(log->keep && now - entry->unix_us > log->keep) &&
		    !(log->keep_count && kept > log->keep_count))
			return;
		log->first++;
	}
}

static struct entry *entry_create(struct fake_log *log, const void *data,
				  size_t size)
{
	struct entry *entry = g_malloc(sizeof(*entry) + size);

	entry->size = size;
	memcpy(entry->data, data, size);
	return entry;
}

static uint64_t entry_append(struct fake_log *log, struct entry *entry)
{
	entry->unix_us = clock_unix(log->world->clock);
	g_ptr_array_add(log->records, entry);
	log->appends++;
	log_retain(log);
	return log->records->len - 1;
}

uint64_t fake_log_put(struct fake_log *log, const void *data, size_t size)
{
	return entry_append(log, entry_create(log, data, size));
}

static void page_answer(struct call *call)
{
	struct fake_log *log = call->log;
	struct log_record records[64];
	struct log_page page = {.records = records};
	uint64_t at;

	log_retain(log);
	page.first = log->first;
	page.next = log->records->len;
	for (at = MAX(call->from, log->first);
	     at < page.next && page.count < MIN(call->max, 64); at++) {
		const struct entry *entry = log->records->pdata[at];

		records[page.count++] = (struct log_record){
			.offset = at,
			.unix_us = entry->unix_us,
			.data = entry->data,
			.size = entry->size,
		};
	}
	call->read(call->ctx, call->code,
		   call->code == RESULT_OK ? &page : NULL);
}

/* A node that was started anew does not wait for its former life's calls. */
static void call_answer(struct call *call)
{
	struct node *node = call->node;

	if (node->up && node->paused) {
		timer_start(&call->timer, 10 * USEC_PER_MSEC);
		return;
	}
	if (call->append)
		call->append(call->ctx, call->code, call->offset);
	else
		page_answer(call);
	call_free(call);
}

static void append_arrive(struct call *call)
{
	struct fake_log *log = call->log;

	call->offset = entry_append(log, call->entry);
	call->entry = NULL;
	if (call->silent) {
		call_free(call);
		return;
	}
	call->stage = CALL_COMING;
	if (log_chance(log, log->lose))
		call->code = RESULT_LOG_UNKNOWN;
	timer_start(&call->timer, log_delay(log));
}

static void read_arrive(struct call *call)
{
	struct fake_log *log = call->log;

	if (call->from >= log->records->len &&
	    clock_now(log->world->clock) < call->until && !log->out) {
		call->stage = CALL_WAITING;
		timer_start(&call->timer, 20 * USEC_PER_MSEC);
		return;
	}
	if (log->out)
		call->code = RESULT_LOG_DOWN;
	call->stage = CALL_COMING;
	timer_start(&call->timer, log_delay(log));
}

/* The caller is told that nobody knows; the log acts seconds later. */
static void append_late(struct call *call)
{
	struct call *late = g_memdup2(call, sizeof(*call));
	struct fake_log *log = call->log;

	timer_init(&late->timer, log->world->clock, call->timer.fn, late);
	late->silent = true;
	late->stage = CALL_GOING;
	g_ptr_array_add(log->calls, late);
	timer_start(&late->timer, 3 * USEC_PER_SEC);
	call->entry = NULL;
	call->code = RESULT_LOG_UNKNOWN;
	call->stage = CALL_COMING;
	timer_start(&call->timer, log_delay(log));
}

static void call_fired(struct timer *timer, void *ctx)
{
	struct call *call = ctx;
	struct fake_log *log = call->log;

	if (call->stage != CALL_COMING && log->cut[call->node->index] &&
	    !call->silent) {
		timer_start(timer, 100 * USEC_PER_MSEC);
		return;
	}
	if (call->stage == CALL_COMING) {
		call_answer(call);
	} else if (!call->append) {
		read_arrive(call);
	} else if (log->out ||
		   (!call->silent && log_chance(log, log->refuse))) {
		call->code = RESULT_LOG_DOWN;
		call->stage = CALL_COMING;
		if (call->silent)
			call_free(call);
		else
			timer_start(timer, log_delay(log));
	} else if (!call->silent && log_chance(log, log->late)) {
		append_late(call);
	} else {
		append_arrive(call);
	}
}

static struct call *call_create(struct node *node, void *fn_ctx)
{
	struct call *call = g_new0(struct call, 1);
	struct fake_log *log = node->world->extra;

	call->log = log;
	call->node = node;
	call->ctx = fn_ctx;
	timer_init(&call->timer, log->world->clock, call_fired, call);
	timer_start(&call->timer, log_delay(log));
	g_ptr_array_add(log->calls, call);
	return call;
}

static void store_append(void *ctx, const char *stream, const void *data,
			 size_t size, log_append_fn fn, void *fn_ctx)
{
	struct call *call = call_create(ctx, fn_ctx);

	call->append = fn;
	call->entry = entry_create(call->log, data, size);
}

static void store_read(void *ctx, const char *stream, uint64_t from,
		       uint32_t max, int64_t wait_us, log_read_fn fn,
		       void *fn_ctx)
{
	struct call *call = call_create(ctx, fn_ctx);

	call->read = fn;
	call->from = from;
	call->max = max;
	call->until = clock_now(call->log->world->clock) + wait_us;
	call->log->reads++;
}

struct log_store fake_log_store(struct fake_log *log, struct node *node)
{
	return (struct log_store){
		.append = store_append,
		.read = store_read,
		.ctx = node,
	};
}

struct fake_log *fake_log_create(struct world *w)
{
	struct fake_log *log = g_new0(struct fake_log, 1);

	log->world = w;
	log->delay_min = 1 * USEC_PER_MSEC;
	log->delay_max = 20 * USEC_PER_MSEC;
	log->records = g_ptr_array_new_with_free_func(g_free);
	log->calls = g_ptr_array_new();
	w->extra = log;
	return log;
}

/* Every call still in flight is answered: the modules free what they made. */
void fake_log_destroy(struct fake_log *log)
{
	while (log->calls->len) {
		struct call *call = g_ptr_array_steal_index_fast(log->calls, 0);

		call->code = RESULT_LOG_UNKNOWN;
		if (!call->silent && call->append)
			call->append(call->ctx, call->code, 0);
		else if (!call->silent)
			call->read(call->ctx, call->code, NULL);
		call_free(call);
	}
	g_ptr_array_free(log->calls, TRUE);
	g_ptr_array_free(log->records, TRUE);
	g_free(log);
}
