/*
 * run.h - one load run: arrivals, calls, ledgers, checks and the report
 *
 * DESCRIPTION
 *	Calls start at the times of the arrival process, independent of the
 *	answers. The run stops after its duration or its count of calls, and
 *	then waits up to drain_usec for the calls in flight. Finally the ledgers
 *	are read until no engine memory is held, for at most settle_usec.
 */
#ifndef LOAD_RUN_H
#define LOAD_RUN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct loop;
struct workload;

struct run_settings {
	const char *label;
	const char *const *targets;
	unsigned int target_count;
	const char *const *health; /* admin address of each target, or NULL */
	const char *const *ledgers;
	unsigned int ledger_count;
	double rate;
	int64_t duration_usec;
	uint64_t count; /* calls; 0: no limit */
	uint32_t seed;
	double hang_up_percent;
	int64_t hang_up_usec; /* latest hang-up after a call's start */
	int64_t timeout_usec;
	int64_t drain_usec;
	int64_t settle_usec;
	bool retry; /* up to the limit of each kind */
	bool exact; /* set max_tokens to the length of the answer */
	bool progress;
};

struct load_run;

struct load_run *load_run_create(struct loop *loop,
				 const struct run_settings *settings,
				 const struct workload *workload);
void load_run_destroy(struct load_run *run);
/* Starts the run, which stops the loop when it ends. */
void load_run_start(struct load_run *run);
/* Starts no further calls; the run then ends as after its duration. */
void load_run_stop(struct load_run *run);
/* Returns NULL if the run has not ended; ok: every check holds. */
json_t *load_run_report(struct load_run *run, bool *ok);

#endif
