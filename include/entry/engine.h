/*
 * engine.h - the adapter towards model engines
 *
 * DESCRIPTION
 *	One call each for prefill, decode, resume and cancel, spoken as in
 *	docs/PROTOCOLS.md. To meet another engine, replace entry/engine.c. Each
 *	call ends by exactly one done callback unless it was dropped first.
 */
#ifndef ENTRY_ENGINE_H
#define ENTRY_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/id.h"
#include "coord/ledger.h"

struct entry;
struct engine_call;

/* What the engine is asked to work on. */
struct engine_work {
	uint64_t request;
	uint32_t attempt;
	struct owner owner;
	uint32_t priority; /* lower goes first */
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	uint32_t output_from;
	const char *prompt;
	size_t prompt_size;
	const uint64_t *blocks;
	uint32_t block_count;
};

struct engine_prefilled {
	char handle[LEDGER_STREAM_MAX];
	uint32_t cached_tokens;
	uint32_t computed_tokens;
	uint32_t hold_ms;
};

struct engine_ops {
	void (*prefilled)(void *ctx, const struct engine_prefilled *result);
	/* Memory is reserved under this name. */
	void (*stream)(void *ctx, const char *stream);
	/* The transfer is done. */
	void (*started)(void *ctx);
	void (*token)(void *ctx, uint32_t offset, const char *text,
		      size_t size);
	/* code is RESULT_OK, RESULT_BACKEND_REFUSED (nothing was run),
	 * RESULT_TRANSFER_FAILED, RESULT_STREAM_LOST (the stream may live), or
	 * another of the 4xx. */
	void (*done)(void *ctx, enum result_code code, const char *text);
};

struct engine_call *engine_prefill(struct entry *entry, const char *address,
				   const struct engine_work *work,
				   const struct engine_ops *ops, void *ctx);
struct engine_call *engine_decode(struct entry *entry, const char *address,
				  const struct engine_work *work,
				  const char *source, const char *handle,
				  const struct engine_ops *ops, void *ctx);
struct engine_call *engine_resume(struct entry *entry, const char *address,
				  const char *stream, uint32_t offset,
				  const struct engine_ops *ops, void *ctx);
/* Hangs up; no callback follows. Does not end the stream on the engine. */
void engine_drop(struct engine_call *call);

/* Ends a stream; fn tells whether the engine has confirmed. */
typedef void (*engine_cancel_fn)(void *ctx, bool confirmed);
void engine_cancel(struct entry *entry, const char *address, const char *stream,
		   engine_cancel_fn fn, void *ctx);
/* Drops a prefill result that will not be fetched; best effort. */
void engine_forget(struct entry *entry, const char *address,
		   const char *handle);

#endif
