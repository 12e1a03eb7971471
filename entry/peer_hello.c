/*
 * peer_hello.c - codec of the hello, the first message of a link
 */
#include "entry/peer_hello.h"

#include <msgpack.h>

#include "common/error.h"
#include "common/pack.h"
#include "common/unpack.h"

#define HELLO_VERSION 1
#define HELLO_FIELDS 5

void hello_encode(const struct member *self, uint64_t token, GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, HELLO_FIELDS + (token != 0));
	msgpack_pack_uint64(&packer, HELLO_VERSION);
	pack_text(&packer, self->name);
	msgpack_pack_uint64(&packer, self->incarnation);
	pack_text(&packer, self->data_centre);
	pack_text(&packer, self->peer_address);
	if (token != 0)
		msgpack_pack_uint64(&packer, token);
}

static bool fields_read(struct member *peer, const msgpack_object_array *array)
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
	return unpack_text(&field[1], peer->name, sizeof(peer->name)) &&
	       unpack_text(&field[3], peer->data_centre,
			   sizeof(peer->data_centre)) &&
	       unpack_text(&field[4], peer->peer_address,
			   sizeof(peer->peer_address));
}

/* Ignores an element that is not a token, like those of later versions. */
static uint64_t token_read(const msgpack_object_array *array)
{
	const msgpack_object *field = &array->ptr[HELLO_FIELDS];

	if (array->size <= HELLO_FIELDS ||
	    field->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return 0;
	return field->via.u64;
}

bool hello_decode(struct member *peer, uint64_t *token, const void *data,
		  size_t size, struct error *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	*peer = (struct member){.state = MEMBER_ALIVE};
	msgpack_unpacked_init(&unpacked);
	ok = message_unpack(&unpacked, data, size, NULL) &&
	     unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	     fields_read(peer, &unpacked.data.via.array);
	*token = ok ? token_read(&unpacked.data.via.array) : 0;
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		return error_set(err, RESULT_BAD_MESSAGE, "malformed hello");
	peer->id = id_of(peer->name);
	return true;
}
