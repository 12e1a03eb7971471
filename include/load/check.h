/*
 * check.h - compares the answers that callers received with the ledgers
 *
 * DESCRIPTION
 *	Each check compares every call of the run with what the engines and
 *	plain services recorded in their ledgers, and counts the violations.
 *	Checks that need ledgers are omitted when none were given.
 */
#ifndef LOAD_CHECK_H
#define LOAD_CHECK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "load/call.h"

struct ledgers;

/* Result of an ended call, kept for the checks. */
struct check_record {
	const struct load_kind *kind;
	char key[PLAN_KEY_MAX];
	char request_id[CALL_ID_MAX];
	enum call_verdict verdict;
	enum outcome outcome;
	bool may_have_run;
};

/* Returns the report's "checks" array; ok: every check holds. */
json_t *checks_run(const GArray *records, const struct ledgers *ledgers,
		   bool *ok);

#endif
