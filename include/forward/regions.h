/*
 * regions.h - in which regions a request may be served
 *
 * DESCRIPTION
 *	Data centres lie in regions. A route, and an organisation, may name the
 *	regions in which its requests are served; where both do, both bind. The
 *	body of such a request, and what is computed from it, goes to servers of
 *	these regions only. The instance that its caller connected to may lie
 *	anywhere.
 *
 *	A set is shared by the catalog that it was decoded with; NULL stands for
 *	no restriction. Regions are named by id_of() their name; 0 is a region
 *	that is not known, which no set has.
 */
#ifndef FORWARD_REGIONS_H
#define FORWARD_REGIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What one request has to keep to. */
struct region_limits {
	const GArray *of_route; /* uint64_t, or NULL */
	const GArray *of_organisation;
};

/* Adds a region to the set, which is created when it is NULL. */
GArray *region_set_add(GArray *set, const char *name);
/* Accepts NULL. */
void region_set_destroy(GArray *set);

bool regions_limited(const struct region_limits *limits);
bool regions_allow(const struct region_limits *limits, uint64_t region);

#endif
