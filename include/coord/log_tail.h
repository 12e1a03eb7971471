/*
 * log_tail.h - follows one stream of the log from an offset on
 *
 * DESCRIPTION
 *	A tail keeps one read in flight, hands over each record once and in
 *	order, and goes on from the next offset. Reads wait for a record only
 *	once the end was reached, so an idle stream is known to be read whole
 *	at once. A failed read is tried again after a backoff with jitter
 *	(100 ms doubling to 2 s); one that is not answered is given up
 *	LOG_TAIL_LATE_USEC after its wait and its late answer is dropped.
 *	Records that retention dropped before they were read are reported as a
 *	gap, then the tail goes on at the first one kept. A page that leaves
 *	out an offset counts as a failed read.
 *
 *	Within a callback the tail may be stopped, not destroyed.
 */
#ifndef COORD_LOG_TAIL_H
#define COORD_LOG_TAIL_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "coord/log_store.h"

#define LOG_TAIL_WAIT_USEC (4 * USEC_PER_SEC)
#define LOG_TAIL_LATE_USEC (2 * USEC_PER_SEC)
#define LOG_TAIL_RECORDS 64

/* Any callback but record may be NULL. */
struct log_tail_ops {
	void (*record)(void *ctx, const struct log_record *record);
	/* Records from expected to before first are gone. */
	void (*gap)(void *ctx, uint64_t expected, uint64_t first);
	/* A page was read whole: all before next has been handed over when
	 * log_tail_position() equals page->next. */
	void (*page)(void *ctx, const struct log_page *page);
	/* A read failed; the tail tries again by itself. */
	void (*failed)(void *ctx, enum result_code code);
};

struct log_tail;

/* stream must live as long as the tail. */
struct log_tail *log_tail_create(struct clock *clock,
				 const struct log_store *store,
				 const char *stream, uint32_t seed,
				 const struct log_tail_ops *ops, void *ctx);
void log_tail_destroy(struct log_tail *tail);
/* Follows the stream from offset from on; a running tail moves there. */
void log_tail_start(struct log_tail *tail, uint64_t from);
/* The answer in flight, if any, will be dropped. */
void log_tail_stop(struct log_tail *tail);
bool log_tail_running(const struct log_tail *tail);
/* Reads again now instead of after the backoff; for a caller who waits. */
void log_tail_retry_now(struct log_tail *tail);
/* Offset of the next record to be handed over. */
uint64_t log_tail_position(const struct log_tail *tail);
/* Failed reads in a row; 0 when the last one was answered. */
uint32_t log_tail_failures(const struct log_tail *tail);

#endif
