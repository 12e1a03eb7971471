/*
 * caller.h - decoded request of a caller
 *
 * DESCRIPTION
 *	The codec fills it from the request's headers; the method, path, body
 *	and other headers are forwarded unchanged. Texts and headers point into
 *	the web request and are valid as long as it exists.
 */
#ifndef FORWARD_CALLER_H
#define FORWARD_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include "web/server.h"

#define CALLER_ID_MAX 96

struct error;

/* Parts of a prompt that are looked at. */
#define PROMPT_PARTS_MAX 32u

struct caller_request {
	char id[CALLER_ID_MAX];	  /* unique to an attempt of the caller */
	int64_t limit_usec;	  /* the caller's time-out; 0: not given */
	uint32_t prompt_tokens;	  /* 0: no prompt */
	uint32_t output_max;	  /* maximum of generated tokens */
	uint32_t output_expected; /* the caller's estimate; 0: none */
	/* Names of the parts of the prompt, in order. Other requests may have
	 * them too, the last one those of the same session. */
	struct web_text parts[PROMPT_PARTS_MAX];
	uint32_t part_count;
	bool has_more_parts; /* than PROMPT_PARTS_MAX */
	bool resumes;	     /* resumes a stream */
	/* With resumes: id of the attempt that received the stream's first
	 * event; empty if not given. */
	char stream[CALLER_ID_MAX];
	uint64_t resume_after; /* id of the last event received */
	struct web_text method;
	struct web_text host;
	struct web_text target; /* path and query */
	struct web_text body;
	struct web_text identity; /* identifies the caller; may be empty */
	struct web_text key;	  /* a secret: must not be logged */
	/* Set by the core for the backend server: the organisation that the key
	 * belongs to, or NULL, and whether the key is not forwarded. */
	const char *organisation;
	bool hide_key;
	const struct web_header *headers; /* forwarded to the backend server */
	size_t header_count;
};

/* Decodes the requests of one external interface. */
struct caller_codec {
	/* False with RESULT_BAD_REQUEST if it cannot be forwarded. */
	bool (*decode)(void *ctx, struct web_request *request,
		       struct caller_request *caller, struct error *err);
	/* Challenge for callers without a key (RFC 9110, 11.6.1). */
	const char *challenge;
	void *ctx;
};

#endif
