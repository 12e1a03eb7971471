/*
 * unpack.h - MessagePack from peers, checked before it is unpacked
 *
 * DESCRIPTION
 *	msgpack-c allocates what an array's or map's header claims before it
 *	has seen the elements: five bytes can ask for 100 GB. So bytes from
 *	outside are first measured: every length and count must fit into the
 *	bytes that follow. What is unpacked then takes at most about 24 bytes
 *	a byte.
 */
#ifndef COMMON_UNPACK_H
#define COMMON_UNPACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

struct error;

/* Whether data is exactly one value, all of whose lengths and counts together
 * fit into it. */
bool message_measure(const void *data, size_t size);
/* Unpacks exactly one value that takes all of data. The caller has made result
 * with msgpack_unpacked_init() and destroys it; strings and binaries point into
 * data. False, with RESULT_BAD_MESSAGE, for anything else. */
bool message_unpack(msgpack_unpacked *result, const void *data, size_t size,
		    struct error *err);
/* Copies a string that is neither empty nor holds a NUL, when it and its final
 * NUL fit into size. */
bool unpack_text(const msgpack_object *object, char *text, size_t size);

#endif
