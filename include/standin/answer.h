/*
 * answer.h - the model text that stands for a model's answer
 *
 * DESCRIPTION
 *	The answer to a prompt is a fixed function of it, so that any reader can
 *	check that it got every token once and in order: token k is "w", the low
 *	16 bits of id_mix(prompt, k) in four hex digits, and a space, where
 *	prompt is id_hash() of the whole prompt text. See docs/PROTOCOLS.md.
 */
#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <stddef.h>
#include <stdint.h>

#define ANSWER_TOKEN_SIZE 6u

/* Writes the text of token k with a final NUL. */
void answer_token(uint64_t prompt, uint32_t k,
		  char text[ANSWER_TOKEN_SIZE + 1]);
/* Number of tokens: n when the prompt contains "#n" and n < max, else max. */
uint32_t answer_length(const char *prompt, size_t size, uint32_t max);
/* Words of the prompt, or n when it starts with "@n ". */
uint32_t answer_prompt_tokens(const char *prompt, size_t size);

#endif
