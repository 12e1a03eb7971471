/*
 * memory.h - connections that are opened, used once and then kept idle
 */
#ifndef BENCH_MEMORY_H
#define BENCH_MEMORY_H

/* Resident bytes that each of count idle connections costs the process. */
double memory_of_idle(const char *address, const char *path, int pid,
		      unsigned int count);

#endif
