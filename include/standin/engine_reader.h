/*
 * engine_reader.h - streamed HTTP responses of an engine
 *
 * DESCRIPTION
 *	POST /decode and GET /streams/NAME: a reader writes a stream's tokens as
 *	lines of JSON until the stream ends, the engine disconnects the reader
 *	or the caller closes the connection. The call that fetches the KV cache
 *	from its source is owned by the stream.
 */
#ifndef STANDIN_ENGINE_READER_H
#define STANDIN_ENGINE_READER_H

#include <stdint.h>

#include "standin/engine_model.h"

struct engine_model;
struct stream;
struct web_client;
struct web_request;

/* Answers a decode. The KV cache is fetched from source ("IP:port"). */
void reader_decode(struct engine_model *model, struct web_client *client,
		   const struct engine_job *job, const char *source,
		   const char *name, struct web_request *request);
/* Attaches the request as the stream's reader from the offset on. */
void reader_resume(struct stream *stream, uint32_t offset,
		   struct web_request *request);

#endif
