/*
 * tally.h - counts and latencies of the calls of one kind or class
 *
 * DESCRIPTION
 *	Goodput is the share of calls that were answered completely and within
 *	every target of their kind. Calls that the load tool hung up on are not
 *	counted.
 */
#ifndef LOAD_TALLY_H
#define LOAD_TALLY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "load/call.h"

struct tally {
	const char *name;
	int64_t sent;
	int64_t retried;	/* attempts after the first */
	int64_t within_targets; /* complete, and within every target */
	int64_t verdicts[CALL_VERDICT_COUNT];
	GHashTable *codes;   /* result code to count, if refused or broken */
	GArray *first_token; /* int64_t, microseconds */
	GArray *between_tokens;
	GArray *total;
};

void tally_init(struct tally *tally, const char *name);
void tally_clear(struct tally *tally);
void tally_add(struct tally *tally, const struct load_kind *kind,
	       const struct call_result *result);
json_t *tally_json(struct tally *tally);

#endif
