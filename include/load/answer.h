/*
 * answer.h - parses an answer of the daemon as it arrives and checks it
 *
 * DESCRIPTION
 *	Parses the answer's head and its body, which is a stream of server-sent
 *	events or one JSON object, and compares the text with what the plan
 *	expects.
 */
#ifndef LOAD_ANSWER_H
#define LOAD_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "load/call.h"
#include "load/text.h"
#include "web/server.h"

struct answer {
	const struct call_plan *plan;
	const struct clock *clock;
	struct text_check check;
	GString *buffer;	/* an incomplete line, or the whole body */
	GArray *gaps;		/* int64_t, microseconds between tokens */
	int64_t first_token_at; /* arrival of the first token; -1: none yet */
	int64_t last_token_at;	/* arrival of the last token */
	int status;
	int code;
	int retry_after; /* seconds; -1: not given */
	enum outcome outcome;
	bool has_outcome;
	bool event_stream; /* the body is a stream of server-sent events */
	bool finished;	   /* [DONE] arrived */
	bool failed;	   /* an error event arrived */
	char request_id[CALL_ID_MAX];
};

void answer_init(struct answer *answer, const struct call_plan *plan,
		 const struct clock *clock);
void answer_clear(struct answer *answer);
void answer_head(struct answer *answer, int status,
		 const struct web_header *headers, size_t count);
void answer_body(struct answer *answer, const void *data, size_t size);
/* Judges the answer after the connection ended; ok: it ended cleanly. */
enum call_verdict answer_verdict(struct answer *answer, bool ok);

#endif
