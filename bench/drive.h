/*
 * drive.h - callers that each send the next call when the last is answered
 */
#ifndef BENCH_DRIVE_H
#define BENCH_DRIVE_H

#include <glib.h>
#include <stdint.h>

#include "common/clock.h"
#include "web/client.h"
#include "web/loop.h"

struct bench {
	struct clock *clock;
	struct loop *loop;
	struct web_client *client;
};

struct drive_spec {
	const char *address;
	const char *path;
	const char *body;
	unsigned int callers;
	int64_t ramp_usec;    /* over which the callers start */
	int64_t warm_usec;    /* after that */
	int64_t measure_usec; /* after that */
	int pid;	      /* whose processor time is taken */
};

struct drive_result {
	uint64_t calls; /* answered with 200 while measured */
	uint64_t failures;
	int64_t usec;	   /* that the measurement took */
	int64_t cpu_usec;  /* of the process meanwhile */
	GArray *latencies; /* int64_t microseconds, sorted */
};

void bench_open(struct bench *bench);
void bench_close(struct bench *bench);
/* Runs the loop for so long. */
void bench_wait(struct bench *bench, int64_t usec);
void drive_run(struct bench *bench, const struct drive_spec *spec,
	       struct drive_result *result);
void drive_result_clear(struct drive_result *result);
int64_t drive_quantile(const struct drive_result *result, double q);

#endif
