#include "seeds.h"

#include <glib.h>

static uint32_t env_number(const char *name, const char *suffix,
			   uint32_t fallback)
{
	g_autofree char *variable = g_strconcat(name, "_", suffix, NULL);
	const char *text = g_getenv(variable);

	return text ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : fallback;
}

struct seeds seeds_from_env(const char *name)
{
	struct seeds seeds;

	seeds.first = env_number(name, "SEED", 0);
	seeds.count =
		env_number(name, "COUNT", seeds.first ? 1 : SEEDS_DEFAULT);
	return seeds;
}
