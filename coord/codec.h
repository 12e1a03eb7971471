/*
 * codec.h - what every MessagePack decoder of this library needs
 */
#ifndef COORD_CODEC_H
#define COORD_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Unpacks one whole object that fills data exactly, measured before as
 * common/unpack.h says. The object lives until the zone is
 * cleared, and points into data. */
bool codec_unpack(msgpack_zone *zone, const void *data, size_t size,
		  msgpack_object *object);
/* Hands the one object of data to take, with out; false when there is none, or
 * take says so. */
bool codec_decode(const void *data, size_t size, void *out,
		  bool (*decode)(void *out, const msgpack_object *object));
/* Fills value when the object is an integer from 0 up to max. */
bool codec_uint(const msgpack_object *object, uint64_t max, uint64_t *value);
/* Fills values from so many elements when all of them are integers from 0. */
bool codec_uints(const msgpack_object *elements, uint32_t count,
		 uint64_t *values);
/* The elements when the object is an array of at least min of them. */
const msgpack_object *codec_array(const msgpack_object *object, uint32_t min,
				  uint32_t *count);
/* Fills data and size when the object is a string or bytes up to max. */
bool codec_bytes(const msgpack_object *object, size_t max, const char **data,
		 size_t *size);

void codec_pack_bytes(msgpack_packer *packer, const void *data, size_t size);

#endif
