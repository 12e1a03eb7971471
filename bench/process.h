/*
 * process.h - CPU time and memory of a running process, from /proc
 */
#ifndef BENCH_PROCESS_H
#define BENCH_PROCESS_H

#include <stdint.h>

/* Returns the CPU time of the process's main thread in microseconds. */
int64_t process_cpu_usec(int pid);
/* Returns the resident set size in bytes. */
int64_t process_memory(int pid);
/* Returns the load average of the last minute, times 100. */
int load_average(void);

#endif
