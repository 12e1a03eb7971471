/*
 * arrival.h - when calls start: a Poisson process, steady or in bursts
 *
 * DESCRIPTION
 *	Open loop: the next start does not wait for any answer. Bursts are made
 *	by thinning a process of the highest rate (Lewis and Shedler, 1979).
 */
#ifndef LOAD_ARRIVAL_H
#define LOAD_ARRIVAL_H

#include <glib.h>
#include <stdint.h>

struct load_bursts;

/* Microseconds from the start of the run to the first arrival after
 * after_usec. */
int64_t arrival_next(GRand *rand, double rate, const struct load_bursts *bursts,
		     int64_t after_usec);

#endif
