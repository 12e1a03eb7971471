#include "common/compress.h"

#include <stdbool.h>
#include <string.h>

#include <zlib.h>

#include "common/error.h"
#include "common/log.h"

/* First byte of the zlib format with a window of 32 KiB (RFC 1950). */
#define ZLIB_FIRST_BYTE 0x78
#define INFLATE_CHUNK_BYTES (64u << 10)

void message_compress(GByteArray *message, size_t min_size)
{
	uLongf size = compressBound(message->len);
	Bytef *out;

	if (message->len < min_size)
		return;
	out = g_malloc(size);
	if (compress2(out, &size, message->data, message->len, Z_BEST_SPEED) !=
	    Z_OK) {
		log_event(LOG_WARNING, "compression_failed",
			  LOG_D("bytes", message->len));
		g_free(out);
		return;
	}
	g_byte_array_set_size(message, 0);
	g_byte_array_append(message, out, (guint)size);
	g_free(out);
}

static bool stream_inflate(z_stream *stream, GByteArray *out, size_t max_size)
{
	int status = Z_OK;

	while (status == Z_OK && out->len <= max_size) {
		guint before = out->len;

		g_byte_array_set_size(out, before + INFLATE_CHUNK_BYTES);
		stream->next_out = out->data + before;
		stream->avail_out = INFLATE_CHUNK_BYTES;
		status = inflate(stream, Z_NO_FLUSH);
		g_byte_array_set_size(out, out->len - stream->avail_out);
	}
	return status == Z_STREAM_END && stream->avail_in == 0 &&
	       out->len <= max_size;
}

GByteArray *message_decompress(const void *data, size_t size, size_t max_size,
			       struct error *err)
{
	GByteArray *out = g_byte_array_new();
	z_stream stream = {
		.next_in = (Bytef *)data,
		.avail_in = (uInt)size,
	};
	bool valid;

	if (size == 0 || *(const guint8 *)data != ZLIB_FIRST_BYTE) {
		g_byte_array_append(out, data, (guint)size);
		return out;
	}
	valid = inflateInit(&stream) == Z_OK &&
		stream_inflate(&stream, out, max_size);
	inflateEnd(&stream);
	if (valid)
		return out;
	g_byte_array_unref(out);
	error_set(err, RESULT_BAD_MESSAGE,
		  "compressed message cannot be read, or is too large");
	return NULL;
}
