#include "common/model_text.h"

#include "common/id.h"

void model_token(uint64_t prompt, uint32_t k, char text[MODEL_TOKEN_SIZE + 1])
{
	static const char digits[] = "0123456789abcdef";
	uint64_t bits = id_mix(prompt, k);

	text[0] = 'w';
	for (int i = 0; i < 4; i++)
		text[1 + i] = digits[(bits >> (12 - 4 * i)) & 15];
	text[5] = ' ';
	text[6] = '\0';
}
