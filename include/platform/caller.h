/*
 * caller.h - decoder of the platform's client requests
 *
 * DESCRIPTION
 *	A request is described by its headers alone. Hop-by-hop headers, and
 *	those that the router sets for the backend server, are not forwarded.
 */
#ifndef PLATFORM_CALLER_H
#define PLATFORM_CALLER_H

#include "forward/caller.h"

/* Implements caller_codec.decode; ctx is not used. */
bool platform_caller_decode(void *ctx, struct web_request *request,
			    struct caller_request *caller, struct error *err);

/* Reads "1460,80": tokens of the prompt, maximum tokens of the output. */
bool platform_tokens_read(struct web_text text, uint32_t *prompt,
			  uint32_t *output_max);
/* Reads "5c1e07a2:800,91bd3f06:410,e4402b7d:250", the parts of a prompt as
 * ID:TOKENS, into the IDs, without empty ones. Reads at most PROMPT_PARTS_MAX;
 * *has_more tells whether there are more. Returns their count. */
uint32_t platform_parts_read(struct web_text text,
			     struct web_text parts[PROMPT_PARTS_MAX],
			     bool *has_more);

#endif
