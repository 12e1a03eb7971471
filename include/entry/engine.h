/*
 * engine.h - client interface to the model engines
 *
 * DESCRIPTION
 *	One function each for prefill, decode, resume and cancel, with the
 *	messages of docs/PROTOCOLS.md. To support another engine, replace
 *	entry/engine.c. Each call ends with exactly one prefilled or done
 *	callback, unless engine_drop() came first.
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

/* One attempt of a request. */
struct engine_work {
	uint64_t request;
	uint32_t attempt;
	struct owner owner;
	uint32_t priority; /* lower values are served first */
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
	/* The engine has reserved memory for the stream of this name. */
	void (*stream)(void *ctx, const char *stream);
	/* The transfer of the prefill result is complete. */
	void (*started)(void *ctx);
	void (*token)(void *ctx, uint32_t offset, const char *text,
		      size_t size);
	/* code is RESULT_OK, RESULT_BACKEND_REFUSED (not run),
	 * RESULT_TRANSFER_FAILED, RESULT_STREAM_LOST (the stream may
	 * still exist), RESULT_NOT_FOUND or another 4xx code. */
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
/* Closes the connection without a callback. The engine's stream continues. */
void engine_drop(struct engine_call *call);

/* Ends a stream. confirmed: the engine answered that it no longer exists. */
typedef void (*engine_cancel_fn)(void *ctx, bool confirmed);
void engine_cancel(struct entry *entry, const char *address, const char *stream,
		   engine_cancel_fn fn, void *ctx);
/* Discards a prefill result that will not be fetched; best effort. */
void engine_forget(struct entry *entry, const char *address,
		   const char *handle);

#endif
