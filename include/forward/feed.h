/*
 * feed.h - follows a keyed stream of the platform's store
 *
 * DESCRIPTION
 *	A keyed stream keeps the newest record of each key forever and older
 *	records for a limited time. A feed reads a snapshot of the newest
 *	records, then the records appended since. Where records were dropped
 *	before they could be read, it reads a snapshot again, so no change is
 *	lost for good. A failed read is never taken for an empty stream: while
 *	the store does not answer, the last state read remains in force.
 *
 *	Offsets are positions (common/position.h). When the store has come back
 *	from an older copy, a feed reads a snapshot of the new era; answers of
 *	an earlier one that arrive later count as failed reads.
 *
 *	A feed reads when feed_poll() is called. On its own it only retries a
 *	failed read, unless on_demand is set, and starts again after a gap.
 *	feed_advance() sets a state that was learnt from a peer instead.
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
	uint64_t next;	  /* offset to continue from */
	uint64_t end;	  /* end offset of the stream at the time of the read */
	bool gap;	  /* the store no longer keeps the requested records */
	const char *more; /* last key of a snapshot page that is not the last */
};

/* code is RESULT_OK when page is given, and the reason of the failure
 * otherwise. */
typedef void (*feed_page_fn)(void *ctx, enum result_code code,
			     const struct feed_page *page);

/* The store as a feed uses it. Each call is answered exactly once, in a later
 * iteration of the event loop. */
struct feed_store {
	void (*snapshot)(void *ctx, const char *stream, const char *after,
			 feed_page_fn fn, void *fn_ctx);
	void (*read)(void *ctx, const char *stream, uint64_t from,
		     int64_t wait_usec, feed_page_fn fn, void *fn_ctx);
	void *ctx;
};

/* Callbacks for the records read. All but record may be NULL. */
struct feed_ops {
	void (*snapshot_begin)(void *ctx);
	void (*snapshot_end)(void *ctx);
	void (*record)(void *ctx, const struct feed_record *record);
	/* A read has reached the end of the stream. */
	void (*synced)(void *ctx);
	/* The store answers again after an outage. */
	void (*recovered)(void *ctx);
};

struct feed_settings {
	const char *stream; /* must outlive the feed */
	int64_t wait_usec;  /* how long a read may wait for a record */
	bool on_demand;	    /* only feed_poll() retries a failed read */
	uint64_t seed;	    /* of the instance, for jitter */
};

struct feed;

struct feed *feed_create(struct clock *clock, const struct feed_store *store,
			 const struct feed_settings *settings,
			 const struct feed_ops *ops, void *ctx);
/* An answer that arrives later is dropped. */
void feed_destroy(struct feed *feed);
/* Reads the records since the last read, unless a read is in progress or a
 * failed one is about to be retried. Returns whether it reads. */
bool feed_poll(struct feed *feed);
/* Reads again at once, instead of waiting for an answer that may have been
 * lost. */
void feed_restart(struct feed *feed);
/* Minimum pause after a failed read. It doubles with each consecutive failure,
 * up to 800 ms. */
int64_t feed_backoff(const struct feed *feed);
/* Time that the store took to answer the last read, not counting the wait of a
 * long poll. At most the age of a newer state set by feed_advance(). */
int64_t feed_latency(const struct feed *feed);
/* When the last read failed; valid while feed_failing(). */
int64_t feed_failed_at(const struct feed *feed);
/* Whether the last read failed. */
bool feed_failing(const struct feed *feed);
/* Sets the state that was learnt from a peer: all records before next are
 * known, and next was the end of the stream at the time synced_at. If that is
 * beyond the feed's own position, a pending answer is dropped as older. Returns
 * false and changes nothing when the feed has read beyond next. */
bool feed_advance(struct feed *feed, uint64_t next, int64_t synced_at);
/* Offset up to which records are known; 0 before the first snapshot is
 * complete. */
uint64_t feed_position(const struct feed *feed);
/* Era of the snapshot in progress, or of the last one. */
uint64_t feed_era(const struct feed *feed);
/* When the known records were last sure to be all there are: the time of the
 * last read that reached the end of the stream. FEED_NEVER before the first. */
#define FEED_NEVER INT64_MIN
int64_t feed_synced_at(const struct feed *feed);

#endif
