/*
 * plain.h - use of the servers of plain services by one instance
 *
 * DESCRIPTION
 *	Internal to the request side of the daemon. A server is chosen by the
 *	power of two choices on the calls that this instance has in flight
 *	(Mitzenmacher, IEEE TPDS 2001), local servers first. When none is free,
 *	requests are queued, urgent ones first. The slot is released with the
 *	result of the call.
 */
#ifndef ENTRY_PLAIN_H
#define ENTRY_PLAIN_H

#include <stdbool.h>
#include <stdint.h>

struct entry;
struct plain;
struct request;

enum plain_result {
	PLAIN_SUCCESS,
	PLAIN_FAILURE,
	PLAIN_UNKNOWN, /* no verdict, as when the caller hung up */
};

struct plain *plain_create(struct entry *entry);
void plain_destroy(struct plain *plain);
/* Takes a slot at a server and returns its id, 0 when none is free. any is set
 * to whether the service has a server that is not leaving. */
uint64_t plain_acquire(struct plain *plain, const struct request *request,
		       bool *any);
/* Releases the slot and dispatches queued requests. */
void plain_release(struct plain *plain, uint64_t id, enum plain_result result);
/* Queues the request; false when the service's queue is full. */
bool plain_enqueue(struct plain *plain, struct request *request);
void plain_dequeue(struct plain *plain, struct request *request);
/* Starts queued requests for which a server is free. Call after a change of
 * servers. */
void plain_dispatch(struct plain *plain);
/* Claims the key if needed, then sends the request (entry/request_plain.c). */
void plain_start(struct request *request, uint64_t server);

#endif
