/*
 * unpack.h - validation and decoding of MessagePack from peers
 *
 * DESCRIPTION
 *	msgpack-c allocates memory for the count in an array or map header
 *	before it has read the elements, so five bytes can request 100 GB.
 *	Untrusted bytes are therefore validated first: every length and count
 *	must fit into the bytes that follow. Decoding then allocates at most
 *	about 24 bytes per byte of input.
 */
#ifndef COMMON_UNPACK_H
#define COMMON_UNPACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

struct error;

/* Whether data is exactly one value whose lengths and counts, taken together,
 * fit into it. */
bool message_validate(const void *data, size_t size);
/* Decodes exactly one value that takes up all of data; returns false with
 * RESULT_BAD_MESSAGE for anything else. The caller initialises result with
 * msgpack_unpacked_init() and destroys it. Strings and binaries point into
 * data. */
bool message_unpack(msgpack_unpacked *result, const void *data, size_t size,
		    struct error *err);
/* Copies a string to text and terminates it. Returns false when the object is
 * no string, is empty, contains a NUL, or does not fit into size bytes. */
bool unpack_text(const msgpack_object *object, char *text, size_t size);

#endif
