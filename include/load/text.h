/*
 * text.h - checks the text that a stand-in model generates for a prompt
 *
 * DESCRIPTION
 *	Implements "Model text" of docs/PROTOCOLS.md: token k of an answer is a
 *	function of the prompt and k, so a caller detects an answer that is
 *	incomplete, belongs to another call or repeats a token.
 */
#ifndef LOAD_TEXT_H
#define LOAD_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct text_check {
	uint64_t prompt_hash; /* id_hash() of the prompt */
	uint32_t expected;
	uint32_t tokens;     /* complete tokens received */
	size_t token_offset; /* bytes received of the next token */
	bool wrong;
};

void text_check_init(struct text_check *check, uint64_t prompt_hash,
		     uint32_t expected);
/* Checks the next bytes; returns the number of tokens that they complete. */
uint32_t text_check_feed(struct text_check *check, const char *data,
			 size_t size);
/* True if exactly the expected tokens arrived, in order. */
bool text_check_complete(const struct text_check *check);

#endif
