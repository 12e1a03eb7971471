/*
 * engine_cache.h - prefix cache of an engine stand-in, and its late events
 *
 * DESCRIPTION
 *	Holds the newest blocks of ENGINE_BLOCK_TOKENS tokens by their chained
 *	hashes and evicts the least recently used; of one prompt the last block
 *	goes first, since the others are of use without it. Each change is an
 *event that readers see lag_usec later; some are lost on the way (gap_percent
 *of them, by the seed), and old ones are forgotten.
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
	uint64_t number; /* rises by one for each change; lost ones skip */
	uint64_t block;
	int64_t at;
	bool stored; /* else evicted */
};

struct engine_cache *engine_cache_create(const struct clock *clock,
					 uint32_t blocks, int64_t lag_usec,
					 uint32_t gap_percent, uint32_t seed);
void engine_cache_destroy(struct engine_cache *cache);
/* How many of the first blocks are held. */
uint32_t engine_cache_find(const struct engine_cache *cache,
			   const uint64_t *blocks, uint32_t count);
/* Stores the blocks, or marks them as used; lose drops their events. */
void engine_cache_store(struct engine_cache *cache, const uint64_t *blocks,
			uint32_t count, bool lose);
/* Copies events numbered from on that are due; returns how many. next is the
 * number to ask for then; gap tells that some between were lost. */
uint32_t engine_cache_events(struct engine_cache *cache, uint64_t from,
			     struct cache_event *events, uint32_t max,
			     uint64_t *next, bool *gap);

#endif
