#include "entry/prompt.h"

#include <ctype.h>
#include <stdbool.h>
#include <string.h>

#include "common/id.h"
#include "policy/policy.h"

#define SYNTHETIC_TOKENS_MAX 1000000u

static size_t word_next(const char *text, size_t size, size_t at, size_t *start)
{
	while (at < size && isspace((unsigned char)text[at]))
		at++;
	*start = at;
	while (at < size && !isspace((unsigned char)text[at]))
		at++;
	return at;
}

static bool number_parse(const char *text, size_t size, uint32_t *value)
{
	uint32_t number = 0;

	if (!size)
		return false;
	for (size_t i = 0; i < size; i++) {
		if (text[i] < '0' || text[i] > '9')
			return false;
		number = number * 10 + (uint32_t)(text[i] - '0');
		if (number > SYNTHETIC_TOKENS_MAX)
			return false;
	}
	*value = number;
	return true;
}

/* "@N ": a synthetic prompt of N tokens. */
static bool synthetic_parse(const char *text, size_t size, uint32_t *tokens)
{
	size_t start;
	size_t end;

	if (!size || text[0] != '@')
		return false;
	end = word_next(text, size, 1, &start);
	return start == 1 && number_parse(text + 1, end - 1, tokens);
}

uint32_t prompt_tokens(const char *text, size_t size)
{
	uint32_t count = 0;
	size_t start;
	size_t at = 0;

	if (synthetic_parse(text, size, &count))
		return count ? count : 1;
	for (;;) {
		at = word_next(text, size, at, &start);
		if (start == at)
			return count ? count : 1;
		count++;
	}
}

/* "WORD~P": the number of shared tokens, and the hash of the word. */
static uint32_t shared_parse(const char *text, size_t size, uint64_t *group)
{
	const char *tilde;
	uint32_t shared;
	size_t start;
	size_t end;

	word_next(text, size, 0, &start);
	end = word_next(text, size, 0, &start);
	end = word_next(text, size, end, &start);
	tilde = memchr(text + start, '~', end - start);
	if (!tilde ||
	    !number_parse(tilde + 1, (size_t)(text + end - tilde - 1), &shared))
		return 0;
	*group = id_hash(text + start, end - start);
	return shared;
}

static uint32_t synthetic_blocks(const char *text, size_t size, uint32_t tokens,
				 uint64_t *blocks, uint32_t max)
{
	uint64_t own_hash = id_hash(text, size);
	uint64_t group = own_hash;
	uint32_t shared = shared_parse(text, size, &group);
	uint32_t count = tokens / PREFIX_BLOCK_TOKENS;
	uint64_t chain = 0;

	if (count > max)
		count = max;
	for (uint32_t i = 0; i < count; i++) {
		bool common = (i + 1) * PREFIX_BLOCK_TOKENS <= shared;

		chain = id_mix(chain, id_mix(common ? group : own_hash, i));
		blocks[i] = chain;
	}
	return count;
}

uint32_t prompt_blocks(const char *text, size_t size, uint64_t *blocks,
		       uint32_t max)
{
	uint32_t tokens;
	uint32_t count = 0;
	uint32_t words = 0;
	uint64_t chain = 0;
	size_t from = 0;
	size_t start;
	size_t at = 0;

	if (synthetic_parse(text, size, &tokens))
		return synthetic_blocks(text, size, tokens, blocks, max);
	while (count < max) {
		at = word_next(text, size, at, &start);
		if (start == at)
			break;
		if (++words % PREFIX_BLOCK_TOKENS)
			continue;
		chain = id_mix(chain, id_hash(text + from, at - from));
		blocks[count++] = chain;
		from = at;
	}
	return count;
}
