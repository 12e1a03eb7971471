/*
 * run.h - one load run: arrivals, calls, ledgers, checks and the report
 *
 * DESCRIPTION
 *	Calls start by the arrival process, whatever the answers. The run ends
 *	after duration or count, once every call has ended or drain_usec has
 *	passed; then the ledgers are read until no engine memory is held, for
 *	at most settle_usec.
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
	const char *const *health; /* one for each target, or NULL */
	const char *const *ledgers;
	unsigned int ledger_count;
	double rate;
	int64_t duration_usec;
	uint64_t count; /* calls; 0: no bound */
	uint32_t seed;
	double hang_up_percent;
	int64_t hang_up_usec; /* latest, after a call's start */
	int64_t timeout_usec;
	int64_t drain_usec;
	int64_t settle_usec;
	bool retry; /* as often as the kinds allow */
	bool exact; /* ask for just the length of the answer */
	bool progress;
};

struct load_run;

struct load_run *load_run_create(struct loop *loop,
				 const struct run_settings *settings,
				 const struct workload *workload);
void load_run_destroy(struct load_run *run);
/* Starts; the loop is stopped at the run's end. */
void load_run_start(struct load_run *run);
/* Starts no more calls, and ends as after the duration. */
void load_run_stop(struct load_run *run);
/* The report, or NULL when the run has not ended; ok: all checks held. */
json_t *load_run_report(struct load_run *run, bool *ok);

#endif
