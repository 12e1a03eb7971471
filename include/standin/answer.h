/*
 * answer.h - what a prompt asks of a stand-in model
 *
 * DESCRIPTION
 *	The answer itself is the model text of common/model_text.h. See
 *	docs/PROTOCOLS.md.
 */
#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <stddef.h>
#include <stdint.h>

/* Number of tokens: n when the prompt contains "#n" and n < max, else max. */
uint32_t answer_length(const char *prompt, size_t size, uint32_t max);
/* Words of the prompt, or n when it starts with "@n ". */
uint32_t answer_prompt_tokens(const char *prompt, size_t size);

#endif
