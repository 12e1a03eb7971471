/*
 * answer.h - token counts that a prompt sets for a stand-in model
 *
 * DESCRIPTION
 *	The text of the answer comes from common/model_text.h. See
 *	docs/PROTOCOLS.md.
 */
#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <stddef.h>
#include <stdint.h>

/* Tokens of the answer: n if the prompt contains "#n" and n < max, else max. */
uint32_t answer_output_tokens(const char *prompt, size_t size, uint32_t max);
/* Tokens of the prompt: its number of words, or n if it starts with "@n". */
uint32_t answer_prompt_tokens(const char *prompt, size_t size);

#endif
