/*
 * engine_link.h - a network link of limited rate with fair sharing
 *
 * DESCRIPTION
 *	Each of n transfers in progress gets one n-th of the rate. A stalled
 *	transfer uses no bandwidth and never completes.
 */
#ifndef STANDIN_ENGINE_LINK_H
#define STANDIN_ENGINE_LINK_H

#include <stdbool.h>
#include <stdint.h>

struct clock;
struct engine_link;

typedef void (*transfer_fn)(void *ctx);

/* Embedded in its owner. The fields are private. */
struct transfer {
	double left; /* bytes */
	bool stalled;
	bool running;
	transfer_fn fn;
	void *ctx;
};

struct engine_link *engine_link_create(struct clock *clock, double bytes_per_s);
void engine_link_destroy(struct engine_link *link);
void engine_link_start(struct engine_link *link, struct transfer *transfer,
		       double bytes, bool stalled, transfer_fn fn, void *ctx);
/* Does nothing if the transfer is not running. */
void engine_link_stop(struct engine_link *link, struct transfer *transfer);

#endif
