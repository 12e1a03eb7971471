/*
 * seeds.h - the seeds that a test of random schedules runs
 */
#ifndef TESTS_FAKE_SEEDS_H
#define TESTS_FAKE_SEEDS_H

#include <stdint.h>

#define SEEDS_DEFAULT 1000

struct seeds {
	uint32_t first;
	uint32_t count;
};

/* Returns SEEDS_DEFAULT seeds from 0. The environment variable NAME_SEED
 * selects a first seed and, unless it is 0, a count of one; NAME_COUNT sets the
 * count. */
struct seeds seeds_from_env(const char *name);

#endif
