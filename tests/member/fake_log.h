/*
 * fake_log.h - the platform's log: slow, out, losing answers, forgetting
 *
 * One log for a world; each node has a way to it of its own.
 */
#ifndef TESTS_MEMBER_FAKE_LOG_H
#define TESTS_MEMBER_FAKE_LOG_H

#include "world.h"

struct fake_log {
	struct world *world;
	GPtrArray *records;  /* all ever appended, by offset */
	uint64_t first;	     /* oldest still kept */
	int64_t keep;	     /* microseconds a record is kept; 0: for ever */
	uint64_t keep_count; /* at most so many; 0: any number */
	int64_t delay_min;
	int64_t delay_max;
	bool out;	     /* every call is refused */
	bool cut[WORLD_MAX]; /* the node's calls are never answered */
	int lose;	     /* appends whose answer is lost, per thousand */
	int late;	     /* ... and that happen only seconds after it */
	int refuse;	     /* calls refused, per thousand */
	uint64_t appends;
	uint64_t reads;
	GPtrArray *calls;
};

struct fake_log *fake_log_create(struct world *world);
void fake_log_destroy(struct fake_log *log);
struct log_store fake_log_store(struct fake_log *log, struct node *node);
/* Appends at once, as another system or an older release would. */
uint64_t fake_log_put(struct fake_log *log, const void *data, size_t size);

#endif
