#include "standin/answer.h"

#include <stdbool.h>
#include <string.h>

/* Parses the digits at the start of text; false if there are none. */
static bool digits_parse(const char *text, size_t size, uint32_t *number)
{
	uint64_t value = 0;
	size_t i = 0;

	while (i < size && text[i] >= '0' && text[i] <= '9' &&
	       value <= UINT32_MAX)
		value = value * 10 + (uint64_t)(text[i++] - '0');
	*number = value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
	return i > 0;
}

uint32_t answer_output_tokens(const char *prompt, size_t size, uint32_t max)
{
	const char *end = prompt + size;
	const char *at = prompt;
	uint32_t length;

	while (size > 0 && (at = memchr(at, '#', (size_t)(end - at)))) {
		at++;
		if (digits_parse(at, (size_t)(end - at), &length))
			return length < max ? length : max;
	}
	return max;
}

uint32_t answer_prompt_tokens(const char *prompt, size_t size)
{
	uint32_t words = 0;
	bool in_word = false;

	if (size > 1 && prompt[0] == '@' &&
	    digits_parse(prompt + 1, size - 1, &words))
		return words;
	for (size_t i = 0; i < size; i++) {
		bool space = strchr(" \t\r\n", prompt[i]) && prompt[i];

		words += !space && !in_word;
		in_word = !space;
	}
	return words;
}
