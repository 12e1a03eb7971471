/*
 * engine_cache.h - prefix cache of an engine stand-in, with delayed events
 *
 * DESCRIPTION
 *	An LRU cache of blocks of ENGINE_BLOCK_TOKENS tokens, keyed by their
 *	chained hashes. Of one prompt the last block is evicted first, since the
 *	others remain usable without it. Each change is an event that readers
 *	see lag_usec later. gap_percent of the events are lost, chosen at random
 *	from the seed, and only the newest CACHE_EVENTS_MAX are kept.
 */
#ifndef STANDIN_ENGINE_CACHE_H
#define STANDIN_ENGINE_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#define ENGINE_BLOCK_TOKENS 256u
#define CACHE_EVENTS_MAX 4096u

struct clock;
struct engine_cache;

struct cache_event {
	uint64_t number; /* rises by one per change, lost ones included */
	uint64_t block;
	int64_t at;  /* time of the change */
	bool stored; /* false: evicted */
};

struct engine_cache *engine_cache_create(const struct clock *clock,
					 uint32_t blocks, int64_t lag_usec,
					 uint32_t gap_percent, uint32_t seed);
void engine_cache_destroy(struct engine_cache *cache);
/* Returns the length of the cached prefix, in blocks. */
uint32_t engine_cache_find(const struct engine_cache *cache,
			   const uint64_t *blocks, uint32_t count);
/* Stores the blocks, or marks them as used if cached. drop_events drops the
 * events of these changes. */
void engine_cache_store(struct engine_cache *cache, const uint64_t *blocks,
			uint32_t count, bool drop_events);
/* Copies the due events numbered from or higher and returns how many. next is
 * the number to continue from; gap is set if some in between were lost. */
uint32_t engine_cache_events(struct engine_cache *cache, uint64_t from,
			     struct cache_event *events, uint32_t max,
			     uint64_t *next, bool *gap);

#endif
