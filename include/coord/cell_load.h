/*
 * cell_load.h - how busy the cells of other data centres are, as facts
 *
 * DESCRIPTION
 *	The home of a cell spreads one byte, the level and the share of urgent
 *	requests that should go elsewhere, whenever it changes and at most once
 *	in CELL_LOAD_INTERVAL_USEC; nothing is sent while it stays. The fact's
 *key is made of the cell's identifier, its version is the time of the change.
 *	A cell that nobody has spoken of is free.
 */
#ifndef COORD_CELL_LOAD_H
#define COORD_CELL_LOAD_H

#include <stdint.h>

#include "common/clock.h"
#include "config/config.h"
#include "coord/member.h"

#define CELL_LOAD_INTERVAL_USEC (1 * USEC_PER_SEC)
/* A cell where an urgent request waits longer is busy, and a data centre that
 * is farther away, there and back, is no help to it. */
#define CELL_LOAD_BUSY_WAIT_USEC (100 * USEC_PER_MSEC)
/* Shares are counted in parts of this; all of them means that nothing can be
 * served in the cell. */
#define CELL_LOAD_SHARE_ALL 16u

enum cell_level {
	CELL_FREE, /* an urgent request starts at once */
	CELL_BUSY, /* urgent requests wait */
	CELL_FULL, /* refuses, or has no usable runner */
};

/* The cell that serves a model's service in a data centre. */
uint64_t cell_id(const struct config_service *service, const char *data_centre);
uint64_t cell_id_of_pools(const char *prefill_pool, const char *decode_pool,
			  const char *data_centre);
enum cell_level cell_load_get(const struct membership *membership,
			      uint64_t cell);
uint32_t cell_load_share(const struct membership *membership, uint64_t cell);
void cell_load_set(struct membership *membership, uint64_t cell,
		   enum cell_level level, uint32_t share, uint64_t version);
/* Whether the request is of those that leave: by its key, so that its repeats
 * take the same way. */
bool cell_load_redirects(uint32_t share, enum request_class class,
			 uint64_t key);
/* For a share that leaves a busy cell: the data centre that the key falls to,
 * by rendezvous weight among those near enough, when it is free; else NULL. So
 * a cell that is no longer free does not push its part on to the others. */
const char *cell_load_pick_by_key(const struct membership *membership,
				  const struct config *config,
				  const struct config_service *service,
				  uint64_t key);
/* For what cannot stay: the data centre, other than the own, with the lowest
 * level that is below own; one with no live member is passed over. NULL when
 * there is none. Ties go to the highest rendezvous weight for key, which
 * spreads the work. */
const char *cell_load_pick_least_loaded(const struct membership *membership,
					const struct config *config,
					const struct config_service *service,
					enum cell_level own, uint64_t key);

#endif
