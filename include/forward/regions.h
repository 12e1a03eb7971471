/*
 * regions.h - the regions in which a request may be served
 *
 * DESCRIPTION
 *	Each data centre is in a region. A route and an organisation may each
 *	restrict the regions in which their requests are served; when both do,
 *	both restrictions apply. The body of such a request, and the data
 *	computed from it, is sent to servers of these regions only. The instance
 *	that its caller connected to may be in any region.
 *
 *	A set belongs to the catalog that it was decoded with; NULL means no
 *	restriction. A region is identified by id_of() its name; 0 is an unknown
 *	region, which no set contains.
 */
#ifndef FORWARD_REGIONS_H
#define FORWARD_REGIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The restrictions of one request. */
struct region_limits {
	const GArray *of_route; /* uint64_t, or NULL */
	const GArray *of_organisation;
};

/* Adds a region to the set, which is created if NULL. */
GArray *region_set_add(GArray *set, const char *name);
/* Accepts NULL. */
void region_set_destroy(GArray *set);

bool regions_limited(const struct region_limits *limits);
bool regions_allow(const struct region_limits *limits, uint64_t region);

#endif
