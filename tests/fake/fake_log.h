/*
 * fake_log.h - an append-only log for tests, with faults
 *
 * DESCRIPTION
 *	Appends and reads take random times, so they overtake each other. An
 *	append whose answer is lost was applied, or will be much later, or
 *	never. In an outage nothing is taken. Retention drops old records.
 *	A page with a hole breaks the contract of log_store.h. Every call is
 *	answered, at the latest when its clock has run out of timers.
 */
#ifndef TESTS_FAKE_LOG_H
#define TESTS_FAKE_LOG_H

#include "coord/log_store.h"
#include "later.h"

struct fake_log {
	struct clock *clock;
	struct later *later;
	GRand *rand;
	GHashTable *streams; /* name to GPtrArray of struct log_record */
	int64_t delay;	     /* most that one way takes, besides slow */
	int64_t slow;
	int lost_percent; /* appends whose answer is lost, applied or not */
	int hole_percent; /* pages that leave out a record */
	int lose;	  /* per thousand: applied, and the answer is lost */
	int late;	  /* ... and applied only seconds after that */
	int refuse;	  /* per thousand: refused */
	bool outage;
	bool outage_at_arrival; /* refuses also what was on its way before */
	int64_t retention;	/* 0: for ever */
	uint64_t appends;	/* calls */
};

/* What a node's modules are given; lives as long as the log. */
struct fake_log_client {
	struct fake_log *log;
	/* Calls fn(data) in the node's turn, delay from now, and then
	 * destroy(data); whatever became of the node. */
	void (*post)(void *node, int64_t delay, void (*fn)(void *data),
		     void *data, GDestroyNotify destroy);
	void *node;
	bool cut;    /* this node alone does not reach the log */
	bool silent; /* its calls are not answered until it is false again */
};

struct fake_log *fake_log_create(struct clock *clock, struct later *later,
				 GRand *rand);
void fake_log_destroy(struct fake_log *log);
struct log_store fake_log_store(struct fake_log_client *client);
/* All records of a stream, kept or not. */
const GPtrArray *fake_log_records(struct fake_log *log, const char *stream);
/* Offset of the oldest that is kept. */
uint64_t fake_log_first(struct fake_log *log, const char *stream);
/* Appends at once, as another writer might. */
void fake_log_put(struct fake_log *log, const char *stream, const void *data,
		  size_t size);

#endif
