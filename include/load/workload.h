/*
 * workload.h - the kinds of calls that a load run makes, from a YAML file
 *
 * DESCRIPTION
 *	Read whole and checked whole through libcyaml; an error names line,
 *	column and field. A kind names a model (a completion) or a path (a call
 *	to a plain service). Token counts are drawn log-normally: median, sigma
 *	of the logarithm, and bounds.
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
	uint32_t max; /* 0: no bound */
};

struct load_targets {
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
	uint32_t retries;	/* of one call, under the same key */
	uint32_t prefix_groups; /* prompts share one of so many beginnings */
	uint32_t prefix_tokens; /* length of a shared beginning */
	uint32_t max_tokens;	/* asked for; 0: the length of the answer */
	struct load_range prompt_tokens;
	struct load_range output_tokens;
	struct load_targets targets;
};

/* Arrivals of a burst come factor times as often, for share of each period;
 * those between come less often, so that the mean rate holds. */
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
