/*
 * call.h - one call to the daemon, with the client's own retries
 *
 * DESCRIPTION
 *	Sends the call to one of the targets and checks the answer as it
 *	arrives. A refusal with a Retry-After is retried after that time if its
 *	outcome is not-run or the call has an idempotency key. A call that
 *	reached no target, and a call with a key whose connection broke, is
 *	retried at another target. All attempts use the same key, and their
 *	number is limited by the kind. fn runs exactly once, unless
 *	call_cancel() is called first.
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
	CALL_WHOLE,	 /* exactly the expected answer */
	CALL_REFUSED,	 /* an error answer with a result code */
	CALL_BROKEN,	 /* incomplete: cut off, or ended by an error event */
	CALL_WRONG,	 /* tokens duplicated, missing or of another answer */
	CALL_HUNG_UP,	 /* cancelled by the load tool on purpose */
	CALL_UNANSWERED, /* no answer by the end of the run */
	CALL_VERDICT_COUNT,
};

struct call_env {
	struct web_client *client;
	struct clock *clock;
	struct targets *targets;
	int64_t timeout_usec;
	bool exact; /* set max_tokens to the length of the answer */
	bool retry; /* up to the kind's limit */
};

struct call_result {
	enum call_verdict verdict;
	int code; /* result code of the last error answer; 0: none */
	enum outcome outcome; /* of the last attempt */
	bool may_have_run; /* an attempt was sent and did not end as not-run */
	char request_id[CALL_ID_MAX];
	uint32_t attempts;
	int64_t first_token_usec;    /* -1: none */
	int64_t between_tokens_usec; /* 95th percentile in the call; -1: none */
	int64_t total_usec;
};

typedef void (*call_fn)(void *ctx, const struct call_plan *plan,
			const struct call_result *result);

/* The plan belongs to the caller and must outlive the call. */
struct load_call *call_start(const struct call_env *env,
			     const struct call_plan *plan, call_fn fn,
			     void *ctx);
/* Closes the connection; fn does not run. */
void call_cancel(struct load_call *call);
const char *call_verdict_label(enum call_verdict verdict);

#endif
