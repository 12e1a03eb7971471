#include "common/frame.h"

#include <msgpack.h>
#include <string.h>

#include "common/error.h"
#include "common/unpack.h"

/* Maximum size in bytes of an array header, and of a channel with the header of
 * its payload. */
#define ARRAY_HEADER_MAX 5u
#define MESSAGE_HEADER_MAX 6u

struct frame_writer {
	msgpack_sbuffer body;
	uint32_t messages;
};

struct frame_reader {
	frame_fn fn;
	void *ctx;
	GByteArray *buffer;
	msgpack_unpacked unpacked;
	bool broken;
};

struct frame_writer *frame_writer_create(void)
{
	struct frame_writer *writer = g_new0(struct frame_writer, 1);

	msgpack_sbuffer_init(&writer->body);
	return writer;
}

void frame_writer_destroy(struct frame_writer *writer)
{
	if (!writer)
		return;
	msgpack_sbuffer_destroy(&writer->body);
	g_free(writer);
}

bool frame_writer_add(struct frame_writer *writer, enum channel channel,
		      const void *payload, size_t size, struct error *err)
{
	size_t max_size = FRAME_MAX - ARRAY_HEADER_MAX - MESSAGE_HEADER_MAX;
	msgpack_packer packer;

	if (channel < CHANNEL_HELLO || channel >= CHANNEL_MAX)
		return error_set(err, RESULT_BAD_MESSAGE,
				 "channel %d does not exist", (int)channel);
	if (writer->body.size > max_size || size > max_size - writer->body.size)
		return error_set(err, RESULT_TOO_LARGE,
				 "%zu bytes do not fit into a frame of %zu",
				 size, writer->body.size);
	msgpack_packer_init(&packer, &writer->body, msgpack_sbuffer_write);
	msgpack_pack_int(&packer, (int)channel);
	msgpack_pack_bin(&packer, size);
	if (size)
		msgpack_pack_bin_body(&packer, payload, size);
	writer->messages++;
	return true;
}

void frame_writer_take(struct frame_writer *writer, GByteArray *out)
{
	msgpack_sbuffer array;
	msgpack_packer packer;
	uint32_t length;

	if (!writer->messages)
		return;
	msgpack_sbuffer_init(&array);
	msgpack_packer_init(&packer, &array, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, (size_t)writer->messages * 2);
	length = GUINT32_TO_BE((uint32_t)(array.size + writer->body.size));
	g_byte_array_append(out, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(out, (const guint8 *)array.data, (guint)array.size);
	g_byte_array_append(out, (const guint8 *)writer->body.data,
			    (guint)writer->body.size);
	msgpack_sbuffer_destroy(&array);
	msgpack_sbuffer_clear(&writer->body);
	writer->messages = 0;
}

size_t frame_writer_pending(const struct frame_writer *writer)
{
	return writer->body.size;
}

struct frame_reader *frame_reader_create(frame_fn fn, void *ctx)
{
	struct frame_reader *reader = g_new0(struct frame_reader, 1);

	reader->fn = fn;
	reader->ctx = ctx;
	reader->buffer = g_byte_array_new();
	msgpack_unpacked_init(&reader->unpacked);
	return reader;
}

void frame_reader_destroy(struct frame_reader *reader)
{
	if (!reader)
		return;
	msgpack_unpacked_destroy(&reader->unpacked);
	g_byte_array_free(reader->buffer, TRUE);
	g_free(reader);
}

static bool message_valid(const msgpack_object *channel,
			  const msgpack_object *payload)
{
	return channel->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       channel->via.u64 >= CHANNEL_HELLO &&
	       channel->via.u64 < CHANNEL_MAX &&
	       payload->type == MSGPACK_OBJECT_BIN;
}

static bool body_valid(const msgpack_object *body)
{
	const msgpack_object_array *array = &body->via.array;

	if (body->type != MSGPACK_OBJECT_ARRAY || array->size % 2)
		return false;
	for (uint32_t i = 0; i < array->size; i += 2) {
		if (!message_valid(&array->ptr[i], &array->ptr[i + 1]))
			return false;
	}
	return true;
}

/* Delivers no message of a body unless the whole body is valid. */
static bool reader_body(struct frame_reader *reader, const char *data,
			size_t size, struct error *err)
{
	const msgpack_object_array *array;

	if (!message_unpack(&reader->unpacked, data, size, err))
		return error_prefix(err, "frame");
	if (!body_valid(&reader->unpacked.data))
		return error_set(err, RESULT_BAD_MESSAGE,
				 "frame of %zu bytes is malformed", size);
	array = &reader->unpacked.data.via.array;
	for (uint32_t i = 0; i < array->size; i += 2)
		reader->fn(reader->ctx, (enum channel)array->ptr[i].via.u64,
			   array->ptr[i + 1].via.bin.ptr,
			   array->ptr[i + 1].via.bin.size);
	return true;
}

/* Reads the frame at the offset. Returns the number of bytes consumed, 0 when
 * the frame is incomplete, or -1 when it is malformed. */
static int64_t reader_frame(struct frame_reader *reader, size_t offset,
			    struct error *err)
{
	const guint8 *data = reader->buffer->data + offset;
	size_t left = reader->buffer->len - offset;
	uint32_t length;

	if (left < FRAME_HEADER)
		return 0;
	memcpy(&length, data, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (!length || length > FRAME_MAX) {
		error_set(err, RESULT_BAD_MESSAGE,
			  "frame length %u is out of range", length);
		return -1;
	}
	if (left - FRAME_HEADER < length)
		return 0;
	if (!reader_body(reader, (const char *)data + FRAME_HEADER, length,
			 err))
		return -1;
	return (int64_t)FRAME_HEADER + length;
}

/* Frames over FRAME_MAX are refused, so a peer cannot make the buffer grow
 * beyond one frame and one read. */
bool frame_reader_feed(struct frame_reader *reader, const void *data,
		       size_t size, struct error *err)
{
	size_t offset = 0;
	int64_t used;

	if (reader->broken)
		return error_set(
			err, RESULT_BAD_MESSAGE,
			"an earlier frame of the stream was malformed");
	if (size)
		g_byte_array_append(reader->buffer, data, (guint)size);
	while ((used = reader_frame(reader, offset, err)) > 0)
		offset += (size_t)used;
	if (used < 0) {
		reader->broken = true;
		g_byte_array_set_size(reader->buffer, 0);
		return false;
	}
	if (offset)
		g_byte_array_remove_range(reader->buffer, 0, (guint)offset);
	return true;
}
