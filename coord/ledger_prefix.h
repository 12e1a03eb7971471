/*
 * ledger_prefix.h - index of the prompt blocks that runners have cached
 *
 * DESCRIPTION
 *	The index is approximate. It is filled from the home's placements and
 *	from the runners' cache events, which arrive late and with gaps. For
 *	each runner it holds the PREFIX_RUNNER_MAX blocks stored last. A block
 *	is a chained hash, which covers all blocks before it; only the low 32
 *	bits are compared.
 */
#ifndef COORD_LEDGER_PREFIX_H
#define COORD_LEDGER_PREFIX_H

#include <stdbool.h>
#include <stdint.h>

#define PREFIX_RUNNER_MAX 16384u

struct prefix;

struct prefix *prefix_create(void);
void prefix_destroy(struct prefix *prefix);
void prefix_store(struct prefix *prefix, uint32_t runner, uint64_t block);
void prefix_drop(struct prefix *prefix, uint32_t runner, uint64_t block);
/* Drops all blocks of the runner. */
void prefix_clear(struct prefix *prefix, uint32_t runner);
/* Sets depth[r], for each runner r below runners, to the number of leading
 * blocks that r has cached. */
void prefix_match(const struct prefix *prefix, const uint64_t *blocks,
		  uint32_t count, uint32_t *depth, uint32_t runners);

#endif
