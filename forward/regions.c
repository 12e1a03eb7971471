#include "forward/regions.h"

#include "common/id.h"

GArray *region_set_add(GArray *set, const char *name)
{
	uint64_t region = id_of(name);

	if (!set)
		set = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(set, region);
	return set;
}

void region_set_destroy(GArray *set)
{
	if (set)
		g_array_unref(set);
}

static bool region_set_has(const GArray *set, uint64_t region)
{
	for (guint i = 0; i < set->len; i++)
		if (g_array_index(set, uint64_t, i) == region)
			return true;
	return false;
}

bool regions_limited(const struct region_limits *limits)
{
	return limits->of_route || limits->of_organisation;
}

bool regions_allow(const struct region_limits *limits, uint64_t region)
{
	return (!limits->of_route ||
		region_set_has(limits->of_route, region)) &&
	       (!limits->of_organisation ||
		region_set_has(limits->of_organisation, region));
}
