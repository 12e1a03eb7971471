/*
 * process.h - what a running process has used so far, from /proc
 */
#ifndef BENCH_PROCESS_H
#define BENCH_PROCESS_H

#include <stdint.h>

/* Microseconds on a processor, of the process's first thread. */
int64_t process_cpu_usec(int pid);
/* Resident bytes. */
int64_t process_memory(int pid);
/* The machine's load average over the last minute, times 100. */
int machine_load(void);

#endif
