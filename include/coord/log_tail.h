/*
 * log_tail.h - follows one stream of the log from a given offset
 *
 * DESCRIPTION
 *	A tail keeps one read in flight and delivers each record once and in
 *	order. A read waits for a record only after the end was reached, so the
 *	end of an idle stream is detected without a wait. A failed read is
 *	retried after a backoff with jitter (100 ms doubling to 2 s). A read
 *	times out LOG_TAIL_LATE_USEC after its wait; its late answer is dropped.
 *	Records that retention dropped before they were read are reported as a
 *	gap, and the tail continues at the first one kept. A page that omits an
 *	offset counts as a failed read.
 *
 *	A callback may stop the tail, but not destroy it.
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
	/* Records from offset expected up to, not including, first are gone. */
	void (*gap)(void *ctx, uint64_t expected, uint64_t first);
	/* All records of a page were delivered. The end of the log is reached
	 * when log_tail_position() equals page->next. */
	void (*page)(void *ctx, const struct log_page *page);
	/* A read failed; the tail retries it. */
	void (*failed)(void *ctx, enum result_code code);
};

struct log_tail;

/* stream must outlive the tail. */
struct log_tail *log_tail_create(struct clock *clock,
				 const struct log_store *store,
				 const char *stream, uint32_t seed,
				 const struct log_tail_ops *ops, void *ctx);
void log_tail_destroy(struct log_tail *tail);
/* Follows the stream from offset from; restarts a running tail there. */
void log_tail_start(struct log_tail *tail, uint64_t from);
/* Drops the answer to a read in flight. */
void log_tail_stop(struct log_tail *tail);
bool log_tail_running(const struct log_tail *tail);
/* Reads now instead of after the backoff, for a caller that waits. */
void log_tail_retry_now(struct log_tail *tail);
/* Offset of the next record to be delivered. */
uint64_t log_tail_position(const struct log_tail *tail);
/* Failed reads in a row; 0 when the last one was answered. */
uint32_t log_tail_failures(const struct log_tail *tail);

#endif
