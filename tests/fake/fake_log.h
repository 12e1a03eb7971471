/*
 * fake_log.h - a simulated append-only log store with faults
 *
 * DESCRIPTION
 *	Appends and reads have random delays, so they may be reordered. An
 *	append whose answer is lost has been applied, is applied much later, or
 *	never is. During an outage every call fails. Records older than the
 *	retention are not returned. A page that lacks a record violates the
 *	contract of log_store.h. Every call is answered, at the latest when
 *	the clock has no more timers.
 */
#ifndef TESTS_FAKE_LOG_H
#define TESTS_FAKE_LOG_H

#include "call_queue.h"
#include "coord/log_store.h"

struct fake_log {
	struct clock *clock;
	struct call_queue *call_queue;
	GRand *rand;
	GHashTable *streams; /* name to GPtrArray of struct log_record */
	int64_t delay;	     /* maximum random delay in each direction */
	int64_t fixed_delay; /* added to each random delay */
	int lost_percent;    /* appends of unknown result, applied or not */
	int hole_percent;    /* pages that lack a record */
	int answer_lost_permille; /* applied, result unknown */
	int late_permille;	  /* result unknown, applied seconds later */
	int refused_permille;	  /* refused, not applied */
	bool outage;
	bool outage_at_arrival; /* also fails appends sent before the outage */
	int64_t retention;	/* 0: unlimited */
	uint64_t appends;	/* number of append calls */
	uint64_t era;		/* of the offsets, which are positions */
};

/* One node's access to the log; must live as long as the log. */
struct fake_log_client {
	struct fake_log *log;
	/* Calls fn(data) in the node's event loop after delay, and then
	 * destroy(data), even if the node has stopped by then. */
	void (*post)(void *node, int64_t delay, void (*fn)(void *data),
		     void *data, GDestroyNotify destroy);
	void *node;
	bool partitioned; /* this node cannot reach the log */
	bool silent;	  /* calls stay unanswered while this is set */
};

struct fake_log *fake_log_create(struct clock *clock,
				 struct call_queue *call_queue, GRand *rand);
void fake_log_destroy(struct fake_log *log);
struct log_store fake_log_store(struct fake_log_client *client);
/* Returns all records of a stream, also those older than the retention. */
const GPtrArray *fake_log_records(struct fake_log *log, const char *stream);
/* Returns the offset of the oldest record within the retention. */
uint64_t fake_log_first(struct fake_log *log, const char *stream);
/* Comes back from a copy of that age in the next era. */
void fake_log_restore(struct fake_log *log, int64_t age_usec);
/* Appends without delay, for a record of another writer. */
void fake_log_put(struct fake_log *log, const char *stream, const void *data,
		  size_t size);

#endif
