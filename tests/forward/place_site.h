/*
 * place_site.h - a fleet with servers of one service, for placement tests
 *
 * DESCRIPTION
 *	A fleet on a paused clock, with "here" as the local data centre, and the
 *	parameters for placing a request on it.
 */
#ifndef TESTS_FORWARD_PLACE_SITE_H
#define TESTS_FORWARD_PLACE_SITE_H

#include "common/clock.h"
#include "forward/fleet.h"
#include "forward/place.h"

#define SITE_SERVICE 1u

struct site {
	struct clock *clock;
	struct fleet *fleet;
	struct place place;
};

void site_open(struct site *site);
void site_close(struct site *site);
/* Advances the clock. */
void site_wait(struct site *site, int64_t usec);
struct backend *site_add(struct site *site, const char *id,
			 enum backend_stage stage, const char *centre);

#endif
