/*
 * compress.h - optional compression of messages in the zlib format
 *
 * DESCRIPTION
 *	The first byte tells whether a message is compressed: no MessagePack
 *	array or map begins with the first byte of the zlib format (RFC 1950).
 *
 * RETURN VALUE
 *	message_decompress() returns the decompressed bytes, to be freed with
 *	g_byte_array_unref(), or NULL with RESULT_BAD_MESSAGE when the data is
 *	corrupt or decompresses to more than max_size bytes.
 */
#ifndef COMMON_COMPRESS_H
#define COMMON_COMPRESS_H

#include <glib.h>
#include <stddef.h>

struct error;

/* Compresses the message in place when it has at least min_size bytes. */
void message_compress(GByteArray *message, size_t min_size);
/* Data that is not compressed is copied unchanged, whatever its size. */
GByteArray *message_decompress(const void *data, size_t size, size_t max_size,
			       struct error *err);

#endif
