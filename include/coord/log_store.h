/*
 * log_store.h - interface to the platform's append-only log
 *
 * DESCRIPTION
 *	The embedder implements the functions. Offsets increase by one per
 *	record. If the store can come back from an older copy, they are
 *	positions (common/position.h): a read from one of an earlier era is
 *	answered with the first offset of the log of now, which is a gap.
 *append() answers with the offset, or with RESULT_LOG_DOWN (certainly not
 *appended), or with RESULT_LOG_UNKNOWN (possibly appended). read() answers with
 *the records from an offset on and the first offset still kept. Each call is
 *answered exactly once, in a later iteration of the event loop. Calls in flight
 *when the store is destroyed are answered then with RESULT_LOG_UNKNOWN or
 *RESULT_LOG_DOWN, since the caller frees its context on the answer.
 */
#ifndef COORD_LOG_STORE_H
#define COORD_LOG_STORE_H

#include <stddef.h>
#include <stdint.h>

#include "common/error.h"

struct log_record {
	uint64_t offset;
	int64_t unix_us; /* the log's own time of the append */
	const void *data;
	size_t size;
};

struct log_page {
	uint64_t first; /* oldest offset still kept */
	uint64_t next;	/* offset of the next append */
	const struct log_record *records;
	size_t count;
};

typedef void (*log_append_fn)(void *ctx, enum result_code code,
			      uint64_t offset);
typedef void (*log_read_fn)(void *ctx, enum result_code code,
			    const struct log_page *page);

struct log_store {
	void (*append)(void *ctx, const char *stream, const void *data,
		       size_t size, log_append_fn fn, void *fn_ctx);
	/* Waits up to wait_us for a record when there is none yet. */
	void (*read)(void *ctx, const char *stream, uint64_t from, uint32_t max,
		     int64_t wait_us, log_read_fn fn, void *fn_ctx);
	void *ctx;
};

#define LOG_STREAM_CONFIG "config"
#define LOG_STREAM_CLAIMS "claims"
#define LOG_STREAM_LEASES "leases"

#endif
