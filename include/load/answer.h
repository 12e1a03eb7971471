/*
 * answer.h - reads an answer of the daemon as it comes, and checks it
 *
 * DESCRIPTION
 *	Takes the answer's head and body, either server-sent events or one JSON
 *	object, and compares it with what the plan expects.
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
	GString *buffer;  /* a line not yet whole, or the whole body */
	GArray *gaps;	  /* int64_t, microseconds between tokens */
	int64_t first_at; /* -1: no token yet */
	int64_t last_at;
	int status;
	int code;
	int retry_after; /* seconds; -1: not told */
	enum outcome outcome;
	bool outcome_told;
	bool events;   /* a stream of events */
	bool finished; /* [DONE] came */
	bool failed;   /* an error event came */
	char request_id[CALL_ID_MAX];
};

void answer_init(struct answer *answer, const struct call_plan *plan,
		 const struct clock *clock);
void answer_clear(struct answer *answer);
void answer_head(struct answer *answer, int status,
		 const struct web_header *headers, size_t count);
void answer_body(struct answer *answer, const void *data, size_t size);
/* The connection ended; ok tells that it ended as it should. */
enum call_verdict answer_verdict(struct answer *answer, bool ok);

#endif
