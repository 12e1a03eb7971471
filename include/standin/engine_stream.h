/*
 * engine_stream.h - streams of tokens that an engine decodes
 *
 * DESCRIPTION
 *	A stream holds its pieces of memory from stream_reserve() until it was
 *	read to its end, cancelled, lost, or without reader for too long. Once
 *	the KV cache is there it gets one token a step, together with all other
 *	streams. A reader is told of tokens by their offsets; the newest reader
 *	takes over from a former one.
 */
#ifndef STANDIN_ENGINE_STREAM_H
#define STANDIN_ENGINE_STREAM_H

#include "standin/engine_link.h"
#include "standin/engine_model.h"

struct stream;

struct stream_ops {
	void (*started)(void *ctx);
	/* Tokens from..to-1 are there. False when the reader cannot take them
	 * now: they are offered again after the next step. */
	bool (*tokens)(void *ctx, const struct stream *stream, uint32_t from,
		       uint32_t to);
	/* The last token was told; nothing follows. */
	void (*ended)(void *ctx, const char *reason, uint32_t tokens);
	/* The reader is cut off; text is NULL, or why the transfer failed. */
	void (*cut)(void *ctx, const char *text);
};

/* Called when the stream goes before stream_fetched(). */
typedef void (*stream_gone_fn)(void *ctx);

struct stream {
	struct engine_model *model;
	uint64_t handle;
	char name[ENGINE_NAME_SIZE];
	struct engine_job job;
	uint32_t pieces;
	uint64_t prompt;
	uint32_t length; /* offset of the end, once fetched */
	uint32_t offset; /* of the next token to compute */
	bool fetched;	 /* the source has sent it all */
	bool moved;	 /* our own link has carried it all */
	bool started;	 /* both */
	bool in_step;	 /* gets a token at the end of the present step */
	bool done;	 /* all is computed */
	struct transfer transfer;
	struct timer hold_timer;
	stream_gone_fn gone;
	void *gone_ctx;
	/* The reader. */
	const struct stream_ops *ops; /* NULL: none */
	void *ctx;
	bool told_started;
	uint32_t sent;	    /* offset of the next token to tell */
	uint32_t delivered; /* tokens told to this reader */
};

/* Called by engine_create() and engine_destroy(). */
void stream_setup(struct engine_model *model);
void stream_teardown(struct engine_model *model);

/* Reserves memory and begins the transfer on our own link. NULL when refused,
 * with the reason. gone may run any time from then until stream_fetched(). */
struct stream *stream_reserve(struct engine_model *model,
			      const struct engine_job *job, stream_gone_fn gone,
			      void *gone_ctx, enum engine_refusal *refusal);
/* The source has sent everything. */
void stream_fetched(struct stream *stream, const struct engine_kv *kv);
/* The source cannot send: cuts the reader off with the text and frees. */
void stream_fail(struct stream *stream, const char *text);

struct stream *stream_find(struct engine_model *model, const char *name);
/* Gives the stream a reader from an offset on; a former one is cut off. first
 * is whether it is told of the start as well. False when tokens before those
 * that the stream computes are asked for. May free the stream. */
bool stream_attach(struct stream *stream, uint32_t offset, bool first,
		   const struct stream_ops *ops, void *ctx);
/* The reader is gone by itself. One that was cut off has no part any more. */
void stream_detach(struct stream *stream);
/* Frees at once; returns the pieces. */
uint32_t stream_cancel(struct stream *stream);
/* Streams whose transfer is not done. */
uint32_t stream_count_waiting(const struct engine_model *model);
/* Computed tokens a second and stream at the present size of the batch. */
double stream_rate(const struct engine_model *model, uint32_t batch);

#endif
