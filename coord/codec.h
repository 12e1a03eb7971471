/*
 * codec.h - helpers for the MessagePack decoders of this library
 */
#ifndef COORD_CODEC_H
#define COORD_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Unpacks one object that fills data exactly, after message_validate() of
 * common/unpack.h accepted it. The object is valid until the zone is cleared,
 * and points into data. */
bool codec_unpack(msgpack_zone *zone, const void *data, size_t size,
		  msgpack_object *object);
/* Unpacks data and calls decode with out and its object; false when data is not
 * one whole object, or decode returns false. */
bool codec_decode(const void *data, size_t size, void *out,
		  bool (*decode)(void *out, const msgpack_object *object));
/* Sets value when the object is an integer from 0 to max. */
bool codec_uint(const msgpack_object *object, uint64_t max, uint64_t *value);
/* Sets values from count elements when all are integers of at least 0. */
bool codec_uints(const msgpack_object *elements, uint32_t count,
		 uint64_t *values);
/* The elements when the object is an array of at least min of them. */
const msgpack_object *codec_array(const msgpack_object *object, uint32_t min,
				  uint32_t *count);
/* Sets data and size when the object is a string or binary of up to max bytes.
 */
bool codec_bytes(const msgpack_object *object, size_t max, const char **data,
		 size_t *size);

void codec_pack_bytes(msgpack_packer *packer, const void *data, size_t size);

#endif
