/*
 * stream.h - token streams that are opened, counted and closed
 */
#ifndef BENCH_STREAM_H
#define BENCH_STREAM_H

#include "drive.h"

struct streams;

struct stream_counts {
	uint64_t tokens;
	unsigned int open;
	unsigned int begun; /* have got their first token */
	unsigned int failed;
};

/* Opens count streams over some time, each renewed when it ends. */
struct streams *streams_open(struct bench *bench, const char *address,
			     unsigned int count, unsigned int tokens);
void streams_count(const struct streams *streams, struct stream_counts *counts);
/* Hangs up on all. */
void streams_close(struct streams *streams);

#endif
