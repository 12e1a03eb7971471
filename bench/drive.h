/*
 * drive.h - closed-loop load: each caller sends its next call when the previous
 * one is answered
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
	int64_t ramp_usec;    /* time over which the callers start */
	int64_t warm_usec;    /* warm-up after the ramp */
	int64_t measure_usec; /* measurement after the warm-up */
	int pid;	      /* process whose CPU time is measured */
};

struct drive_result {
	uint64_t calls; /* answered with 200 during the measurement */
	uint64_t failures;
	int64_t usec;	   /* duration of the measurement */
	int64_t cpu_usec;  /* CPU time of the process in it */
	GArray *latencies; /* int64_t, microseconds, ascending */
};

void bench_open(struct bench *bench);
void bench_close(struct bench *bench);
/* Runs the event loop for usec. */
void bench_wait(struct bench *bench, int64_t usec);
void drive_run(struct bench *bench, const struct drive_spec *spec,
	       struct drive_result *result);
void drive_result_clear(struct drive_result *result);
int64_t drive_quantile(const struct drive_result *result, double q);

#endif
