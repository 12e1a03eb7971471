/*
 * memory_log.h - a log in memory, in place of the platform's
 */
#ifndef EXAMPLES_MEMORY_LOG_H
#define EXAMPLES_MEMORY_LOG_H

#include "common/clock.h"
#include "coord/log_store.h"

struct memory_log;

struct memory_log *memory_log_create(struct clock *clock);
/* All answers must have been given. */
void memory_log_destroy(struct memory_log *log);
struct log_store memory_log_store(struct memory_log *log);

#endif
