#include "load/text.h"

#include <stdio.h>

#include "common/id.h"

size_t text_token(uint64_t prompt, uint32_t k, char token[TEXT_TOKEN_MAX])
{
	unsigned int bits = id_mix(prompt, k) & 0xffff;

	return (size_t)snprintf(token, TEXT_TOKEN_MAX, "w%04x ", bits);
}

void text_check_init(struct text_check *check, uint64_t prompt,
		     uint32_t expected)
{
	*check = (struct text_check){.prompt = prompt, .expected = expected};
}

uint32_t text_check_feed(struct text_check *check, const char *data,
			 size_t size)
{
	char token[TEXT_TOKEN_MAX];
	uint32_t before = check->tokens;
	size_t length = text_token(check->prompt, check->tokens, token);

	for (size_t i = 0; i < size && !check->wrong; i++) {
		if (check->tokens >= check->expected ||
		    data[i] != token[check->within]) {
			check->wrong = true;
			break;
		}
		if (++check->within < length)
			continue;
		check->within = 0;
		check->tokens++;
		length = text_token(check->prompt, check->tokens, token);
	}
	return check->tokens - before;
}

bool text_check_whole(const struct text_check *check)
{
	return !check->wrong && check->within == 0 &&
	       check->tokens == check->expected;
}
