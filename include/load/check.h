/*
 * check.h - what callers were told, compared with the ledgers
 *
 * DESCRIPTION
 *	Each check compares every call of the run with what the engines and
 *	plain services say really ran, and counts those that break it. What
 *	cannot be judged without ledgers is left out when none were given.
 */
#ifndef LOAD_CHECK_H
#define LOAD_CHECK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "load/call.h"

struct ledgers;

/* What is kept of a call that has ended. */
struct check_record {
	const struct load_kind *kind;
	char key[PLAN_KEY_MAX];
	char request_id[CALL_ID_MAX];
	enum call_verdict verdict;
	enum outcome outcome;
	bool maybe_run;
};

/* Returns the report's "checks"; ok tells whether all hold. */
json_t *checks_run(const GArray *records, const struct ledgers *ledgers,
		   bool *ok);

#endif
