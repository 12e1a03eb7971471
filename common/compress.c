#include "common/compress.h"

#include <stdbool.h>
#include <string.h>

#include <zlib.h>

#include "common/error.h"
#include "common/log.h"

/* The first byte of zlib's format with a window of 32 KiB. */
#define COMPRESSED_MARK 0x78
#define EXPAND_STEP (64u << 10)

void message_compress(GByteArray *message, size_t least)
{
	uLongf size = compressBound(message->len);
	Bytef *out;

	if (message->len < least)
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

static bool stream_expand(z_stream *stream, GByteArray *out, size_t most)
{
	int status = Z_OK;

	while (status == Z_OK && out->len <= most) {
		guint before = out->len;

		g_byte_array_set_size(out, before + EXPAND_STEP);
		stream->next_out = out->data + before;
		stream->avail_out = EXPAND_STEP;
		status = inflate(stream, Z_NO_FLUSH);
		g_byte_array_set_size(out, out->len - stream->avail_out);
	}
	return status == Z_STREAM_END && stream->avail_in == 0 &&
	       out->len <= most;
}

GByteArray *message_expand(const void *data, size_t size, size_t most,
			   struct error *err)
{
	GByteArray *out = g_byte_array_new();
	z_stream stream = {
		.next_in = (Bytef *)data,
		.avail_in = (uInt)size,
	};
	bool good;

	if (size == 0 || *(const guint8 *)data != COMPRESSED_MARK) {
		g_byte_array_append(out, data, (guint)size);
		return out;
	}
	good = inflateInit(&stream) == Z_OK &&
	       stream_expand(&stream, out, most);
	inflateEnd(&stream);
	if (good)
		return out;
	g_byte_array_unref(out);
	error_set(err, RESULT_BAD_MESSAGE,
		  "compressed message cannot be read, or is too large");
	return NULL;
}
