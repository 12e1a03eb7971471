#include "common/hex.h"

#include <stdio.h>

char *hex_id(char *text, uint64_t id)
{
	snprintf(text, HEX_ID_SIZE, "%016llx", (unsigned long long)id);
	return text;
}

static int digit_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

bool hex_parse(const char *text, size_t size, uint64_t *id)
{
	uint64_t value = 0;

	if (size != HEX_ID_SIZE - 1)
		return false;
	for (size_t i = 0; i < size; i++) {
		int digit = digit_value(text[i]);

		if (digit < 0)
			return false;
		value = value << 4 | (uint64_t)digit;
	}
	*id = value;
	return true;
}
