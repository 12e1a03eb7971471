/*
 * place.h - which backend server a request goes to
 *
 * DESCRIPTION
 *	Each choice picks the usable server of lowest cost and changes nothing
 *	in the fleet. Costs are in fractions of a server's capacity, for prefill
 *	in prompt tokens; the constants of place.c weigh distance and failures
 *	against load. A large service is sampled, mostly from the instance's
 *	own group, and scanned in full only when no sampled server is usable.
 *
 *	With speeds, load at a server is multiplied by the time that work takes
 *	there relative to the usual time, and includes the request itself.
 *	Costs are then the expected time until the server has done all of it, in
 *	the same units. For servers of unequal speed, from 0.6 of their
 *	capacity up to overload.
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
#include "sched/precedence.h"
#include "sched/speed.h"

#define PLACE_TRIED_MAX 8

/* Servers that a request was sent to before; it avoids them. Keys as of
 * backend_key(). */
struct tried {
	uint64_t keys[PLACE_TRIED_MAX];
	uint32_t count;
};

void tried_add(struct tried *tried, uint64_t key);
void tried_remove(struct tried *tried, uint64_t key);

/* Software versions whose servers must neither run a request nor read its
 * prompt. */
#define PLACE_BARRED_MAX 8u

struct barred {
	uint64_t software[PLACE_BARRED_MAX];
	uint32_t count;
};

bool barred_has(const struct barred *barred, uint64_t software);

/* Why a server is not considered. */
enum place_bar {
	PLACE_ALLOWED,
	PLACE_NOT_USABLE, /* draining, evacuated, unreachable or in backoff */
	PLACE_REGION,	  /* not allowed by route or organisation */
	PLACE_SOFTWARE,	  /* another version, or in quarantine there */
	PLACE_NO_PERMIT,  /* a permit was denied */
	PLACE_TRIED,
	PLACE_LIMITED, /* has a rate limit, and this is a retry */
	PLACE_BARS,
};

const char *place_bar_name(enum place_bar bar);

/* A server that was considered. */
struct place_candidate {
	const struct backend *backend;
	enum place_bar bar;
	bool suitable; /* allowed, and of the stage and with room */
	double cost;   /* if suitable */
};

/* One choice: the servers that were considered, and the chosen one or NULL. */
struct place_step {
	enum backend_stage stage;
	GArray *candidates; /* struct place_candidate */
	const struct backend *chosen;
};

/* Records choices for an explanation. */
struct place_report {
	GRand *rand;   /* a copy: real choices stay as they are */
	GArray *steps; /* struct place_step */
};

struct place_report *place_report_create(GRand *rand);
void place_report_destroy(struct place_report *report);
/* For the functions below that choose; a NULL report records nothing. */
void place_report_begin(struct place_report *report, enum backend_stage stage);
void place_report_add(struct place_report *report,
		      const struct place_candidate *candidate);
void place_report_chosen(struct place_report *report,
			 const struct backend *chosen);

struct place {
	struct fleet *fleet;
	int64_t now;
	uint64_t service;
	const struct tried *tried;
	const struct tried *unconnected;	 /* avoided, too; may be NULL */
	const struct backpressure *backpressure; /* NULL: no limits */
	/* Requests a second sent to a cold server; 0: no limit. */
	double cold_limit;
	bool unlimited; /* only servers without a rate limit */
	struct region_limits regions;
	/* Version of the software that runs the request; 0: any. A prefill may
	 * be of another version. */
	uint64_t software;
	const struct barred *barred; /* NULL: none */
	/* Costs count as the time that the load takes at the server's speed.
	 * NULL: as if all servers were equally fast. */
	const struct speeds *speeds;
	GRand *rand;	  /* breaks ties */
	uint32_t *visits; /* counts the servers examined, or NULL */
	/* Claims for decode memory that requests of lower precedence leave
	 * free, and rank and state of this request (sched/precedence.h); NULL:
	 * none. */
	const struct precedence *precedence;
	uint32_t rank;
	uint64_t request; /* in claims of this instance */
	bool due;
	/* Maximum age of the load of servers in this instance's group, and of
	 * others. */
	int64_t stale_local;
	int64_t stale_remote;
	struct place_report *report; /* records the choices, or NULL */
};

/* Whether the request may be sent to the server now. */
bool place_allows(const struct place *place, const struct backend *backend);
/* Maximum age of the known load of the server. */
int64_t place_staleness(const struct place *place,
			const struct backend *backend);
/* Whether a server of the stage is listed that the request's regions allow and
 * that is neither withdrawn nor tried; it may be unreachable or full. */
bool place_has_server(const struct place *place, enum backend_stage stage);
/* A server for a plain call; NULL when none is usable. */
struct backend *place_plain(const struct place *place);
/* The time at which the first server of a stage may be sent a request, when
 * backoffs and limits bar all that are up; 0 when one may be sent a request
 * now, or none is up. */
int64_t place_available_at(const struct place *place, enum backend_stage stage);
/* Whether the server has a free slot for a plain call. */
bool place_has_free_slot(const struct backend *backend);
/* A decode server with room for that many tokens, by the known load. */
struct backend *place_decode(const struct place *place,
			     const struct engine_traits *engine,
			     uint32_t tokens);
/* A prefill server whose result goes to the decode server. */
struct backend *place_prefill(const struct place *place,
			      const struct backend *decode);
/* The prefill server for a prompt of that many tokens whose result goes to the
 * decode server. NULL when no prefill server is usable, or when the decode
 * server should prefill it itself: more than max_ahead tokens are queued at the
 * best prefill server, and the decode server would finish sooner. */
struct backend *place_prompt(const struct place *place,
			     const struct backend *decode, uint32_t tokens,
			     uint32_t max_ahead);
/* Prompt tokens queued at the server, as the number that a server of usual
 * speed processes in the same time. */
uint32_t place_prompt_ahead(const struct place *place,
			    const struct backend *prefill);
/* Requests of that many tokens that the usable decode servers can run at a
 * time, within their memory and rate limits. */
double place_decode_capacity(const struct place *place,
			     const struct engine_traits *engine,
			     uint32_t tokens);

#endif
