/*
 * engine_stream.h - token streams of an engine in the decode role
 *
 * DESCRIPTION
 *	A stream holds its pieces of memory from stream_reserve() until it is
 *	read to its end, cancelled or lost, or without a reader for
 *	resume_usec. Once its KV cache is complete it gets one token in each
 *	step of the batch. A reader receives tokens by their offsets. A new
 *	reader replaces the former one.
 */
#ifndef STANDIN_ENGINE_STREAM_H
#define STANDIN_ENGINE_STREAM_H

#include "standin/engine_link.h"
#include "standin/engine_model.h"

struct stream;

struct stream_ops {
	void (*started)(void *ctx);
	/* Delivers tokens from..to-1. Returns false if the reader cannot take
	 * them now. They are offered again after the next step. */
	bool (*tokens)(void *ctx, const struct stream *stream, uint32_t from,
		       uint32_t to);
	/* The last token was delivered. No more calls follow. */
	void (*ended)(void *ctx, const char *reason, uint32_t tokens);
	/* The engine disconnects the reader. text is the reason if the transfer
	 * failed, else NULL. No more calls follow. */
	void (*disconnected)(void *ctx, const char *text);
};

/* Called if the stream is freed before stream_fetched(): the fetch from the
 * source is to be aborted. */
typedef void (*fetch_abort_fn)(void *ctx);

struct stream {
	struct engine_model *model;
	uint64_t handle;
	char name[ENGINE_NAME_SIZE];
	struct engine_job job;
	uint32_t pieces;
	uint64_t prompt;
	uint32_t length; /* offset of the end; set once fetched */
	uint32_t offset; /* offset of the next token to compute */
	bool fetched;	 /* the source has sent the whole KV cache */
	bool link_done;	 /* the KV cache has passed this engine's link */
	bool started;	 /* fetched and link_done */
	bool in_batch;	 /* gets a token at the end of the current step */
	bool done;	 /* all tokens are computed */
	struct transfer transfer;
	struct timer hold_timer;
	fetch_abort_fn abort_fetch;
	void *abort_ctx;
	/* The reader. */
	const struct stream_ops *ops; /* NULL: no reader */
	void *ctx;
	bool start_sent;
	uint32_t deliver_offset; /* offset of the next token to deliver */
	uint32_t delivered;	 /* tokens delivered to this reader */
};

/* Called by engine_create() and engine_destroy(). */
void stream_setup(struct engine_model *model);
void stream_teardown(struct engine_model *model);

/* Reserves memory and starts the transfer on this engine's link. Returns NULL
 * and sets refusal if refused. abort_fetch may be called until
 * stream_fetched(). */
struct stream *stream_reserve(struct engine_model *model,
			      const struct engine_job *job,
			      fetch_abort_fn abort_fetch, void *abort_ctx,
			      enum engine_refusal *refusal);
/* The source has sent the whole KV cache. */
void stream_fetched(struct stream *stream, const struct engine_kv *kv);
/* The source failed to send: disconnects the reader with the text and frees the
 * stream. */
void stream_fail(struct stream *stream, const char *text);

struct stream *stream_find(struct engine_model *model, const char *name);
/* Attaches a reader at an offset and disconnects the former one. send_start
 * makes the reader receive started() as well. Returns false if the offset is
 * before the stream's first token. May free the stream. */
bool stream_attach(struct stream *stream, uint32_t offset, bool send_start,
		   const struct stream_ops *ops, void *ctx);
/* The reader has closed its connection. Does nothing if it was disconnected
 * before. */
void stream_detach(struct stream *stream);
/* Frees the stream and returns the number of pieces it held. */
uint32_t stream_cancel(struct stream *stream);
/* Number of streams whose KV cache is not complete. */
uint32_t stream_count_waiting(const struct engine_model *model);
/* Tokens per second of each stream in a batch of that size. */
double stream_rate(const struct engine_model *model, uint32_t batch);

#endif
