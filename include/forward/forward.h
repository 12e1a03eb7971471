/*
 * forward.h - takes callers' requests and has backend servers answer them
 *
 * DESCRIPTION
 *	Each request is routed by the catalog in force at its arrival and ends
 *	exactly once: with a server's whole answer, passed on unchanged; with a
 *	refusal, which says that it did not run and when to come back; with a
 *	failure that promises nothing; or because the caller hung up, when all
 *	work for it is cancelled. Nothing is sent twice when it may have run,
 *	unless its route allows that. A request is given up on at the route's
 *	timeout or the caller's limit, whichever is first, and told so at once.
 *
 *	Requests of engine services reserve decode memory at a server, have
 *	their KV cache computed by a prefill server, and are then run by the
 *	decode server, which fetches it. They wait here while no memory is
 *	free.
 *
 *	Where the catalog has organisations, a caller is known by its key, and
 *	its organisation's allotment bounds what is taken: a request without a
 *	known key, or beyond the allotment, is refused when it arrives.
 *
 *	A request under which servers have ended (coord/quarantine.h) is refused
 *	before it reaches another one.
 *
 *	All times are in microseconds of the clock.
 *
 * SEE ALSO
 *	docs/design/platform.md
 */
#ifndef FORWARD_FORWARD_H
#define FORWARD_FORWARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/counter.h"
#include "coord/backpressure.h"
#include "coord/limit.h"
#include "coord/quarantine.h"
#include "forward/backend.h"
#include "forward/budget.h"
#include "forward/caller.h"
#include "forward/catalog.h"
#include "forward/fleet.h"
#include "forward/rates.h"
#include "web/loop.h"

struct forward;

/* How many instances share the budgets now, this one included. */
typedef uint32_t (*forward_instances_fn)(void *ctx);

/* How old the loads that instances tell may be, near and elsewhere. */
typedef int64_t (*forward_interval_fn)(void *ctx, bool local);

/* How old the list of backend servers is; negative before the first. */
typedef int64_t (*forward_age_fn)(void *ctx);

/* The load on a server of engines has changed. */
typedef void (*forward_changed_fn)(void *ctx);

/* Some of an allotment was used. */
typedef void (*forward_used_fn)(void *ctx);

/* Something new is known of a work in the quarantine. */
typedef void (*forward_work_fn)(void *ctx,
				const struct request_fingerprint *work);

/* Permission to send one request to a server with a limit. */
enum permit {
	PERMIT_GRANTED,
	PERMIT_DENIED, /* retry_usec says when to ask again */
	PERMIT_ASKED,  /* forward_permit() is called with the answer, if any */
};
typedef enum permit (*forward_permit_fn)(void *ctx,
					 const struct backend *backend,
					 uint64_t id, int64_t *retry_usec);

struct forward_parts {
	struct clock *clock;
	struct loop *loop;
	struct fleet *fleet;
	struct budgets *budgets;
	struct quarantine *quarantine;
	struct backpressure *backpressure;
	struct limits *limits;
	struct counter_set *counters;
	GRand *rand;
	uint64_t
		keyed_hash_secret; /* for keyed_hash_of(); no caller knows it */
	struct backend_ops backends;
	struct caller_codec callers;
	forward_instances_fn instances;
	forward_interval_fn interval;
	forward_age_fn list_age;
	forward_instances_fn waiting; /* requests, at all instances */
	forward_changed_fn load_changed;
	forward_work_fn work_changed;
	forward_used_fn allotment_used;
	forward_permit_fn permit;
	void *instances_ctx;
};

struct forward *forward_create(const struct forward_parts *parts);
/* Ends what is under way without an answer. */
void forward_destroy(struct forward *forward);
/* Takes a reference. A lower version than that in force is passed over: false.
 */
bool forward_set_catalog(struct forward *forward, struct catalog *catalog);
/* NULL until there is one. */
const struct catalog *forward_catalog(const struct forward *forward);
/* From now on requests that may take long are refused: they would not end
 * before the process has to. */
void forward_drain(struct forward *forward);
/* Handles one request: a web_handler_fn with the forward as context. */
void forward_take(void *ctx, struct web_request *request);
/* Takes in a fact that another instance told. */
void forward_fact(struct forward *forward,
		  const struct backpressure_fact *fact);
/* The answer to a permit that was asked for with that id; late answers are
 * ignored. */
void forward_permit(struct forward *forward, uint64_t id, uint64_t server,
		    bool granted, int64_t retry_usec);
/* Requests not yet ended. */
uint32_t forward_pending(const struct forward *forward);
/* Of these, those that wait for decode memory. */
uint32_t forward_waiting(const struct forward *forward);
/* What was asked of a service of engines lately, for the choice of roles. */
struct forward_demand {
	double prompt_tokens_per_s;
	uint32_t waiting;    /* for decode memory, now */
	double prefill_rate; /* of a prefill server; 0: not seen often enough */
};
void forward_demand(const struct forward *forward, uint64_t service,
		    struct forward_demand *demand);

#endif
