#include "load/text.h"

#include "common/model_text.h"

void text_check_init(struct text_check *check, uint64_t prompt_hash,
		     uint32_t expected)
{
	*check = (struct text_check){.prompt_hash = prompt_hash,
				     .expected = expected};
}

uint32_t text_check_feed(struct text_check *check, const char *data,
			 size_t size)
{
	char token[MODEL_TOKEN_SIZE + 1];
	uint32_t before = check->tokens;

	model_token(check->prompt_hash, check->tokens, token);
	for (size_t i = 0; i < size && !check->wrong; i++) {
		if (check->tokens >= check->expected ||
		    data[i] != token[check->token_offset]) {
			check->wrong = true;
			break;
		}
		if (++check->token_offset < MODEL_TOKEN_SIZE)
			continue;
		check->token_offset = 0;
		check->tokens++;
		model_token(check->prompt_hash, check->tokens, token);
	}
	return check->tokens - before;
}

bool text_check_complete(const struct text_check *check)
{
	return !check->wrong && check->token_offset == 0 &&
	       check->tokens == check->expected;
}
