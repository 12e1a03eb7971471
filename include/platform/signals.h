/*
 * signals.h - what an answer says of the server itself, by its headers
 *
 * DESCRIPTION
 *	A limit is a decimal number of requests a second. Retry-After of a 503
 *	asks for a backoff, in seconds, also fractions, or as a date (RFC 9110,
 *	10.2.3), of SIGNALS_BACKOFF_MAX_USEC at most; with any other status it
 *	is for callers. Malformed values are logged and ignored.
 */
#ifndef PLATFORM_SIGNALS_H
#define PLATFORM_SIGNALS_H

#include "coord/backpressure.h"
#include "web/server.h"

#define SIGNALS_BACKOFF_MAX_USEC INT64_C(300000000)

struct signals_answer {
	int status;
	int64_t unix_usec; /* when it came */
	const struct web_header *headers;
	size_t count;
};

void platform_signals_read(const struct signals_answer *answer,
			   struct backpressure_signals *signals);
/* "8.9": a decimal number, at least 0; exposed for tests. */
bool platform_decimal_read(struct web_text text, double *number);

#endif
