#include "coord/log_tail.h"

#include <glib.h>

#include "common/position.h"
#include "coord/retry.h"

#define BACKOFF_BASE_USEC (100 * USEC_PER_MSEC)
#define BACKOFF_MAX_USEC (2 * USEC_PER_SEC)
/* Delay after an empty read, for stores that ignore wait_us. */
#define IDLE_USEC (20 * USEC_PER_MSEC)

/* Context of a read in flight; it may outlive the tail. */
struct tail_read {
	struct log_tail *tail;
};

struct log_tail {
	struct clock *clock;
	struct log_store store;
	const char *stream;
	GRand *rand;
	struct log_tail_ops ops;
	void *ctx;
	struct timer timer; /* backoff, or timeout of the read in flight */
	struct tail_read *read;
	uint64_t position;
	uint32_t failures;
	bool running;
	bool at_end; /* the last read reached the end of the log */
};

static void tail_read(struct log_tail *tail);

static void tail_failed(struct log_tail *tail, enum result_code code)
{
	int64_t delay = retry_backoff(tail->rand, tail->failures,
				      BACKOFF_BASE_USEC, BACKOFF_MAX_USEC);

	tail->failures++;
	timer_start(&tail->timer, delay);
	if (tail->ops.failed)
		tail->ops.failed(tail->ctx, code);
}

/* Offsets must be contiguous: a record that the page omits, other than by
 * retention, would be lost without notice. */
static bool page_valid(const struct log_tail *tail, const struct log_page *page)
{
	uint64_t expected;

	if (!page || page->next < tail->position || page->first > page->next ||
	    (page->count && !page->records))
		return false;
	expected = MAX(tail->position, page->first);
	if (page->count && page->records[0].offset < expected)
		expected = page->records[0].offset;
	for (size_t i = 0; i < page->count; i++) {
		if (page->records[i].offset != expected + i)
			return false;
	}
	return true;
}

static void tail_page(struct log_tail *tail, const struct log_page *page)
{
	/* Before the first read nothing is missing at the beginning of a log,
	 * in whatever era. */
	if (tail->position == 0 && !tail->at_end &&
	    position_offset(page->first) == 0)
		tail->position = page->first;

	if (page->first > tail->position) {
		uint64_t expected = tail->position;

		tail->position = page->first;
		if (tail->ops.gap)
			tail->ops.gap(tail->ctx, expected, page->first);
	}
	for (size_t i = 0; i < page->count && tail->running; i++) {
		const struct log_record *record = &page->records[i];

		if (record->offset < tail->position)
			continue;
		tail->position = record->offset + 1;
		tail->ops.record(tail->ctx, record);
	}
	tail->at_end = tail->position == page->next;
	if (tail->running && tail->ops.page)
		tail->ops.page(tail->ctx, page);
}

static void read_done(void *ctx, enum result_code code,
		      const struct log_page *page)
{
	struct tail_read *read = ctx;
	struct log_tail *tail = read->tail;
	uint64_t position;

	g_free(read);
	if (!tail)
		return;
	position = tail->position;
	tail->read = NULL;
	timer_stop(&tail->timer);
	if (code != RESULT_OK || !page_valid(tail, page)) {
		tail_failed(tail, code == RESULT_OK ? RESULT_LOG_GAP : code);
		return;
	}
	tail->failures = 0;
	tail_page(tail, page);
	/* A callback may have stopped or restarted the tail. */
	if (!tail->running || tail->read || timer_running(&tail->timer))
		return;
	if (tail->position == position)
		timer_start(&tail->timer, IDLE_USEC);
	else
		tail_read(tail);
}

static void tail_drop_read(struct log_tail *tail)
{
	if (!tail->read)
		return;
	tail->read->tail = NULL;
	tail->read = NULL;
}

static void tail_read(struct log_tail *tail)
{
	struct tail_read *read = g_new0(struct tail_read, 1);

	read->tail = tail;
	tail->read = read;
	timer_start(&tail->timer, LOG_TAIL_WAIT_USEC + LOG_TAIL_LATE_USEC);
	tail->store.read(
		tail->store.ctx, tail->stream, tail->position, LOG_TAIL_RECORDS,
		tail->at_end ? LOG_TAIL_WAIT_USEC : 0, read_done, read);
}

static void tail_timer(struct timer *timer, void *ctx)
{
	struct log_tail *tail = ctx;

	if (tail->read) {
		tail_drop_read(tail);
		tail_failed(tail, RESULT_LOG_DOWN);
		return;
	}
	tail_read(tail);
}

struct log_tail *log_tail_create(struct clock *clock,
				 const struct log_store *store,
				 const char *stream, uint32_t seed,
				 const struct log_tail_ops *ops, void *ctx)
{
	struct log_tail *tail = g_new0(struct log_tail, 1);

	tail->clock = clock;
	tail->store = *store;
	tail->stream = stream;
	tail->rand = g_rand_new_with_seed(seed);
	tail->ops = *ops;
	tail->ctx = ctx;
	timer_init(&tail->timer, clock, tail_timer, tail);
	return tail;
}

void log_tail_destroy(struct log_tail *tail)
{
	if (!tail)
		return;
	log_tail_stop(tail);
	g_rand_free(tail->rand);
	g_free(tail);
}

void log_tail_start(struct log_tail *tail, uint64_t from)
{
	log_tail_stop(tail);
	tail->position = from;
	tail->failures = 0;
	tail->at_end = false;
	tail->running = true;
	tail_read(tail);
}

void log_tail_stop(struct log_tail *tail)
{
	tail->running = false;
	timer_stop(&tail->timer);
	tail_drop_read(tail);
}

bool log_tail_running(const struct log_tail *tail)
{
	return tail->running;
}

void log_tail_retry_now(struct log_tail *tail)
{
	if (!tail->running || tail->read)
		return;
	timer_stop(&tail->timer);
	tail_read(tail);
}

uint64_t log_tail_position(const struct log_tail *tail)
{
	return tail->position;
}

uint32_t log_tail_failures(const struct log_tail *tail)
{
	return tail->failures;
}
