/*
 * engine_prefill.h - prefill queue and held results of an engine
 *
 * DESCRIPTION
 *	Prompts are queued by priority, then by arrival. One is computed at a
 *	time, which takes (tokens not cached) / rate. The result is held until
 *	it is fetched, cancelled or expired. Tokens count as wasted, each once,
 *	if the result is never fetched, the prompt is cancelled while it is
 *	computed, or another result of the same request was fetched before.
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

/* Called once the prompt is computed, unless it is cancelled before. */
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
	uint32_t computed; /* tokens; PREFILL_COMPUTING: all not cached */
	int64_t compute_started_at;
	int64_t compute_usec;
	struct timer hold_timer;
	uint32_t fetches; /* number in progress */
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

/* Returns NULL and sets refusal if refused. Ignores kv->bytes, which follows
 * from the number of tokens. */
struct prefill *prefill_start(struct engine_model *model,
			      const struct engine_job *job,
			      const struct engine_kv *kv,
			      const uint64_t *blocks, uint32_t block_count,
			      prefill_fn fn, void *ctx,
			      enum engine_refusal *refusal);
/* Cancels a prefill in any state. Computed tokens that were not fetched count
 * as wasted. Returns false if it no longer exists. */
bool prefill_cancel(struct engine_model *model, uint64_t handle);
uint64_t prefill_queue_tokens(const struct engine_model *model);

/* Sends a held result over the link. Returns NULL if there is none of that
 * name. fn is called once when all is sent, unless it is cancelled before. */
struct fetch *fetch_start(struct engine_model *model, const char *name,
			  fetch_fn fn, void *ctx);
void fetch_cancel(struct fetch *fetch);

#endif
