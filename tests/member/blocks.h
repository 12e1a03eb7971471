/*
 * blocks.h - runs seeded schedules in blocks that can run in parallel
 */
#ifndef TESTS_MEMBER_BLOCKS_H
#define TESTS_MEMBER_BLOCKS_H

#include <stdint.h>

/* Runs a schedule, aborts on a violated invariant, and returns the time to
 * settle after recovery, in microseconds. */
typedef int64_t (*schedule_fn)(uint32_t seed);

/* Four blocks of 250 seeds, or the one seed that MEMBER_SEED names. */
int blocks_run(int argc, char **argv, const char *area, schedule_fn fn);

#endif
