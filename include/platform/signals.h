/*
 * signals.h - what an answer says of the server itself, by its headers
 */
#ifndef PLATFORM_SIGNALS_H
#define PLATFORM_SIGNALS_H

#include "coord/backpressure.h"
#include "web/server.h"

/* A value that makes no sense is logged and passed over. */
void platform_signals_read(const struct web_header *headers, size_t count,
			   struct backpressure_signals *signals);
/* "8.9": a decimal number, at least 0; exposed for tests. */
bool platform_decimal_read(struct web_text text, double *number);

#endif
