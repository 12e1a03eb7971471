/*
 * prompt.h - the size of a prompt and the hashes of its blocks
 *
 * DESCRIPTION
 *	Tokens are counted as words, which is within a third of the count of
 *	tokenizers for the languages served; memory is charged by the engine's
 *	own count. A prompt that starts with "@N " counts as N tokens, so that
 *	tests and load tools need no long texts. If its next word ends in "~P",
 *	all prompts with that word share their first P tokens.
 *
 *	Blocks are chained: the hash of a block covers all text before it, so
 *	equal hashes mean an equal prefix.
 */
#ifndef ENTRY_PROMPT_H
#define ENTRY_PROMPT_H

#include <stddef.h>
#include <stdint.h>

uint32_t prompt_tokens(const char *text, size_t size);
/* Hashes the complete blocks, at most max; returns their number. */
uint32_t prompt_blocks(const char *text, size_t size, uint64_t *blocks,
		       uint32_t max);

#endif
