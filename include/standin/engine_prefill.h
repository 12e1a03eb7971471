/*
 * engine_prefill.h - prompts that an engine computes, and results it holds
 *
 * DESCRIPTION
 *	Prompts wait in order of priority, then arrival; one computes at a time,
 *	for (tokens not cached) / rate. The result is held until it is fetched,
 *	dropped, or too old. Tokens computed for a result that is never fetched,
 *	for a prompt cancelled midway, or for a request that already had a
 *	result fetched count as wasted, each once.
 */
#ifndef STANDIN_ENGINE_PREFILL_H
#define STANDIN_ENGINE_PREFILL_H

#include "standin/engine_link.h"
#include "standin/engine_model.h"

enum prefill_state {
	PREFILL_WAITING,
	PREFILL_COMPUTING,
	PREFILL_HELD,
};

/* The prompt has been computed; called once unless cancelled before. */
typedef void (*prefill_fn)(void *ctx, const struct prefill *prefill);

struct prefill {
	struct engine_model *model;
	uint64_t handle;
	enum prefill_state state;
	struct engine_job job;
	struct engine_kv kv;
	uint64_t *blocks;
	uint32_t block_count;
	uint32_t cached;   /* tokens */
	uint32_t computed; /* tokens; the whole need while computing */
	int64_t began_at;
	int64_t takes_usec;
	struct timer hold_timer;
	uint32_t fetches; /* in progress */
	bool fetched;
	bool expired;
	prefill_fn fn;
	void *ctx;
};

struct fetch;
typedef void (*fetch_fn)(void *ctx, const struct engine_kv *kv);

/* Called by engine_create() and engine_destroy(). */
void prefill_setup(struct engine_model *model);
void prefill_teardown(struct engine_model *model);

/* NULL when refused, with the reason. kv->bytes is worked out here. */
struct prefill *prefill_start(struct engine_model *model,
			      const struct engine_job *job,
			      const struct engine_kv *kv,
			      const uint64_t *blocks, uint32_t block_count,
			      prefill_fn fn, void *ctx,
			      enum engine_refusal *refusal);
/* Ends it in any state; wastes what was computed and not fetched. False when
 * it is already gone. */
bool prefill_cancel(struct engine_model *model, uint64_t handle);
uint64_t prefill_queue_tokens(const struct engine_model *model);

/* Sends a held result over the link; NULL when there is none of that name.
 * fn is called once when all is sent, unless cancelled before. */
struct fetch *fetch_start(struct engine_model *model, const char *name,
			  fetch_fn fn, void *ctx);
void fetch_cancel(struct fetch *fetch);

#endif
