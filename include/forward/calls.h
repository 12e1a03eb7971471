/*
 * calls.h - what instances tell each other of plain calls
 *
 * DESCRIPTION
 *	The messages between an instance and the dispatcher of a plain service
 *	(sched/dispatch.h). Times are in microseconds. A lost message is a
 *	timeout for the caller, or for the lease of the grant.
 */
#ifndef FORWARD_CALLS_H
#define FORWARD_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/dispatch.h"

/* Services whose plain calls ask a dispatcher. */
enum plain_queue {
	PLAIN_QUEUE_OFF,
	PLAIN_QUEUE_ON,
	/* Those whose servers state a pace; all where the catalog is ranked. */
	PLAIN_QUEUE_AUTO,
};

/* A plain call that asks the dispatcher of its service for a server. */
struct call_request {
	uint64_t service;
	struct dispatch_call call; /* from: set by the receiver */
};

enum call_result {
	CALL_GRANTED,
	CALL_REFUSED,
	CALL_NOT_DISPATCHER, /* by the view of the instance that was asked */
	CALL_QUEUED,	     /* granted or refused by a further answer */
};

struct call_answer {
	uint64_t id;
	uint64_t service;
	enum call_result result;
	uint64_t server; /* if granted */
	/* If refused, until a retry; if granted, time in the queue; if queued,
	 * expected time there. */
	int64_t usec;
};

struct call_done {
	uint64_t service;
	uint64_t server;	 /* 0: none was granted */
	struct dispatch_end end; /* from: set by the receiver */
};

#endif
