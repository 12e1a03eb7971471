/*
 * compress.h - messages that may be compressed, in the format of zlib
 *
 * DESCRIPTION
 *	A message is told from a compressed one by its first byte: no
 *	MessagePack array or map begins with that of zlib's format (RFC 1950).
 *
 * RETURN VALUE
 *	message_expand() returns the bytes, to be freed with
 *	g_byte_array_unref(), or NULL with RESULT_BAD_MESSAGE when they cannot
 *	be read or are more than most.
 */
#ifndef COMMON_COMPRESS_H
#define COMMON_COMPRESS_H

#include <glib.h>
#include <stddef.h>

struct error;

/* Compresses the message in place when it has that many bytes or more. */
void message_compress(GByteArray *message, size_t least);
GByteArray *message_expand(const void *data, size_t size, size_t most,
			   struct error *err);

#endif
