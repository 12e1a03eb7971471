/*
 * workload.h - kinds of calls and arrival rate of a load run, from a YAML file
 *
 * DESCRIPTION
 *	The file is parsed and validated as a whole with libcyaml; an error
 *	names line, column and field. A kind names a model (a completion) or a
 *	path (a call to a plain service). Token counts have a log-normal
 *	distribution with a median, the sigma of the logarithm, and bounds.
 */
#ifndef LOAD_WORKLOAD_H
#define LOAD_WORKLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct error;

struct load_range {
	double median;
	double sigma;
	uint32_t min;
	uint32_t max; /* 0: no limit */
};

struct latency_targets {
	uint32_t first_token_ms; /* 0: no target */
	uint32_t between_tokens_ms;
	uint32_t complete_ms;
};

struct load_kind {
	char *name;
	double weight;
	char *model;
	char *path;
	char *method;
	char *class; /* value of jt-class; NULL: the service's default */
	bool stream;
	bool key;	     /* sends an idempotency key */
	bool non_idempotent; /* sends jt-idempotent: false */
	uint32_t deadline_ms;
	uint32_t retries;	/* per call, with the same key */
	uint32_t prefix_groups; /* number of shared prefixes; 0: none */
	uint32_t prefix_tokens; /* length of a shared prefix */
	uint32_t max_tokens;	/* requested; 0: the length of the answer */
	struct load_range prompt_tokens;
	struct load_range output_tokens;
	struct latency_targets targets;
};

/* For a share of each period the arrival rate is factor times the mean rate.
 * It is lower outside the burst, so that the mean rate is kept. */
struct load_bursts {
	double factor; /* 0 or 1: steady */
	double share;
	uint32_t period_ms;
};

struct workload {
	uint32_t version;
	double rate; /* calls a second */
	struct load_bursts bursts;
	struct load_kind *kinds;
	unsigned int kinds_count;
};

struct workload *workload_load(const char *file, struct error *err);
struct workload *workload_parse(const char *file, const void *data, size_t size,
				struct error *err);
void workload_destroy(struct workload *workload);

#endif
