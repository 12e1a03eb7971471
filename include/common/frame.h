/*
 * frame.h - length-prefixed frames of messages between instances
 *
 * DESCRIPTION
 *	A frame is a 4-byte big-endian length followed by that many bytes, at
 *	most FRAME_MAX. The body is one MessagePack array
 *	[channel, payload, channel, payload, ...], so that several messages to
 *	one peer share a frame. The module that owns a channel encodes its
 *	payloads, also as MessagePack.
 */
#ifndef COMMON_FRAME_H
#define COMMON_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FRAME_MAX (1u << 20)
#define FRAME_HEADER 4u

struct error;

enum channel {
	CHANNEL_HELLO = 1,
	CHANNEL_MEMBER,
	CHANNEL_LEDGER,
	CHANNEL_CONFIG,
	CHANNEL_CLAIM,
	CHANNEL_DIRECTORY,
	CHANNEL_MAX,
};

typedef void (*frame_fn)(void *ctx, enum channel channel, const void *payload,
			 size_t size);

struct frame_writer;
struct frame_reader;

struct frame_writer *frame_writer_create(void);
void frame_writer_destroy(struct frame_writer *writer);
/* Adds a message to the open frame. Returns false with RESULT_TOO_LARGE when
 * the frame would exceed FRAME_MAX, and with RESULT_BAD_MESSAGE for a channel
 * that does not exist. */
bool frame_writer_add(struct frame_writer *writer, enum channel channel,
		      const void *payload, size_t size, struct error *err);
/* Closes the open frame and appends it to out; does nothing when no message was
 * added. */
void frame_writer_take(struct frame_writer *writer, GByteArray *out);
size_t frame_writer_pending(const struct frame_writer *writer);

struct frame_reader *frame_reader_create(frame_fn fn, void *ctx);
void frame_reader_destroy(struct frame_reader *reader);
/* Accepts any number of bytes and calls fn for each message of a complete
 * frame. Returns false with RESULT_BAD_MESSAGE when the bytes are malformed;
 * the caller must then close the connection. */
bool frame_reader_feed(struct frame_reader *reader, const void *data,
		       size_t size, struct error *err);

#endif
