/*
 * plan.h - one call drawn from a workload: its kind, prompt, key and length
 */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include <glib.h>
#include <stdint.h>

#include "load/workload.h"

#define PLAN_KEY_MAX 64

struct call_plan {
	const struct load_kind *kind;
	/* Unique in the run; the idempotency key if the kind has one. */
	char key[PLAN_KEY_MAX];
	char *text; /* the prompt, or the body of a plain call */
	uint64_t text_hash;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t max_tokens;  /* requested; at least output_tokens */
	int64_t hang_up_usec; /* after the start; 0: never */
};

/* Draws the call with this number; run is the run's name. */
struct call_plan *plan_draw(GRand *rand, const struct workload *workload,
			    const char *run, uint64_t number);
void plan_destroy(struct call_plan *plan);

#endif
