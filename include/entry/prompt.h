/*
 * prompt.h - the size of a prompt and the hashes of its blocks
 *
 * DESCRIPTION
 *	Tokens are counted as words, which is within a third of what tokenizers
 *	count for the languages served; the engine's own count is what memory is
 *	charged by. A prompt that starts with "@N " counts as N tokens, so that
 *	tests and load tools need no long texts; when its next word ends in "~P"
 *	its first P tokens are those that all prompts with that word share.
 *
 *	Blocks are chained: the hash of a block covers all text before it, so
 *	equal hashes mean an equal prefix.
 */
#ifndef ENTRY_PROMPT_H
#define ENTRY_PROMPT_H

#include <stddef.h>
#include <stdint.h>

uint32_t prompt_tokens(const char *text, size_t size);
/* Fills the hashes of the whole blocks, at most max; returns their number. */
uint32_t prompt_blocks(const char *text, size_t size, uint64_t *blocks,
		       uint32_t max);

#endif
