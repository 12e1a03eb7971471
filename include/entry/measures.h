/*
 * measures.h - figures that operators compare before and after a change
 *
 * DESCRIPTION
 *	Goodput: the share of requests of a class that completed within all
 *	targets of their service. Wasted prefill: prompt tokens whose result
 *	was computed and then not used, or computed again for the same request.
 */
#ifndef ENTRY_MEASURES_H
#define ENTRY_MEASURES_H

#include <glib.h>
#include <stdint.h>

#include "common/error.h"
#include "config/config.h"

struct entry;
struct measures;

struct measure {
	const char *service;
	enum request_class class;
	enum result_code code;
	bool within_targets;
	int64_t first_token_usec;    /* -1 when none */
	int64_t between_tokens_usec; /* 95th percentile; -1 when none */
	int64_t total_usec;
	uint32_t output_tokens;
};

struct measures *measures_create(struct entry *entry);
void measures_destroy(struct measures *measures);
void measures_add(struct measures *measures, const struct measure *measure);
void measures_prefill(struct measures *measures, uint32_t computed,
		      uint32_t cached);
void measures_wasted(struct measures *measures, uint32_t tokens);
/* The JSON of GET /measures. */
void measures_print(const struct measures *measures, GString *out);

#endif
