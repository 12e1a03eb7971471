/*
 * A log tail delivers each record once and in order whatever the store does.
 * The store follows the script of each row.
 */
#include <glib.h>
#include <string.h>

#include "common/position.h"
#include "coord/log_tail.h"
#include "rows.h"

/* The store's reaction to one read. */
enum store_action {
	STORE_RECORDS, /* count records from the requested offset */
	STORE_OVERLAP, /* also one record before the requested offset */
	STORE_DROPPED, /* records from the requested offset are gone */
	STORE_EMPTY,
	STORE_DOWN,
	STORE_BAD_PAGE, /* next is before the requested offset */
	STORE_SILENT,	/* no answer */
	STORE_LATE,	/* the answer arrives after the timeout */
	STORE_ERA,	/* one record, the first of the log of era count */
	STORE_STOP,	/* the tail is stopped while the read is in flight */
};

struct step {
	enum store_action action;
	uint64_t count;
};

struct store {
	struct clock *clock;
	struct timer timer;
	const struct step *steps;
	size_t step_count;
	size_t step;
	struct log_tail *tail;
	uint64_t from;
	log_read_fn fn;
	void *fn_ctx;
	log_read_fn late_fn;
	void *late_ctx;
	int reads;
	GString *trace;
	bool stop_in_record;
};

static void answer(struct store *s, log_read_fn fn, void *ctx, uint64_t first,
		   uint64_t from, uint64_t count)
{
	struct log_record records[8];
	struct log_page page = {
		.first = first,
		.next = from + count,
		.records = records,
		.count = count,
	};

	for (uint64_t i = 0; i < count; i++)
		records[i] = (struct log_record){.offset = from + i};
	fn(ctx, RESULT_OK, &page);
}

static void store_act(struct timer *timer, void *ctx)
{
	struct store *s = ctx;
	const struct step *step = &s->steps[s->step++];
	log_read_fn fn = s->fn;
	void *fn_ctx = s->fn_ctx;

	s->fn = NULL;
	switch (step->action) {
	case STORE_RECORDS:
		answer(s, fn, fn_ctx, 0, s->from, step->count);
		break;
	case STORE_OVERLAP:
		answer(s, fn, fn_ctx, 0, s->from - 1, step->count + 1);
		break;
	case STORE_DROPPED:
		answer(s, fn, fn_ctx, s->from + 3, s->from + 3, step->count);
		break;
	case STORE_ERA:
		answer(s, fn, fn_ctx, position_make(step->count, 0),
		       position_make(step->count, 0), 1);
		break;
	case STORE_EMPTY:
		answer(s, fn, fn_ctx, 0, s->from, 0);
		break;
	case STORE_DOWN:
		fn(fn_ctx, RESULT_LOG_DOWN, NULL);
		break;
	case STORE_BAD_PAGE:
		answer(s, fn, fn_ctx, 0, s->from - 1, 0);
		break;
	case STORE_SILENT:
	case STORE_LATE:
		s->late_fn = fn;
		s->late_ctx = fn_ctx;
		break;
	case STORE_STOP:
		log_tail_stop(s->tail);
		g_string_append(s->trace, "stopped ");
		answer(s, fn, fn_ctx, 0, s->from, 1);
		break;
	}
}

static void store_read(void *ctx, const char *stream, uint64_t from,
		       uint32_t max, int64_t wait_us, log_read_fn fn,
		       void *fn_ctx)
{
	struct store *s = ctx;

	g_assert_null(s->fn);
	g_assert_cmpstr(stream, ==, LOG_STREAM_CONFIG);
	g_assert_cmpuint(max, ==, LOG_TAIL_RECORDS);
	s->reads++;
	s->from = from;
	s->fn = fn;
	s->fn_ctx = fn_ctx;
	if (s->step < s->step_count)
		timer_start(&s->timer, 1000);
}

static void tail_record(void *ctx, const struct log_record *record)
{
	struct store *s = ctx;

	g_string_append_printf(s->trace, "%" G_GUINT64_FORMAT " ",
			       record->offset);
	if (s->stop_in_record)
		log_tail_stop(s->tail);
}

static void tail_gap(void *ctx, uint64_t expected, uint64_t first)
{
	struct store *s = ctx;

	g_string_append_printf(
		s->trace, "gap:%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT " ",
		expected, first);
}

static void tail_failed(void *ctx, enum result_code code)
{
	struct store *s = ctx;

	g_string_append_printf(s->trace, "%s ", result_label(code));
}

struct row {
	const char *name;
	struct step steps[4];
	size_t count;
	bool stop_in_record;
	const char *trace;
	uint64_t position;
	bool running;
	bool from_start; /* of the log, instead of from 5 */
};

static const struct row rows[] = {
	{"records in order",
	 {{STORE_RECORDS, 2}, {STORE_RECORDS, 3}},
	 2,
	 false,
	 "5 6 7 8 9 ",
	 10,
	 true,
	 false},
	{"an empty page",
	 {{STORE_EMPTY, 0}, {STORE_RECORDS, 1}},
	 2,
	 false,
	 "5 ",
	 6,
	 true,
	 false},
	{"a record twice",
	 {{STORE_RECORDS, 1}, {STORE_OVERLAP, 1}},
	 2,
	 false,
	 "5 6 ",
	 7,
	 true,
	 false},
	{"records dropped",
	 {{STORE_RECORDS, 1}, {STORE_DROPPED, 2}},
	 2,
	 false,
	 "5 gap:6-9 9 10 ",
	 11,
	 true,
	 false},
	{"all records dropped",
	 {{STORE_DROPPED, 0}},
	 1,
	 false,
	 "gap:5-8 ",
	 8,
	 true,
	 false},
	{"the log is down",
	 {{STORE_RECORDS, 1}, {STORE_DOWN, 0}, {STORE_RECORDS, 1}},
	 3,
	 false,
	 "5 log-down 6 ",
	 7,
	 true,
	 false},
	{"the log is down twice",
	 {{STORE_DOWN, 0}, {STORE_DOWN, 0}, {STORE_RECORDS, 1}},
	 3,
	 false,
	 "log-down log-down 5 ",
	 6,
	 true,
	 false},
	{"a page with a lower end",
	 {{STORE_BAD_PAGE, 0}, {STORE_RECORDS, 1}},
	 2,
	 false,
	 "log-gap 5 ",
	 6,
	 true,
	 false},
	{"no answer",
	 {{STORE_SILENT, 0}, {STORE_RECORDS, 1}},
	 2,
	 false,
	 "log-down 5 ",
	 6,
	 true,
	 false},
	{"a late answer",
	 {{STORE_LATE, 0}, {STORE_RECORDS, 2}},
	 2,
	 false,
	 "log-down 5 6 ",
	 7,
	 true,
	 false},
	{"stopped in flight",
	 {{STORE_STOP, 0}},
	 1,
	 false,
	 "stopped ",
	 5,
	 false,
	 false},
	{"stopped in a record",
	 {{STORE_RECORDS, 3}},
	 1,
	 true,
	 "5 ",
	 6,
	 false,
	 false},
	{"the start of a log of a later era",
	 {{STORE_ERA, 1}},
	 1,
	 false,
	 "1099511627776 ",
	 ((uint64_t)1 << POSITION_OFFSET_BITS) + 1,
	 true,
	 true},
	{"an empty log that is replaced",
	 {{STORE_EMPTY, 0}, {STORE_ERA, 1}},
	 2,
	 false,
	 "gap:0-1099511627776 1099511627776 ",
	 ((uint64_t)1 << POSITION_OFFSET_BITS) + 1,
	 true,
	 true},
	{"a log that is replaced by a shorter one",
	 {{STORE_RECORDS, 3}, {STORE_ERA, 1}},
	 2,
	 false,
	 "0 1 2 gap:3-1099511627776 1099511627776 ",
	 ((uint64_t)1 << POSITION_OFFSET_BITS) + 1,
	 true,
	 true},
};

static void test_row(gconstpointer data)
{
	static const struct log_tail_ops ops = {
		.record = tail_record,
		.gap = tail_gap,
		.failed = tail_failed,
	};
	const struct row *row = data;
	struct store s = {.steps = row->steps, .step_count = row->count};
	struct log_store store = {.read = store_read, .ctx = &s};

	s.clock = clock_create(0);
	s.trace = g_string_new(NULL);
	s.stop_in_record = row->stop_in_record;
	timer_init(&s.timer, s.clock, store_act, &s);
	s.tail = log_tail_create(s.clock, &store, LOG_STREAM_CONFIG, 1, &ops,
				 &s);
	log_tail_start(s.tail, row->from_start ? 0 : 5);
	/* Ends before the last read, which gets no answer, times out. */
	for (int i = 0; i < 60 && (s.step < row->count || i < 2); i++)
		clock_advance(s.clock, clock_now(s.clock) + USEC_PER_SEC / 2);
	if (s.late_fn) {
		answer(&s, s.late_fn, s.late_ctx, 0, 5, 1);
		g_assert_cmpint(s.reads, >=, 2);
	}
	g_assert_cmpstr(s.trace->str, ==, row->trace);
	g_assert_cmpuint(log_tail_position(s.tail), ==, row->position);
	g_assert_cmpint(log_tail_running(s.tail), ==, row->running);
	g_assert_cmpuint(log_tail_failures(s.tail), ==, 0);
	log_tail_destroy(s.tail);
	if (s.fn)
		s.fn(s.fn_ctx, RESULT_LOG_DOWN, NULL);
	clock_destroy(s.clock);
	g_string_free(s.trace, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/log-tail/", rows, test_row);
	return g_test_run();
}
