/*
 * caller.h - callers' requests as the platform's clients send them
 *
 * DESCRIPTION
 *	All that a request says of itself stands in its headers. Those that
 *	concern one connection only, and those that are ours to set towards a
 *	backend server, are not forwarded.
 */
#ifndef PLATFORM_CALLER_H
#define PLATFORM_CALLER_H

#include "forward/caller.h"

/* A caller_codec's decode; ctx is not used. */
bool platform_caller_decode(void *ctx, struct web_request *request,
			    struct caller_request *caller, struct error *err);

/* "1460,80": tokens of the prompt, most tokens of the output. */
bool platform_tokens_read(struct web_text text, uint32_t *prompt,
			  uint32_t *output_max);

#endif
