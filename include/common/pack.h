/*
 * pack.h - MessagePack encoding into byte arrays
 *
 * DESCRIPTION
 *	The counterpart of unpack.h; messages are built in a GByteArray.
 */
#ifndef COMMON_PACK_H
#define COMMON_PACK_H

#include <msgpack.h>
#include <stddef.h>

/* Appends to the GByteArray out; the write callback for msgpack_packer_init().
 */
int pack_append(void *out, const char *data, size_t size);
void pack_text(msgpack_packer *packer, const char *text);

#endif
