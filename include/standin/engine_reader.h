/*
 * engine_reader.h - the answers of an engine that are sent in pieces
 *
 * DESCRIPTION
 *	POST /decode and GET /streams/NAME: a reader writes a stream's tokens as
 *	lines of JSON until the stream ends, it is cut off, or it hangs up. The
 *	control call to the source of a KV cache belongs to the stream.
 */
#ifndef STANDIN_ENGINE_READER_H
#define STANDIN_ENGINE_READER_H

#include <stdint.h>

#include "standin/engine_model.h"

struct engine_model;
struct stream;
struct web_client;
struct web_request;

/* Answers a decode whose KV cache is fetched from source ("IP:port"). */
void reader_decode(struct engine_model *model, struct web_client *client,
		   const struct engine_job *job, const char *source,
		   const char *name, struct web_request *request);
/* Continues a stream at the offset. */
void reader_resume(struct stream *stream, uint32_t offset,
		   struct web_request *request);

#endif
