/*
 * caller.h - what a caller's request says, decoded once
 *
 * DESCRIPTION
 *	The decoder fills it from the request's headers; the request itself (its
 *	method, path, body and other headers) is forwarded as it came. Texts and
 *	headers point into the web request and live as long as it does.
 */
#ifndef FORWARD_CALLER_H
#define FORWARD_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include "web/server.h"

#define CALLER_ID_MAX 96

struct error;

struct caller_request {
	char id[CALLER_ID_MAX];	  /* one a caller's attempt */
	int64_t limit_usec;	  /* how long the caller waits; 0: not said */
	uint32_t prompt_tokens;	  /* 0: the request describes no prompt */
	uint32_t output_max;	  /* most tokens to be generated */
	uint32_t output_expected; /* the caller's estimate; 0: none */
	bool resumes;		  /* a stream is to go on */
	uint64_t resume_after;	  /* after the event of this id */
	struct web_text method;
	struct web_text host;
	struct web_text target; /* path and query */
	struct web_text body;
	struct web_text
		identity;    /* names the caller; empty when nothing does */
	struct web_text key; /* a secret: no log line may hold it */
	/* Set by the core: whose key it is, for the backend server, or NULL,
	 * and whether the key is kept from it. */
	const char *organisation;
	bool hide_key;
	const struct web_header *headers; /* to be forwarded */
	size_t header_count;
};

/* Decodes requests of one outside interface. */
struct caller_codec {
	/* False with RESULT_BAD_REQUEST when it cannot be forwarded. */
	bool (*decode)(void *ctx, struct web_request *request,
		       struct caller_request *caller, struct error *err);
	/* Names the kind of key, for callers without one (RFC 9110, 11.6.1). */
	const char *challenge;
	void *ctx;
};

#endif
