#include "claim_codec.h"

#include <string.h>

#include "codec.h"

#define RECORD_FIELDS 4
#define CLAIM_FIELDS 4
#define REQUEST_FIELDS 6
#define REPLY_FIELDS 7

guint claim_id_hash(gconstpointer id)
{
	const struct claim_id *claim = id;

	return (guint)id_mix(
		id_mix(claim->owner.instance, claim->owner.incarnation),
		claim->request);
}

gboolean claim_id_equal(gconstpointer a, gconstpointer b)
{
	const struct claim_id *x = a;
	const struct claim_id *y = b;

	return x->request == y->request &&
	       x->owner.instance == y->owner.instance &&
	       x->owner.incarnation == y->owner.incarnation;
}

void claim_record_encode(msgpack_sbuffer *out,
			 const struct claim_record *record)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, RECORD_FIELDS);
	msgpack_pack_uint64(&packer, record->writer.instance);
	msgpack_pack_uint64(&packer, record->writer.incarnation);
	msgpack_pack_uint64(&packer, record->sequence);
	msgpack_pack_array(&packer, (size_t)record->claims->len * CLAIM_FIELDS);
	for (guint i = 0; i < record->claims->len; i++) {
		const struct claim *claim =
			&g_array_index(record->claims, struct claim, i);

		msgpack_pack_uint64(&packer, claim->key);
		msgpack_pack_uint64(&packer, claim->id.owner.instance);
		msgpack_pack_uint64(&packer, claim->id.owner.incarnation);
		msgpack_pack_uint64(&packer, claim->id.request);
	}
}

static bool read_claims(GArray *claims, const msgpack_object *object)
{
	uint32_t count;
	const msgpack_object *elements = codec_array(object, 0, &count);

	g_array_set_size(claims, 0);
	if (!elements || count % CLAIM_FIELDS)
		return object->type == MSGPACK_OBJECT_ARRAY && !count;
	for (uint32_t i = 0; i < count; i += CLAIM_FIELDS) {
		uint64_t values[CLAIM_FIELDS];
		struct claim claim;

		if (!codec_uints(elements + i, CLAIM_FIELDS, values))
			return false;
		claim = (struct claim){
			.key = values[0],
			.id = {.owner = {values[1], values[2]},
			       .request = values[3]},
		};
		g_array_append_val(claims, claim);
	}
	return true;
}

static bool read_record(void *out, const msgpack_object *object)
{
	struct claim_record *record = out;
	uint64_t values[RECORD_FIELDS - 1];
	uint32_t count;
	const msgpack_object *elements =
		codec_array(object, RECORD_FIELDS, &count);

	if (!elements || !codec_uints(elements, RECORD_FIELDS - 1, values) ||
	    !read_claims(record->claims, &elements[RECORD_FIELDS - 1]))
		return false;
	record->writer = (struct owner){values[0], values[1]};
	record->sequence = values[2];
	return true;
}

bool claim_record_decode(struct claim_record *record, const void *data,
			 size_t size)
{
	return codec_decode(data, size, record, read_record);
}

void claim_message_encode(msgpack_sbuffer *out,
			  const struct claim_message *message)
{
	bool is_request = message->kind == CLAIM_MESSAGE_REQUEST;
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, is_request ? REQUEST_FIELDS : REPLY_FIELDS);
	msgpack_pack_int(&packer, (int)message->kind);
	msgpack_pack_uint64(&packer, message->request);
	msgpack_pack_uint64(&packer, message->incarnation);
	msgpack_pack_uint64(&packer, message->attempt);
	if (is_request) {
		msgpack_pack_uint64(&packer, message->key);
		msgpack_pack_uint64(&packer, message->decide_usec);
		return;
	}
	msgpack_pack_int(&packer, (int)message->reply);
	msgpack_pack_uint64(&packer, message->winner.instance);
	msgpack_pack_uint64(&packer, message->winner.incarnation);
}

static bool read_message(void *out, const msgpack_object *object)
{
	struct claim_message *message = out;
	uint64_t values[REPLY_FIELDS] = {0};
	uint32_t count;
	const msgpack_object *elements =
		codec_array(object, REQUEST_FIELDS, &count);

	if (!elements ||
	    !codec_uints(elements, MIN(count, REPLY_FIELDS), values))
		return false;
	*message = (struct claim_message){
		.kind = (enum claim_message_kind)values[0],
		.request = values[1],
		.incarnation = values[2],
		.attempt = values[3],
	};
	if (values[0] == CLAIM_MESSAGE_REQUEST) {
		message->key = values[4];
		message->decide_usec = values[5];
		return true;
	}
	if (values[0] != CLAIM_MESSAGE_REPLY || count < REPLY_FIELDS ||
	    values[4] >= CLAIM_REPLY_COUNT)
		return false;
	message->reply = (enum claim_reply_kind)values[4];
	message->winner = (struct owner){values[5], values[6]};
	return true;
}

bool claim_message_decode(struct claim_message *message, const void *data,
			  size_t size)
{
	return codec_decode(data, size, message, read_message);
}
