/*
 * error.h - numbered result codes and error details
 *
 * DESCRIPTION
 *	Every function that can fail takes a pointer to a struct error as its
 *	last argument, fills it on failure and returns false, NULL or a
 *	negative number. The pointer may be NULL; the details are then
 *	discarded. Codes are stable: a number is never reused for another
 *	meaning. docs/ERRORS.md lists them, and tests/common/test_error.c checks
 *	that page against this header.
 */
#ifndef COMMON_ERROR_H
#define COMMON_ERROR_H

#include <stdbool.h>

/* Whether a backend server has run the request, as far as is known. */
enum outcome {
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_RUN,
};

/*
 * X(name, number, label, outcome, HTTP status)
 *	1xx settings and files, 2xx refused before running, 3xx the caller's
 *	request, 4xx failed after a backend server was reached, 5xx platform
 *	and peers, 9xx defects of the router itself
 */
#define RESULT_CODES(X)                                                        \
	X(RESULT_OK, 0, "ok", OUTCOME_RUN, 200)                                \
	X(RESULT_BAD_SETTING, 101, "bad-setting", OUTCOME_NOT_RUN, 500)        \
	X(RESULT_BAD_CONFIG, 102, "bad-config", OUTCOME_NOT_RUN, 422)          \
	X(RESULT_STALE_REVISION, 103, "stale-revision", OUTCOME_NOT_RUN, 409)  \
	X(RESULT_IO, 104, "io", OUTCOME_NOT_RUN, 500)                          \
	X(RESULT_USAGE, 105, "usage", OUTCOME_NOT_RUN, 400)                    \
	X(RESULT_QUEUE_FULL, 201, "queue-full", OUTCOME_NOT_RUN, 429)          \
	X(RESULT_DEADLINE, 202, "deadline", OUTCOME_NOT_RUN, 503)              \
	X(RESULT_NO_BACKEND, 203, "no-backend", OUTCOME_NOT_RUN, 503)          \
	X(RESULT_DRAINING, 204, "draining", OUTCOME_NOT_RUN, 503)              \
	X(RESULT_NO_CONFIG, 205, "no-config", OUTCOME_NOT_RUN, 503)            \
	X(RESULT_LIMITED, 206, "limited", OUTCOME_NOT_RUN, 429)                \
	X(RESULT_CLAIM_UNDECIDED, 207, "claim-undecided", OUTCOME_NOT_RUN,     \
	  503)                                                                 \
	X(RESULT_RETRY_BUDGET, 208, "retry-budget", OUTCOME_NOT_RUN, 503)      \
	X(RESULT_QUARANTINED, 209, "quarantined", OUTCOME_NOT_RUN, 503)        \
	X(RESULT_OVER_ALLOTMENT, 210, "over-allotment", OUTCOME_NOT_RUN, 429)  \
	X(RESULT_ALLOTMENT_SMALL, 211, "allotment-too-small", OUTCOME_NOT_RUN, \
	  429)                                                                 \
	X(RESULT_SERVERS_LIMITED, 212, "servers-limited", OUTCOME_NOT_RUN,     \
	  503)                                                                 \
	X(RESULT_STREAM_UNKNOWN, 213, "stream-unknown", OUTCOME_NOT_RUN, 503)  \
	X(RESULT_BAD_REQUEST, 301, "bad-request", OUTCOME_NOT_RUN, 400)        \
	X(RESULT_UNKNOWN_MODEL, 302, "unknown-model", OUTCOME_NOT_RUN, 404)    \
	X(RESULT_NOT_FOUND, 303, "not-found", OUTCOME_NOT_RUN, 404)            \
	X(RESULT_BAD_METHOD, 304, "bad-method", OUTCOME_NOT_RUN, 405)          \
	X(RESULT_TOO_LARGE, 305, "too-large", OUTCOME_NOT_RUN, 413)            \
	X(RESULT_KEY_REUSED, 306, "key-reused", OUTCOME_NOT_RUN, 422)          \
	X(RESULT_CALLER_GONE, 307, "caller-gone", OUTCOME_UNKNOWN, 499)        \
	X(RESULT_ALREADY_RUN, 308, "already-run", OUTCOME_RUN, 409)            \
	X(RESULT_ALREADY_CLAIMED, 309, "already-claimed", OUTCOME_UNKNOWN,     \
	  409)                                                                 \
	X(RESULT_UNKNOWN_KEY, 310, "unknown-key", OUTCOME_NOT_RUN, 401)        \
	X(RESULT_BACKEND_FAILED, 401, "backend-failed", OUTCOME_UNKNOWN, 502)  \
	X(RESULT_BACKEND_TIMEOUT, 402, "backend-timeout", OUTCOME_UNKNOWN,     \
	  504)                                                                 \
	X(RESULT_BACKEND_REFUSED, 403, "backend-refused", OUTCOME_NOT_RUN,     \
	  503)                                                                 \
	X(RESULT_TRANSFER_FAILED, 404, "transfer-failed", OUTCOME_NOT_RUN,     \
	  502)                                                                 \
	X(RESULT_STREAM_LOST, 405, "stream-lost", OUTCOME_UNKNOWN, 502)        \
	X(RESULT_LOG_DOWN, 501, "log-down", OUTCOME_NOT_RUN, 503)              \
	X(RESULT_LOG_UNKNOWN, 502, "log-unknown", OUTCOME_UNKNOWN, 503)        \
	X(RESULT_LOG_GAP, 503, "log-gap", OUTCOME_NOT_RUN, 503)                \
	X(RESULT_LEASE_LOST, 504, "lease-lost", OUTCOME_NOT_RUN, 503)          \
	X(RESULT_FENCED, 505, "fenced", OUTCOME_NOT_RUN, 409)                  \
	X(RESULT_PEER_GONE, 506, "peer-gone", OUTCOME_UNKNOWN, 503)            \
	X(RESULT_BAD_MESSAGE, 507, "bad-message", OUTCOME_NOT_RUN, 400)        \
	X(RESULT_DEFECT, 901, "defect", OUTCOME_UNKNOWN, 500)

enum result_code {
#define X(name, number, label, outcome, status) name = number,
	RESULT_CODES(X)
#undef X
};

#define ERROR_TEXT_MAX 256

struct error {
	enum result_code code;
	char text[ERROR_TEXT_MAX];
};

/* Fills e unless it is NULL. The text is truncated to ERROR_TEXT_MAX and is
 * valid UTF-8, with '?' in place of each invalid byte. Always returns false, so
 * that callers can return the result. */
bool error_set(struct error *e, enum result_code code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Prepends the formatted text and ": " to the text of e; always returns false.
 */
bool error_prefix(struct error *e, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

const char *result_label(enum result_code code);
enum outcome result_outcome(enum result_code code);
int result_status(enum result_code code);
const char *outcome_label(enum outcome outcome);

#endif
