/*
 * cell_load.h - the load of cells in all data centres, published as facts
 *
 * DESCRIPTION
 *	The home of a cell publishes one byte, the level and the share of urgent
 *	requests to redirect, when it changes and at most once in
 *	CELL_LOAD_INTERVAL_USEC. The fact's key is derived from the cell's
 *	identifier; its version is the time of the change. A cell without a fact
 *	is free.
 */
#ifndef COORD_CELL_LOAD_H
#define COORD_CELL_LOAD_H

#include <stdint.h>

#include "common/clock.h"
#include "config/config.h"
#include "coord/member.h"

#define CELL_LOAD_INTERVAL_USEC (1 * USEC_PER_SEC)
/* A cell where an urgent request waits longer than this is busy. A data centre
 * with a longer round trip is not used to relieve it. */
#define CELL_LOAD_BUSY_WAIT_USEC (100 * USEC_PER_MSEC)
/* A share is a fraction with this denominator. The whole share means that the
 * cell can serve no request. */
#define CELL_LOAD_SHARE_ALL 16u

enum cell_level {
	CELL_FREE, /* urgent requests start at once */
	CELL_BUSY, /* urgent requests wait */
	CELL_FULL, /* the queue is full, or a role has no usable runner */
};

/* The cell of a service in a data centre. */
uint64_t cell_id(const struct config_service *service, const char *data_centre);
uint64_t cell_id_of_pools(const char *prefill_pool, const char *decode_pool,
			  const char *data_centre);
enum cell_level cell_load_get(const struct membership *membership,
			      uint64_t cell);
uint32_t cell_load_share(const struct membership *membership, uint64_t cell);
void cell_load_set(struct membership *membership, uint64_t cell,
		   enum cell_level level, uint32_t share, uint64_t version);
/* Whether the request is in the share to redirect. Decided by its key, so that
 * a retry is treated alike. */
bool cell_load_redirects(uint32_t share, enum request_class class,
			 uint64_t key);
/* For the share that a busy cell redirects: the data centre with the highest
 * rendezvous weight for key among the live ones near enough. NULL if its cell
 * is not free: a cell that becomes busy must not shift its part to the others.
 */
const char *cell_load_pick_by_key(const struct membership *membership,
				  const struct config *config,
				  const struct config_service *service,
				  uint64_t key);
/* For requests that the local cell cannot serve: the remote data centre with a
 * live member and the lowest level, which must be below own; NULL if there is
 * none. Ties go to the highest rendezvous weight for key, which spreads the
 * load. */
const char *cell_load_pick_least_loaded(const struct membership *membership,
					const struct config *config,
					const struct config_service *service,
					enum cell_level own, uint64_t key);

#endif
