#include "codec.h"

#include "common/unpack.h"

bool codec_unpack(msgpack_zone *zone, const void *data, size_t size,
		  msgpack_object *object)
{
	size_t offset = 0;

	return message_validate(data, size) &&
	       msgpack_unpack(data, size, &offset, zone, object) ==
		       MSGPACK_UNPACK_SUCCESS;
}

bool codec_decode(const void *data, size_t size, void *out,
		  bool (*decode)(void *out, const msgpack_object *object))
{
	msgpack_object object;
	msgpack_zone zone;
	bool valid;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	valid = codec_unpack(&zone, data, size, &object) &&
		decode(out, &object);
	msgpack_zone_destroy(&zone);
	return valid;
}

bool codec_uint(const msgpack_object *object, uint64_t max, uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*value = object->via.u64;
	return true;
}

bool codec_uints(const msgpack_object *elements, uint32_t count,
		 uint64_t *values)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!codec_uint(&elements[i], UINT64_MAX, &values[i]))
			return false;
	}
	return true;
}

const msgpack_object *codec_array(const msgpack_object *object, uint32_t min,
				  uint32_t *count)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < min)
		return NULL;
	*count = object->via.array.size;
	return object->via.array.ptr;
}

bool codec_bytes(const msgpack_object *object, size_t max, const char **data,
		 size_t *size)
{
	/* The string and binary members of the union have the same layout. */
	if (object->type != MSGPACK_OBJECT_STR &&
	    object->type != MSGPACK_OBJECT_BIN)
		return false;
	if (object->via.bin.size > max)
		return false;
	*data = object->via.bin.ptr;
	*size = object->via.bin.size;
	return true;
}

void codec_pack_bytes(msgpack_packer *packer, const void *data, size_t size)
{
	msgpack_pack_bin(packer, size);
	if (size)
		msgpack_pack_bin_body(packer, data, size);
}
