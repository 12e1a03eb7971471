/*
 * peer_hello.c - the first message of a link, as MessagePack
 */
#include "entry/peer_hello.h"

#include <string.h>

#include <msgpack.h>

#include "common/error.h"
#include "common/unpack.h"

#define HELLO_VERSION 1
#define HELLO_FIELDS 5

static int bytes_append(void *out, const char *data, size_t size)
{
	g_byte_array_append(out, (const guint8 *)data, (guint)size);
	return 0;
}

static void text_pack(msgpack_packer *packer, const char *text)
{
	size_t size = strlen(text);

	msgpack_pack_str(packer, size);
	msgpack_pack_str_body(packer, text, size);
}

void hello_encode(const struct member *self, GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, bytes_append);
	msgpack_pack_array(&packer, HELLO_FIELDS);
	msgpack_pack_uint64(&packer, HELLO_VERSION);
	text_pack(&packer, self->name);
	msgpack_pack_uint64(&packer, self->incarnation);
	text_pack(&packer, self->data_centre);
	text_pack(&packer, self->peer_address);
}

static bool text_take(const msgpack_object *object, char *text, size_t size)
{
	if (object->type != MSGPACK_OBJECT_STR || object->via.str.size == 0 ||
	    object->via.str.size >= size)
		return false;
	memcpy(text, object->via.str.ptr, object->via.str.size);
	text[object->via.str.size] = '\0';
	return strlen(text) == object->via.str.size;
}

static bool fields_take(struct member *peer, const msgpack_object_array *array)
{
	const msgpack_object *field = array->ptr;

	if (array->size < HELLO_FIELDS)
		return false;
	if (field[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    field[0].via.u64 != HELLO_VERSION)
		return false;
	if (field[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	peer->incarnation = field[2].via.u64;
	return text_take(&field[1], peer->name, sizeof(peer->name)) &&
	       text_take(&field[3], peer->data_centre,
			 sizeof(peer->data_centre)) &&
	       text_take(&field[4], peer->peer_address,
			 sizeof(peer->peer_address));
}

bool hello_decode(struct member *peer, const void *data, size_t size,
		  struct error *err)
{
	msgpack_unpacked unpacked;
	bool good;

	*peer = (struct member){.state = MEMBER_ALIVE};
	msgpack_unpacked_init(&unpacked);
	good = message_unpack(&unpacked, data, size, NULL) &&
	       unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	       fields_take(peer, &unpacked.data.via.array);
	msgpack_unpacked_destroy(&unpacked);
	if (!good)
		return error_set(err, RESULT_BAD_MESSAGE, "malformed hello");
	peer->id = id_of(peer->name);
	return true;
}
