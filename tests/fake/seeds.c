#include "seeds.h"

#include <glib.h>

static uint32_t environment(const char *name, const char *what,
			    uint32_t otherwise)
{
	g_autofree char *variable = g_strconcat(name, "_", what, NULL);
	const char *text = g_getenv(variable);

	return text ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : otherwise;
}

struct seeds seeds_wanted(const char *name)
{
	struct seeds seeds;

	seeds.first = environment(name, "SEED", 0);
	seeds.count = environment(name, "COUNT", seeds.first ? 1 : SEEDS);
	return seeds;
}
