/*
 * stream.h - concurrent token streams and their counts
 */
#ifndef BENCH_STREAM_H
#define BENCH_STREAM_H

#include "drive.h"

struct streams;

struct stream_counts {
	uint64_t tokens;
	unsigned int open;
	unsigned int begun; /* have received their first token */
	unsigned int failed;
};

/* Opens count streams, a few at a time. A stream that ends is started again. */
struct streams *streams_open(struct bench *bench, const char *address,
			     unsigned int count, unsigned int tokens);
void streams_count(const struct streams *streams, struct stream_counts *counts);
/* Cancels all streams and frees them. */
void streams_close(struct streams *streams);

#endif
