/*
 * place_site.h - a few servers of one service, to choose among
 *
 * DESCRIPTION
 *	A fleet on a paused clock, as seen from the data centre "here", and a
 *	choice among its servers.
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
/* Time goes on. */
void site_wait(struct site *site, int64_t usec);
struct backend *site_add(struct site *site, const char *id,
			 enum backend_stage stage, const char *centre);

#endif
