/*
 * text.h - checks the answer that the stand-in models give to a prompt
 *
 * DESCRIPTION
 *	"Model text" of docs/PROTOCOLS.md: token k of an answer is a function
 *	of the prompt and k, so a caller can tell an answer that is not whole,
 *	is another's, or repeats a token.
 */
#ifndef LOAD_TEXT_H
#define LOAD_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct text_check {
	uint64_t prompt; /* id_hash() of it */
	uint32_t expected;
	uint32_t tokens; /* whole tokens seen */
	size_t within;	 /* bytes seen of the next */
	bool wrong;
};

void text_check_init(struct text_check *check, uint64_t prompt,
		     uint32_t expected);
/* Takes the next bytes of the answer; returns how many tokens they ended. */
uint32_t text_check_feed(struct text_check *check, const char *data,
			 size_t size);
/* All expected tokens came, in order, and nothing else. */
bool text_check_whole(const struct text_check *check);

#endif
