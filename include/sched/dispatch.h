/*
 * dispatch.h - one queue for the plain calls of a service
 *
 * DESCRIPTION
 *	Holds the calls of all instances that wait for a server of one service,
 *	and grants each of them a server when a slot becomes free there. It
 *	handles calls of tens of milliseconds at any demand; above the capacity
 *	it refuses those that can no longer be in time.
 *
 *	A server has at most its slots plus DISPATCH_EXTRA calls outstanding,
 *	that is, granted and not done. The next free slot goes to the call of
 *	the highest urgency (the lowest number); among these, to the
 *	organisation with the fewest recent grants; then to the call that can
 *	wait least. The server is the one with the earliest expected completion,
 *	see struct dispatch_terms.
 *
 *	A call that cannot complete by its target, given the calls queued before
 *	it, is refused as soon as that is certain. If no other call waits, one
 *	such call per server is granted all the same.
 *
 *	A grant ends with dispatch_done() or when its lease expires. What a
 *	server states beyond the grants of this queue counts as in progress for
 *	DISPATCH_STATED_USEC, since instances that could not reach the
 *	dispatcher, or that have another one, send there as well.
 *
 *	Calls are identified by the instance and its id. Times are in
 *	microseconds and passed in. Callbacks are called from dispatch_done(),
 *	dispatch_tick() and dispatch_flush() only and must not call the queue.
 */
#ifndef SCHED_DISPATCH_H
#define SCHED_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/server_load.h"

#define DISPATCH_AVOID_MAX 4u
/* Calls outstanding at a server beyond its slots. Covers the round trip of an
 * end and the next grant, 4 ms of a call of 30 ms. */
#define DISPATCH_EXTRA 1u
/* Longest time that a call waits in the queue, and the part of its target. A
 * caller that waits longer takes the dispatcher for unreachable. */
#define DISPATCH_WAIT_USEC INT64_C(90000)
#define DISPATCH_WAIT_PART 0.45
#define DISPATCH_STATED_USEC INT64_C(100000)
/* Lease of a grant, in mean times of a call at the server's pace, and its lower
 * bound. */
#define DISPATCH_LEASE_MEANS 4.0
#define DISPATCH_LEASE_MIN_USEC INT64_C(200000)
/* Calls in the queue. */
#define DISPATCH_QUEUE_MAX 8192u

struct dispatch;

struct dispatch_call {
	uint64_t from; /* instance; any number that identifies it */
	uint64_t id;   /* chosen by the instance */
	uint32_t urgency;
	uint64_t organisation;		    /* 0: none */
	int64_t target_usec;		    /* left until the target */
	int64_t limit_usec;		    /* left until the caller gives up */
	uint64_t avoid[DISPATCH_AVOID_MAX]; /* servers */
	uint32_t avoid_count;
};

/* The end of a call, or of a wait. */
struct dispatch_end {
	uint64_t from;
	uint64_t id;
	int64_t usec; /* from the send to the answer; 0: not measured */
	struct server_load load; /* as in the server's answer */
	bool refused;		 /* the server did not run it */
};

enum dispatch_result {
	DISPATCH_GRANTED,
	DISPATCH_REFUSED,
	DISPATCH_WAITING
};

/* The expected completion of a call at one server. */
struct dispatch_terms {
	uint64_t server;
	uint32_t outstanding; /* grants */
	uint32_t others;      /* stated beyond the grants */
	uint32_t slots;
	double mean_usec; /* of a call at the usual pace */
	double pace;	  /* 1.0: usual, 2.0: twice as long */
	double wait_usec; /* until one of its slots is free */
	double run_usec;
};

struct dispatch_answer {
	enum dispatch_result result;
	uint64_t server;	     /* if granted */
	int64_t usec;		     /* if refused: until a retry; if waiting:
					expected wait; if granted: waited */
	struct dispatch_terms terms; /* if granted */
};

struct dispatch_ops {
	/* The call has left the queue: granted or refused. */
	void (*answered)(void *ctx, const struct dispatch_call *call,
			 const struct dispatch_answer *answer);
	/* The call has left the queue by dispatch_flush(). */
	void (*returned)(void *ctx, const struct dispatch_call *call);
	/* A number in [0, 1). */
	double (*random)(void *ctx);
};

struct dispatch *dispatch_create(const struct dispatch_ops *ops, void *ctx);
void dispatch_destroy(struct dispatch *dispatch);
/* Adds or updates a server; usable: it may be sent calls now. */
void dispatch_set_server(struct dispatch *dispatch, uint64_t server,
			 uint32_t slots, bool usable);
/* Servers not set since the last sweep are no longer usable, and are forgotten
 * when their grants have ended. */
void dispatch_sweep(struct dispatch *dispatch);
/* Fills in the answer and returns its result; after DISPATCH_WAITING, one of
 * the callbacks follows. A call that is known already is answered as before. */
enum dispatch_result dispatch_request(struct dispatch *dispatch, int64_t now,
				      const struct dispatch_call *call,
				      struct dispatch_answer *answer);
/* Ends a call or takes it from the queue. An unknown one is ignored. */
void dispatch_done(struct dispatch *dispatch, int64_t now,
		   const struct dispatch_end *end);
/* Expires leases and refuses calls that can no longer be in time. To be called
 * every few milliseconds while calls wait. */
void dispatch_tick(struct dispatch *dispatch, int64_t now);
/* Returns all calls in the queue to their callers. */
void dispatch_flush(struct dispatch *dispatch);
uint32_t dispatch_queued(const struct dispatch *dispatch);
uint32_t dispatch_outstanding(const struct dispatch *dispatch);

#endif
