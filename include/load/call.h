/*
 * call.h - one call to the daemon, with the client's own retries
 *
 * DESCRIPTION
 *	Sends the call to one of the targets and checks the answer as it
 *	comes. A refusal that names a Retry-After is tried again after it when
 *	it says not-run or the call has a key. A call that reached no target,
 *	and a keyed call whose connection broke, is tried again at another
 *	target. All go under the same key, at most as often as the kind allows.
 *	fn runs exactly once, unless call_drop() comes first.
 */
#ifndef LOAD_CALL_H
#define LOAD_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "load/plan.h"

#define CALL_ID_MAX 40

struct clock;
struct load_call;
struct targets;
struct web_client;

enum call_verdict {
	CALL_WHOLE,	 /* the whole expected answer, once */
	CALL_REFUSED,	 /* an error answer with a result code */
	CALL_BROKEN,	 /* no whole answer: cut off, or an error midway */
	CALL_WRONG,	 /* tokens of another answer, doubled or missing */
	CALL_HUNG_UP,	 /* by us, on purpose */
	CALL_UNANSWERED, /* still waiting at the end of the run */
	CALL_VERDICTS,
};

struct call_env {
	struct web_client *client;
	struct clock *clock;
	struct targets *targets;
	int64_t timeout_usec;
	bool exact; /* max_tokens is the length of the answer */
	bool retry; /* as often as the kind allows */
};

struct call_result {
	enum call_verdict verdict;
	int code; /* result code of the last error answer; 0: none */
	enum outcome outcome; /* of the last attempt */
	bool maybe_run;	      /* an attempt did not end as not-run */
	char request_id[CALL_ID_MAX];
	uint32_t attempts;
	int64_t first_token_usec;    /* -1: none */
	int64_t between_tokens_usec; /* 95th percentile in the call; -1 */
	int64_t total_usec;
};

typedef void (*call_fn)(void *ctx, const struct call_plan *plan,
			const struct call_result *result);

/* The plan stays the caller's. */
struct load_call *call_start(const struct call_env *env,
			     const struct call_plan *plan, call_fn fn,
			     void *ctx);
/* Hangs up; fn does not run. */
void call_drop(struct load_call *call);
const char *call_verdict_label(enum call_verdict verdict);

#endif
