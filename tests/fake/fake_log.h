/*
 * fake_log.h - an append-only log for tests, with faults
 *
 * DESCRIPTION
 *	Appends and reads take random times, so they overtake each other. An
 *	append whose answer is lost was applied, or will be much later, or
 *	never. In an outage nothing is taken. Retention drops old records.
 *	A page with a hole breaks the contract of log_store.h.
 */
#ifndef TESTS_FAKE_LOG_H
#define TESTS_FAKE_LOG_H

#include "coord/log_store.h"
#include "fake_world.h"

struct fake_log {
	struct world *world;
	GHashTable *streams; /* name to GPtrArray of struct log_record */
	int64_t delay;	     /* most that one way takes, besides slow */
	int64_t slow;
	int lost_percent; /* answers to appends that are lost */
	int hole_percent; /* pages that leave out a record */
	bool outage;
	int64_t retention; /* 0: for ever */
	uint64_t appends;  /* calls */
};

/* What a node's modules are given; lives as long as the log. */
struct fake_log_client {
	struct fake_log *log;
	struct node *node;
	bool cut; /* this node alone does not reach the log */
};

struct fake_log *fake_log_create(struct world *world);
void fake_log_destroy(struct fake_log *log);
struct log_store fake_log_store(struct fake_log_client *client);
/* All records of a stream, kept or not. */
const GPtrArray *fake_log_records(struct fake_log *log, const char *stream);
/* Appends at once, as another writer might. */
void fake_log_put(struct fake_log *log, const char *stream, const void *data,
		  size_t size);

#endif
