/*
 * place.h - which backend server a request goes to
 *
 * DESCRIPTION
 *	Pure choices over the fleet's table: each picks the server of least cost
 *	among those usable. Costs are in shares of a server's capacity; the
 *	constants of place.c say what distance and trouble weigh against that.
 *	Of many servers a sample is looked at, most of it of the instance's own
 *	group, and all of them only when none of the sample will do.
 *	A list of servers to leave out holds keys.
 */
#ifndef FORWARD_PLACE_H
#define FORWARD_PLACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coord/backpressure.h"
#include "forward/catalog.h"
#include "forward/fleet.h"
#include "forward/regions.h"

#define PLACE_TRIED_MAX 8

/* Servers that a request has met already. */
struct tried {
	uint64_t keys[PLACE_TRIED_MAX];
	uint32_t count;
};

void tried_add(struct tried *tried, uint64_t key);

struct place {
	struct fleet *fleet;
	int64_t now;
	uint64_t service;
	const struct tried *tried;
	const struct backpressure *backpressure; /* NULL: no limits */
	/* Requests a second that a cold server is sent; 0: any. */
	double cold_limit;
	bool unlimited; /* only servers without a limit */
	struct region_limits regions;
	GRand *rand;	  /* breaks ties */
	uint32_t *visits; /* counts the servers that are looked at; or NULL */
	/* How old what peers told of loads may be, near and elsewhere. */
	int64_t stale_local;
	int64_t stale_remote;
};

/* How old the view of the server's load may be. */
int64_t place_staleness(const struct place *place,
			const struct backend *backend);
/* Whether a server of the stage is listed that may have the request, if it can
 * be reached and has room. */
bool place_has_server(const struct place *place, enum backend_stage stage);
/* For a plain call. NULL when no server is usable. */
struct backend *place_plain(const struct place *place);
/* When the first server of a stage may be sent a request, if those that could
 * take one all asked for less or for nothing; 0 when one may be now, or none
 * can be reached. */
int64_t place_available_at(const struct place *place, enum backend_stage stage);
/* Whether the server has a place free for a plain call. */
bool place_has_free_slot(const struct backend *backend);
/* A decode server with room for tokens, by what is under way there. */
struct backend *place_decode(const struct place *place,
			     const struct engine_traits *engine,
			     uint32_t tokens);
/* A prefill server for a result that goes to the decode server to. */
struct backend *place_prefill(const struct place *place,
			      const struct backend *decode);
/* Who reads a prompt of so many tokens for the decode server to: a prefill
 * server, or NULL when the decode server had better read it itself, since more
 * than max_ahead tokens wait at the best prefill server and it is done sooner.
 */
struct backend *place_prompt(const struct place *place,
			     const struct backend *decode, uint32_t tokens,
			     uint32_t max_ahead);
/* Requests of so many tokens that the usable decode servers can run at a time,
 * given their memory and their limits. */
double place_decode_capacity(const struct place *place,
			     const struct engine_traits *engine,
			     uint32_t tokens);

#endif
