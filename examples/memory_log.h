/*
 * memory_log.h - in-memory replacement for the platform's log
 */
#ifndef EXAMPLES_MEMORY_LOG_H
#define EXAMPLES_MEMORY_LOG_H

#include "common/clock.h"
#include "coord/log_store.h"

struct memory_log;

struct memory_log *memory_log_create(struct clock *clock);
/* All calls must have been answered. */
void memory_log_destroy(struct memory_log *log);
struct log_store memory_log_store(struct memory_log *log);

#endif
