/*
 * log_store.h - the platform's append-only log, as this library needs it
 *
 * DESCRIPTION
 *	The embedder fills the table. Offsets rise by one a record. append()
 *	answers with the offset, or with RESULT_LOG_DOWN (surely not appended),
 *	or with RESULT_LOG_UNKNOWN (it may have been). read() answers with
 *	the records from an offset on and the first offset still kept. Answers
 *	come in a later turn, exactly once; what is in flight when the store
 *	ends is answered then, by RESULT_LOG_UNKNOWN or RESULT_LOG_DOWN, since
 *	whoever asked frees by the answer what it kept for it.
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
	uint64_t next;	/* offset that the next append will get */
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
