/*
 * seeds.h - which seeds a program of schedules runs
 */
#ifndef TESTS_FAKE_SEEDS_H
#define TESTS_FAKE_SEEDS_H

#include <stdint.h>

#define SEEDS 1000

struct seeds {
	uint32_t first;
	uint32_t count;
};

/* SEEDS seeds from 0; NAME_SEED in the environment runs one, and NAME_COUNT
 * another number. */
struct seeds seeds_wanted(const char *name);

#endif
