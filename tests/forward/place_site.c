#include "place_site.h"

#include <glib.h>

struct backend *site_add(struct site *site, const char *id,
			 enum backend_stage stage, const char *centre)
{
	struct backend_info info = {
		.service = SITE_SERVICE, .stage = stage, .slots = 4};

	g_strlcpy(info.id, id, sizeof(info.id));
	g_strlcpy(info.address, "127.0.0.1:1", sizeof(info.address));
	g_strlcpy(info.data_centre, centre, sizeof(info.data_centre));
	return fleet_put(site->fleet, &info);
}

void site_open(struct site *site)
{
	site->clock = clock_create(0);
	clock_advance(site->clock, 100 * USEC_PER_SEC);
	site->fleet = fleet_create(site->clock, "here");
	site->place = (struct place){
		.fleet = site->fleet,
		.now = clock_now(site->clock),
		.service = SITE_SERVICE,
		.rand = g_rand_new_with_seed(3),
	};
}

void site_close(struct site *site)
{
	fleet_destroy(site->fleet);
	clock_destroy(site->clock);
	g_rand_free(site->place.rand);
}

void site_wait(struct site *site, int64_t usec)
{
	clock_advance(site->clock, clock_now(site->clock) + usec);
	site->place.now = clock_now(site->clock);
}
