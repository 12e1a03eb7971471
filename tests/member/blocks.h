/*
 * blocks.h - runs seeded schedules in blocks that can go side by side
 */
#ifndef TESTS_MEMBER_BLOCKS_H
#define TESTS_MEMBER_BLOCKS_H

#include <stdint.h>

/* Runs a schedule, ends the program when it breaks a promise, and returns how
 * long it took to settle, in microseconds. */
typedef int64_t (*schedule_fn)(uint32_t seed);

/* Four blocks of 250 seeds, or the one seed that MEMBER_SEED names. */
int blocks_run(int argc, char **argv, const char *area, schedule_fn fn);

#endif
