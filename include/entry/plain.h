/*
 * plain.h - the servers of plain services, as one instance uses them
 *
 * DESCRIPTION
 *	Internal to the request side of the daemon. A server is picked by two
 *	random choices on the calls that this instance has in flight (after
 *	Mitzenmacher, IEEE TPDS 2001), local ones first. When none is free,
 *	requests wait, urgent ones first. The place is given back with the
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
	PLAIN_UNKNOWN, /* nothing was learnt: the caller hung up */
};

struct plain *plain_create(struct entry *entry);
void plain_destroy(struct plain *plain);
/* Takes a place at a server; 0 when none is free. any tells whether there is
 * a server at all that is not leaving. */
uint64_t plain_acquire(struct plain *plain, const struct request *request,
		       bool *any);
/* Gives the place back, and starts what waits for one. */
void plain_release(struct plain *plain, uint64_t id, enum plain_result result);
/* Queues the request; false when the service's queue is full. */
bool plain_enqueue(struct plain *plain, struct request *request);
void plain_dequeue(struct plain *plain, struct request *request);
/* Starts what can be: a place or a server has become free. */
void plain_dispatch(struct plain *plain);
/* Claims where needed, then sends the request (entry/request_plain.c). */
void plain_start(struct request *request, uint64_t server);

#endif
