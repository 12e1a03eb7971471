/*
 * where.h - explains where a request would go now, without sending it
 *
 * DESCRIPTION
 *	Runs the same choices as for a real request, on a request that exists
 *	only for that: nothing is sent, taken from an allotment or a budget,
 *	charged to a server or counted, and the random numbers of real requests
 *	stay as they are. Organisations are named, since their keys are secret.
 *
 *	The answer is JSON: the route, and for each service that it may choose
 *	the steps of the request. Each step names the chosen server and all that
 *	were considered, with the terms of their cost, or the reason why they
 *	are barred. Costs are those of forward/place.h; times are milliseconds.
 *
 *	A plain call of a dispatched service is granted its server by the
 *	dispatcher (sched/dispatch.h). The answer then names the server that
 *	this instance would choose without it, and says so.
 *
 *	An instance answers by what it knows. Another one may know other loads.
 */
#ifndef FORWARD_WHERE_H
#define FORWARD_WHERE_H

#include <glib.h>
#include <stdint.h>

#include "common/error.h"

struct forward;

struct where_query {
	const char *host;
	const char *path;
	uint32_t prompt_tokens;	  /* 0: a plain call */
	uint32_t output_max;	  /* maximum of generated tokens */
	uint32_t output_expected; /* the caller's estimate; 0: none */
	const char *organisation; /* empty: none */
};

/* The answer, to be freed with g_free(). NULL with RESULT_NOT_FOUND if no route
 * or organisation matches, or RESULT_NO_CONFIG before the first
 * configuration. */
char *forward_where(struct forward *forward, const struct where_query *query,
		    struct error *err);

#endif
