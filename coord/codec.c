#include "codec.h"

/* How many bytes of head and body follow the first byte of an object, and how
 * many elements it holds, from the type bytes of the MessagePack format. */
struct head {
	uint8_t length_bytes; /* of a count or size field */
	uint8_t fixed;	      /* bytes of body besides */
	uint8_t per_count;    /* elements an entry: 1 array, 2 map, 0 bytes */
};

static const struct head heads[32] = {
	[0x04] = {1, 0, 0}, /* bin 8, 16, 32 */
	[0x05] = {2, 0, 0}, [0x06] = {4, 0, 0},
	[0x07] = {1, 1, 0}, /* ext 8, 16, 32 */
	[0x08] = {2, 1, 0}, [0x09] = {4, 1, 0},
	[0x0a] = {0, 4, 0},			/* floats */
	[0x0b] = {0, 8, 0}, [0x0c] = {0, 1, 0}, /* unsigned integers */
	[0x0d] = {0, 2, 0}, [0x0e] = {0, 4, 0},
	[0x0f] = {0, 8, 0}, [0x10] = {0, 1, 0}, /* signed integers */
	[0x11] = {0, 2, 0}, [0x12] = {0, 4, 0},
	[0x13] = {0, 8, 0}, [0x14] = {0, 2, 0}, /* fixext 1, 2, 4, 8, 16 */
	[0x15] = {0, 3, 0}, [0x16] = {0, 5, 0},
	[0x17] = {0, 9, 0}, [0x18] = {0, 17, 0},
	[0x19] = {1, 0, 0}, /* str 8, 16, 32 */
	[0x1a] = {2, 0, 0}, [0x1b] = {4, 0, 0},
	[0x1c] = {2, 0, 1},			/* arrays */
	[0x1d] = {4, 0, 1}, [0x1e] = {2, 0, 2}, /* maps */
	[0x1f] = {4, 0, 2},
};

static uint64_t read_length(const uint8_t *data, size_t bytes)
{
	uint64_t length = 0;

	for (size_t i = 0; i < bytes; i++)
		length = length << 8 | data[i];
	return length;
}

/* Skips one head, and the body of an object that holds no others. */
static bool skip_head(const uint8_t **at, const uint8_t *end)
{
	uint8_t type = *(*at)++;
	size_t left = (size_t)(end - *at);
	const struct head *head = &heads[type & 0x1f];
	uint64_t length;

	if (type <= 0x7f || type >= 0xe0)
		return true;
	if (type <= 0x8f)
		return (type & 0x0fu) * 2u <= left;
	if (type <= 0x9f)
		return (type & 0x0fu) <= left;
	if (type <= 0xbf) {
		*at += (type & 0x1fu) <= left ? type & 0x1fu : left;
		return (type & 0x1fu) <= left;
	}
	if (head->length_bytes > left)
		return false;
	length = read_length(*at, head->length_bytes);
	*at += head->length_bytes;
	left -= head->length_bytes;
	if (head->per_count)
		return length * head->per_count <= left;
	if (length + head->fixed > left)
		return false;
	*at += length + head->fixed;
	return true;
}

static bool counts_bounded(const void *data, size_t size)
{
	const uint8_t *at = data;
	const uint8_t *end = at + size;

	while (at < end) {
		if (!skip_head(&at, end))
			return false;
	}
	return true;
}

bool codec_unpack(msgpack_zone *zone, const void *data, size_t size,
		  msgpack_object *object)
{
	size_t offset = 0;

	if (!data || !size || !counts_bounded(data, size))
		return false;
	if (msgpack_unpack(data, size, &offset, zone, object) !=
	    MSGPACK_UNPACK_SUCCESS)
		return false;
	return offset == size;
}

bool codec_uint(const msgpack_object *object, uint64_t max, uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*value = object->via.u64;
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
	/* Strings and bytes share their layout in the union. */
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
