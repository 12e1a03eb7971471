/*
 * forward.h - forwards callers' requests to backend servers
 *
 * DESCRIPTION
 *	Each request is routed by the catalog in force at its arrival and ends
 *	exactly once: with a server's complete answer, relayed unchanged; with a
 *	refusal, which states that it did not run and when to retry; with an
 *	error, after which it may have run; or because the caller closed the
 *	connection, which cancels the call. A request that may have run is not
 *	sent again unless its route allows that. It times out at the route's
 *	timeout or the caller's, whichever is first, and the caller gets an
 *	error at once.
 *
 *	A request of an engine service reserves memory at a decode server, has
 *	its KV cache computed by a prefill server, and is then run by the decode
 *	server, which fetches the cache. It waits here while no memory is free.
 *
 *	If the catalog has organisations, a caller is identified by its key, and
 *	the allotment of its organisation limits its requests: a request without
 *	a known key, or beyond the allotment, is refused when it arrives.
 *
 *	A request that has crashed servers (coord/quarantine.h) is refused
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

#include "common/address.h"
#include "common/counter.h"
#include "coord/backpressure.h"
#include "coord/limit.h"
#include "coord/quarantine.h"
#include "forward/backend.h"
#include "forward/budget.h"
#include "forward/caller.h"
#include "forward/calls.h"
#include "forward/catalog.h"
#include "forward/fleet.h"
#include "forward/origins.h"
#include "forward/rates.h"
#include "sched/precedence.h"
#include "sched/speed.h"
#include "web/loop.h"

struct forward;

/* Instances that share the budgets now, including this one. */
typedef uint32_t (*forward_instances_fn)(void *ctx);

/* Largest age of the loads announced by instances of the local data centre, or
 * of remote ones. */
typedef int64_t (*forward_interval_fn)(void *ctx, bool local);

/* Age of the list of backend servers; negative before the first. */
typedef int64_t (*forward_age_fn)(void *ctx);

/* Reads the list of backend servers again, unless it is being read;
 * forward_list_synced() follows. False when the store does not answer. */
typedef bool (*forward_read_fn)(void *ctx);

/* The load of an engine server has changed. */
typedef void (*forward_load_fn)(void *ctx);

/* Units were taken from an allotment. */
typedef void (*forward_used_fn)(void *ctx);

/* The quarantine entry of a request has changed. */
typedef void (*forward_quarantine_fn)(
	void *ctx, const struct request_fingerprint *fingerprint);

/* Permission to send one request to a server with a rate limit. */
enum permit {
	PERMIT_GRANTED,
	PERMIT_DENIED,	/* retry_usec: when to request again */
	PERMIT_PENDING, /* forward_permit_answered() is called with the answer
			 */
};
typedef enum permit (*forward_permit_fn)(void *ctx,
					 const struct backend *backend,
					 uint64_t id, int64_t *retry_usec);

/* Chooses an instance that may connect to the server on behalf of this one;
 * false when there is none. */
typedef bool (*forward_relay_fn)(void *ctx, const struct backend_info *to,
				 char relay[ADDRESS_TEXT_MAX]);

/* What the instance has done when it was asked to connect to the server. */
typedef void (*forward_relay_result_fn)(void *ctx, const char *relay,
					uint64_t server,
					enum relay_failure failure);

/* A stream of this instance was begun by that software version, or still is in
 * progress: passes it on to the stream's homes. */
typedef void (*forward_origin_fn)(void *ctx, uint64_t stream,
				  uint64_t software);

/* Asks the homes of a stream; returns the number of instances asked, each of
 * which may answer by forward_origin_answered(). */
typedef uint32_t (*forward_origin_ask_fn)(void *ctx,
					  const struct origin_query *query);

/* Asks the dispatcher of the service, and sets the number that identifies it.
 * The answer comes by forward_call_answered(), in a later iteration of the
 * event loop. False when it cannot be asked. */
typedef bool (*forward_call_request_fn)(void *ctx,
					const struct call_request *request,
					uint64_t *dispatcher);

/* Tells the dispatcher of the end of a call, or of a wait. */
typedef void (*forward_call_done_fn)(void *ctx, uint64_t dispatcher,
				     const struct call_done *done);
/* Requests of that rank or a higher one that wait at all instances. */
typedef uint32_t (*forward_ranked_fn)(void *ctx, uint32_t rank);

/* Sends the claim to all live instances. */
typedef void (*forward_claim_fn)(void *ctx, const struct room_claim *claim);

struct forward_parts {
	struct clock *clock;
	struct loop *loop;
	struct fleet *fleet;
	struct budgets *budgets;
	struct quarantine *quarantine;
	struct backpressure *backpressure;
	struct limits *limits;
	struct origins *origins;
	struct speeds *speeds; /* NULL: all servers take the usual time */
	struct counter_set *counters;
	GRand *rand;
	uint64_t
		keyed_hash_secret; /* for keyed_hash_of(); unknown to callers */
	struct backend_ops backends;
	struct caller_codec callers;
	forward_instances_fn instances;
	forward_interval_fn interval;
	forward_age_fn list_age;
	forward_read_fn list_read;
	forward_instances_fn waiting; /* waiting requests at all instances */
	forward_load_fn load_changed;
	forward_quarantine_fn quarantine_changed;
	forward_used_fn allotment_used;
	forward_permit_fn permit;
	forward_relay_fn relay_choose;
	forward_relay_result_fn relay_result;
	forward_origin_fn origin_began;
	forward_origin_ask_fn origin_ask;
	enum plain_queue plain_queue;
	forward_call_request_fn call_request; /* NULL: no dispatchers */
	forward_call_done_fn call_done;
	/* For catalogs that are ranked; NULL: no claims, and waiting() counts.
	 */
	struct precedence *precedence;
	forward_ranked_fn waiting_ranked;
	forward_claim_fn room_claim;
	void *callbacks_ctx;
};

struct forward *forward_create(const struct forward_parts *parts);
/* Aborts all requests in progress. */
void forward_destroy(struct forward *forward);
/* Takes a reference. False when the version is lower than that in force; the
 * catalog is ignored then. */
bool forward_set_catalog(struct forward *forward, struct catalog *catalog);
/* Replaces the part plain_queue; requests in progress are not affected. */
void forward_set_plain_queue(struct forward *forward, enum plain_queue queue);
/* The catalog in force; NULL before the first. */
const struct catalog *forward_catalog(const struct forward *forward);
/* The process ends the requests in progress at that time. From now on new
 * requests that may take longer are refused: streams, and calls whose timeout
 * ends later. So are streams that wait and would not end by then. */
void forward_drain(struct forward *forward, int64_t until);
/* Ends all requests in progress: those that have not run are refused, the
 * others fail, or are aborted in the middle of their answers. The answers leave
 * in the next iterations of the event loop. */
void forward_stop(struct forward *forward);
/* A web_handler_fn with the forward as context. */
void forward_handle_request(void *ctx, struct web_request *request);
/* Merges a fact received from another instance. */
void forward_merge_fact(struct forward *forward,
			const struct backpressure_fact *fact);
/* The answer to the permit request with that id; late answers are ignored. */
void forward_permit_answered(struct forward *forward, uint64_t id,
			     uint64_t server, bool granted, int64_t retry_usec);
/* The answer of a dispatcher. A late grant is returned to it. */
void forward_call_answered(struct forward *forward, uint64_t dispatcher,
			   const struct call_answer *answer);
/* What this instance knows of the stream. */
void forward_origin_answer(const struct forward *forward,
			   const struct origin_query *query,
			   struct origin_answer *answer);
/* The answer of one instance to the query with that id; late answers are
 * ignored. */
void forward_origin_answered(struct forward *forward, uint64_t id,
			     uint64_t stream,
			     const struct origin_answer *answer);
/* The list of backend servers is known to be complete up to a later time. */
void forward_list_synced(struct forward *forward);
/* Requests in progress. */
uint32_t forward_pending(const struct forward *forward);
/* The number of these that wait for decode memory. */
uint32_t forward_waiting(const struct forward *forward);
/* Their numbers by rank; false when the catalog in force is not ranked. */
bool forward_waiting_ranks(const struct forward *forward,
			   uint32_t counts[PRECEDENCE_RANKS]);
/* Recent demand for an engine service, for the choice of roles. */
struct forward_demand {
	double prompt_tokens_per_s;
	uint32_t waiting;    /* for decode memory, now */
	double prefill_rate; /* tokens per second of a prefill server; 0:
				unknown */
};
void forward_demand(const struct forward *forward, uint64_t service,
		    struct forward_demand *demand);

#endif
