/*
 * ledger_prefix.h - which runner is believed to have which prompt blocks cached
 *
 * DESCRIPTION
 *	Filled from what the home placed and from the runners' cache events,
 *	which are late and have gaps. Each runner keeps the PREFIX_RUNNER_MAX
 *	blocks stored last. Blocks are chained hashes, so a block stands for all
 *	before it; only the low 32 bits count.
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
/* Nothing is believed cached on the runner any more. */
void prefix_clear(struct prefix *prefix, uint32_t runner);
/* Sets depth[r], for each runner r below runners, to how many of the blocks,
 * from the first on, r has cached. */
void prefix_match(const struct prefix *prefix, const uint64_t *blocks,
		  uint32_t count, uint32_t *depth, uint32_t runners);

#endif
