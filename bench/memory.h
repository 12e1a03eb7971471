/*
 * memory.h - memory cost of idle connections
 */
#ifndef BENCH_MEMORY_H
#define BENCH_MEMORY_H

/* Opens count connections, makes one call on each and keeps them idle. Returns
 * the resident bytes of the process per connection. */
double memory_of_idle(const char *address, const char *path, int pid,
		      unsigned int count);

#endif
