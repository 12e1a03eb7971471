/*
 * feed.h - follows a keyed stream of the platform's store
 *
 * DESCRIPTION
 *	A keyed stream keeps the newest record of each key for ever and the
 *	others for a while. A feed reads a snapshot of the newest records, then
 *	what was appended since, and goes on so. Where records were dropped
 *	before they were read it takes a snapshot again, so no change is missed
 *	for good. It never takes a failure for an empty stream: while the store
 *	does not answer, what was read last stays in force.
 *
 *	A feed reads when it is told to by feed_poll(); by itself it only
 *	repeats a read that failed and begins again after a gap. What was
 *	learnt in another way (from a peer that read it) is told by
 *	feed_advance().
 */
#ifndef FORWARD_FEED_H
#define FORWARD_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"

struct feed_record {
	uint64_t offset;
	const char *key;
	const void *value; /* NULL: the key was dropped */
	size_t size;
};

struct feed_page {
	const struct feed_record *records;
	size_t count;
	uint64_t next;	  /* offset to go on from */
	uint64_t end;	  /* of the stream when it was read */
	bool gap;	  /* records before the first kept one are gone */
	const char *more; /* of a snapshot: its last key, when more follow */
};

/* code is RESULT_OK when page is given, RESULT_LOG_DOWN otherwise. */
typedef void (*feed_page_fn)(void *ctx, enum result_code code,
			     const struct feed_page *page);

/* The store, as a feed needs it. Each call answers once, in a later turn. */
struct feed_store {
	void (*snapshot)(void *ctx, const char *stream, const char *after,
			 feed_page_fn fn, void *fn_ctx);
	void (*read)(void *ctx, const char *stream, uint64_t from,
		     int64_t wait_usec, feed_page_fn fn, void *fn_ctx);
	void *ctx;
};

/* What becomes of the records. Any but record may be NULL. */
struct feed_ops {
	void (*snapshot_begin)(void *ctx);
	void (*snapshot_end)(void *ctx);
	void (*record)(void *ctx, const struct feed_record *record);
	/* The store answers again after it did not. */
	void (*recovered)(void *ctx);
};

struct feed_settings {
	const char *stream; /* must outlive the feed */
	int64_t wait_usec;  /* that a read may wait for a record */
	bool on_demand;	    /* a failed read is repeated by feed_poll() only */
	uint64_t seed;	    /* of the instance, for what is spread by chance */
};

struct feed;

struct feed *feed_create(struct clock *clock, const struct feed_store *store,
			 const struct feed_settings *settings,
			 const struct feed_ops *ops, void *ctx);
/* An answer that is still due is dropped when it comes. */
void feed_destroy(struct feed *feed);
/* Reads what has come since, unless a read is under way or a failed one is
 * repeated by itself soon; returns whether it does. */
bool feed_poll(struct feed *feed);
/* Reads anew at once instead of waiting for an answer that may have been lost.
 */
void feed_restart(struct feed *feed);
/* How long a read that failed is not to be repeated; doubles with each failure
 * in a row. */
int64_t feed_backoff(const struct feed *feed);
/* How long the store took to answer the last read, beyond the time that this
 * one waited; no longer than the age of what was learnt in another way since.
 */
int64_t feed_latency(const struct feed *feed);
/* When the last read failed, while feed_failing(). */
int64_t feed_failed_at(const struct feed *feed);
/* Whether the store has not answered the last reads. */
bool feed_failing(const struct feed *feed);
/* What is known is as of next, and was all there was at the time fresh. An
 * answer that is still due is dropped, as it is older. False, and nothing
 * happens, when the feed is further already. */
bool feed_advance(struct feed *feed, uint64_t next, int64_t synced_at);
/* Offset up to which records are known; 0 before the first snapshot. */
uint64_t feed_position(const struct feed *feed);
/* When what is known was last sure to be all there is: the sending of the last
 * read that found the end. FEED_NEVER before the first. */
#define FEED_NEVER INT64_MIN
int64_t feed_synced_at(const struct feed *feed);

#endif
