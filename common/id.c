#include "common/id.h"

#include <string.h>
#include <xxhash.h>

uint64_t id_hash(const void *data, size_t size)
{
	return XXH3_64bits(data, size);
}

uint64_t id_of(const char *name)
{
	if (!name)
		name = "";
	return id_hash(name, strlen(name));
}

uint64_t id_mix(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = {a, b};

	return id_hash(pair, sizeof(pair));
}
