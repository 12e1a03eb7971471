/*
 * signals.h - backpressure signals in the headers of answers
 *
 * DESCRIPTION
 *	A limit is a decimal number of requests per second. Retry-After with 503
 *	requests a backoff, in seconds with an optional fraction or as a date
 *	(RFC 9110, 10.2.3), capped at SIGNALS_BACKOFF_MAX_USEC; with any other
 *	status it is meant for the caller. Malformed values are logged and
 *	ignored.
 */
#ifndef PLATFORM_SIGNALS_H
#define PLATFORM_SIGNALS_H

#include "coord/backpressure.h"
#include "sched/server_load.h"
#include "web/server.h"

#define SIGNALS_BACKOFF_MAX_USEC INT64_C(300000000)

struct signals_answer {
	int status;
	int64_t unix_usec; /* when the answer arrived */
	const struct web_header *headers;
	size_t count;
};

void platform_signals_read(const struct signals_answer *answer,
			   struct backpressure_signals *signals);
/* Reads the load that a server states: running, waiting, slots and, if stated,
 * its pace in percent, separated by commas. Sets known. */
bool platform_load_read(struct web_text text, struct server_load *load);
/* Reads a non-negative decimal number as "8.9"; exposed for tests. */
bool platform_decimal_read(struct web_text text, double *number);

#endif
