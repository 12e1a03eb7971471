/*
 * replies.h - bound on the memory of complete answers that callers read slowly
 *
 * DESCRIPTION
 *	A complete answer is kept until its caller has read it. Those over
 *	BODY_SMALL_MAX together take at most max bytes. An answer that was kept
 *	for ten seconds is truncated if another one needs its room.
 */
#ifndef WEB_REPLIES_H
#define WEB_REPLIES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct clock;

struct replies {
	const struct clock *clock;
	const GQueue *requests; /* struct web_request */
	size_t max;		/* 0: no bound */
};

/* Whether an answer of that size fits, also by truncating others. A single one
 * always does. */
bool replies_make_room(const struct replies *replies, size_t size);

#endif
