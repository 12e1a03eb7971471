/*
 * head.h - reader of the heads of answers, and of the framing of requests
 *
 * DESCRIPTION
 *	The only parser of answers' heads. h2o's client parses a head that
 *	head_print() writes, which has nothing but the status and the framing
 *	of the body: h2o 2.2.5 fails assertions on fields that it reads
 *	differently.
 *
 *	Accepts what RFC 9112 allows, and line ends without CR, whitespace
 *	before a colon and folded lines, which servers still send. A body whose
 *	length is not certain makes the head invalid: lengths that differ, a
 *	transfer coding other than chunked, or parameters of it. With both a
 *	length and chunks the chunks count, and the connection is not reused.
 */
#ifndef WEB_HEAD_H
#define WEB_HEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "web/server.h"

#define STATUS_SWITCHING 101 /* to another protocol */

enum head_result {
	HEAD_INCOMPLETE,    /* valid so far */
	HEAD_INFORMATIONAL, /* complete, and the final head follows */
	HEAD_COMPLETE,
	HEAD_INVALID,
};

enum head_framing {
	FRAMING_NONE, /* no field: the body ends with the connection */
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
};

struct head {
	GString *text;	/* names and values; NULL before the first field */
	GArray *fields; /* struct head_field */
	size_t size;	/* bytes of complete lines so far */
	size_t scanned; /* bytes without a line end after these */
	int status;
	enum head_framing framing;
	uint64_t length;
	bool has_coding;
	bool has_length;
	bool closes; /* the connection cannot be reused */
	bool is_request;
	bool has_start_line;
	const char *text_invalid; /* reason for HEAD_INVALID */
};

/* Reads further lines. data begins at the first byte of the head, has at least
 * the bytes of the call before, and may go on after the head; size bytes of it
 * are the head once it is complete. The struct is zeroed before the first
 * call. */
enum head_result head_read(struct head *head, const char *data, size_t size);
/* The fields of a complete head, names in lower case; free with g_free(). Text
 * is valid until head_clear(). */
struct web_header *head_headers(const struct head *head, size_t *count);
/* Writes the head for h2o. */
GString *head_print(const struct head *head);
/* Whether the framing of a request is certain. Its complete head, which h2o has
 * accepted, is at the start of data. False for what h2o reads by one of several
 * lengths: a length and a transfer coding, lengths that differ, and codings
 * other than chunked. */
bool head_request_is_framed(const char *data, size_t size);
/* The size of an HTTP/1 request with its head, which is at the start of data;
 * UINT64_MAX when the head does not tell. False when the head is incomplete. */
bool head_request_size(const char *data, size_t size, uint64_t *total);
/* Frees the fields and zeroes the struct. */
void head_clear(struct head *head);

#endif
