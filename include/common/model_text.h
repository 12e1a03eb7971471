/*
 * model_text.h - tokens of the answers of stand-in models
 *
 * DESCRIPTION
 *	"Model text" of docs/PROTOCOLS.md: token k is "w", the low 16 bits of
 *	id_mix(prompt, k) in four hex digits, and a space, where prompt is
 *	id_hash() of the whole prompt. This lets a caller check that it received
 *	every token exactly once and in order.
 */
#ifndef COMMON_MODEL_TEXT_H
#define COMMON_MODEL_TEXT_H

#include <stdint.h>

#define MODEL_TOKEN_SIZE 6u

/* Writes token k and a terminating NUL to text. */
void model_token(uint64_t prompt, uint32_t k, char text[MODEL_TOKEN_SIZE + 1]);

#endif
