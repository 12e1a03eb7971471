#include "common/unpack.h"

#include <stdint.h>
#include <string.h>

#include "common/error.h"

enum item_kind {
	ITEM_RESERVED,
	ITEM_BYTES, /* followed by size bytes */
	ITEM_ARRAY, /* followed by size items */
	ITEM_MAP,   /* followed by size pairs of items */
};

struct item {
	enum item_kind kind;
	uint8_t length_bytes; /* size of the length after the first byte */
	uint8_t extra;	      /* further bytes, besides the length */
};

/* Formats 0xc0 to 0xdf of the MessagePack specification. */
static const struct item formats[32] = {
	{ITEM_BYTES, 0, 0},    /* nil */
	{ITEM_RESERVED, 0, 0}, /* never used */
	{ITEM_BYTES, 0, 0},    /* false */
	{ITEM_BYTES, 0, 0},    /* true */
	{ITEM_BYTES, 1, 0},    /* bin 8 */
	{ITEM_BYTES, 2, 0},    /* bin 16 */
	{ITEM_BYTES, 4, 0},    /* bin 32 */
	{ITEM_BYTES, 1, 1},    /* ext 8 */
	{ITEM_BYTES, 2, 1},    /* ext 16 */
	{ITEM_BYTES, 4, 1},    /* ext 32 */
	{ITEM_BYTES, 0, 4},    /* float 32 */
	{ITEM_BYTES, 0, 8},    /* float 64 */
	{ITEM_BYTES, 0, 1},    /* uint 8 */
	{ITEM_BYTES, 0, 2},    /* uint 16 */
	{ITEM_BYTES, 0, 4},    /* uint 32 */
	{ITEM_BYTES, 0, 8},    /* uint 64 */
	{ITEM_BYTES, 0, 1},    /* int 8 */
	{ITEM_BYTES, 0, 2},    /* int 16 */
	{ITEM_BYTES, 0, 4},    /* int 32 */
	{ITEM_BYTES, 0, 8},    /* int 64 */
	{ITEM_BYTES, 0, 2},    /* fixext 1 */
	{ITEM_BYTES, 0, 3},    /* fixext 2 */
	{ITEM_BYTES, 0, 5},    /* fixext 4 */
	{ITEM_BYTES, 0, 9},    /* fixext 8 */
	{ITEM_BYTES, 0, 17},   /* fixext 16 */
	{ITEM_BYTES, 1, 0},    /* str 8 */
	{ITEM_BYTES, 2, 0},    /* str 16 */
	{ITEM_BYTES, 4, 0},    /* str 32 */
	{ITEM_ARRAY, 2, 0},    /* array 16 */
	{ITEM_ARRAY, 4, 0},    /* array 32 */
	{ITEM_MAP, 2, 0},      /* map 16 */
	{ITEM_MAP, 4, 0},      /* map 32 */
};

/* Returns the format that a first byte selects; size is set to the length that
 * the byte contains, or to 0. */
static struct item item_format(uint8_t byte, uint64_t *size)
{
	*size = 0;
	if (byte < 0x80 || byte >= 0xe0)
		return (struct item){ITEM_BYTES, 0, 0};
	if (byte >= 0xc0)
		return formats[byte - 0xc0];
	if (byte >= 0xa0) {
		*size = byte & 0x1f;
		return (struct item){ITEM_BYTES, 0, 0};
	}
	*size = byte & 0x0f;
	return (struct item){byte >= 0x90 ? ITEM_ARRAY : ITEM_MAP, 0, 0};
}

/* Computes the size of one item without its elements, and the number of its
 * elements. Returns false when the item does not fit into size. */
static bool item_measure(const uint8_t *data, size_t size, size_t *used,
			 uint64_t *elements)
{
	uint64_t length;
	struct item item = item_format(data[0], &length);

	if (item.kind == ITEM_RESERVED || item.length_bytes >= size)
		return false;
	for (uint8_t i = 0; i < item.length_bytes; i++)
		length = length << 8 | data[1 + i];
	*used = (size_t)1 + item.length_bytes;
	*elements = 0;
	if (item.kind == ITEM_ARRAY)
		*elements = length;
	else if (item.kind == ITEM_MAP)
		*elements = 2 * length;
	else if (length + item.extra > size - *used)
		return false;
	else
		*used += length + item.extra;
	return true;
}

/* Each item takes at least one byte, so no more items may remain than bytes. */
bool message_validate(const void *data, size_t size)
{
	const uint8_t *at = data;
	uint64_t remaining = 1;

	while (remaining && remaining <= size) {
		uint64_t elements;
		size_t used;

		if (!item_measure(at, size, &used, &elements))
			return false;
		at += used;
		size -= used;
		remaining += elements - 1;
	}
	return !remaining && !size;
}

bool message_unpack(msgpack_unpacked *result, const void *data, size_t size,
		    struct error *err)
{
	size_t used = 0;

	if (message_validate(data, size) &&
	    msgpack_unpack_next(result, data, size, &used) ==
		    MSGPACK_UNPACK_SUCCESS)
		return true;
	return error_set(err, RESULT_BAD_MESSAGE,
			 "%zu bytes are not exactly one MessagePack value",
			 size);
}

bool unpack_text(const msgpack_object *object, char *text, size_t size)
{
	if (object->type != MSGPACK_OBJECT_STR || object->via.str.size == 0 ||
	    object->via.str.size >= size)
		return false;
	memcpy(text, object->via.str.ptr, object->via.str.size);
	text[object->via.str.size] = '\0';
	return strlen(text) == object->via.str.size;
}
