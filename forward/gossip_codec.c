#include "gossip_codec.h"

#include <msgpack.h>

#include "common/error.h"
#include "common/pack.h"
#include "common/unpack.h"

#define FIELDS 13
#define SHARE_FIELDS 3
#define LOAD_FIELDS 4
#define FLAG_LEAVING 1u
#define FLAG_STORELESS 2u

static void load_pack(msgpack_packer *packer, const struct gossip_load *load)
{
	msgpack_pack_array(packer, LOAD_FIELDS);
	msgpack_pack_uint64(packer, load->backend);
	msgpack_pack_uint32(packer, load->load.requests);
	msgpack_pack_uint32(packer, load->load.decode_tokens);
	msgpack_pack_uint32(packer, load->load.prefill_tokens);
}

static void share_word_pack(msgpack_packer *packer,
			    const struct share_word *word)
{
	msgpack_pack_array(packer, SHARE_FIELDS);
	msgpack_pack_uint64(packer, word->next);
	msgpack_pack_uint64(packer, word->changed);
	msgpack_pack_int64(packer, word->age_usec);
}

void gossip_encode(const struct gossip_message *message, GByteArray *out)
{
	msgpack_packer packer;
	guint loads = MIN(message->loads->len, GOSSIP_LOADS_MAX);

	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, FIELDS);
	msgpack_pack_int(&packer, GOSSIP_FORMAT);
	pack_text(&packer, message->name);
	pack_text(&packer, message->data_centre);
	msgpack_pack_uint64(&packer, message->boot);
	msgpack_pack_uint64(&packer, message->sequence);
	msgpack_pack_uint64(&packer, message->word.version);
	msgpack_pack_uint64(&packer, (uint64_t)message->word.demand);
	msgpack_pack_uint32(&packer, message->word.waiting);
	msgpack_pack_uint8(
		&packer,
		(message->word.leaving ? FLAG_LEAVING : 0) |
			(message->word.storeless ? FLAG_STORELESS : 0));
	msgpack_pack_uint64(&packer, message->word.changing);
	msgpack_pack_array(&packer, GOSSIP_SHARES);
	for (int i = 0; i < GOSSIP_SHARES; i++)
		share_word_pack(&packer, &message->word.shares[i]);
	msgpack_pack_array(&packer, loads);
	for (guint i = 0; i < loads; i++)
		load_pack(&packer, &g_array_index(message->loads,
						  struct gossip_load, i));
	msgpack_pack_array(&packer, message->address_count);
	for (uint32_t i = 0; i < message->address_count; i++)
		pack_text(&packer, message->addresses[i]);
}

static bool number_read(const msgpack_object *object, uint64_t max,
			uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*value = object->via.u64;
	return true;
}

static bool load_read(const msgpack_object *object, struct gossip_load *load)
{
	uint64_t values[LOAD_FIELDS];

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != LOAD_FIELDS)
		return false;
	for (int i = 0; i < LOAD_FIELDS; i++)
		if (!number_read(&object->via.array.ptr[i],
				 i == 0 ? UINT64_MAX : UINT32_MAX / 4096,
				 &values[i]))
			return false;
	load->backend = values[0];
	load->load.requests = (uint32_t)values[1];
	load->load.decode_tokens = (uint32_t)values[2];
	load->load.prefill_tokens = (uint32_t)values[3];
	return true;
}

static bool loads_read(const msgpack_object *object, GArray *loads)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > GOSSIP_LOADS_MAX)
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		struct gossip_load load;

		if (!load_read(&object->via.array.ptr[i], &load))
			return false;
		g_array_append_val(loads, load);
	}
	return true;
}

static bool share_word_read(const msgpack_object *object,
			    struct share_word *word)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t age;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != SHARE_FIELDS ||
	    !number_read(&fields[0], UINT64_MAX, &word->next) ||
	    !number_read(&fields[1], UINT64_MAX, &word->changed))
		return false;
	word->age_usec = -1;
	if (fields[2].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return true;
	if (!number_read(&fields[2], INT64_MAX / 2, &age))
		return false;
	word->age_usec = (int64_t)age;
	return true;
}

static bool shares_read(const msgpack_object *object, struct gossip_word *word)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != GOSSIP_SHARES)
		return false;
	for (int i = 0; i < GOSSIP_SHARES; i++)
		if (!share_word_read(&object->via.array.ptr[i],
				     &word->shares[i]))
			return false;
	return true;
}

static bool addresses_read(const msgpack_object *object,
			   struct gossip_message *message)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > GOSSIP_ADDRESSES_MAX)
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		char *to = message->addresses[message->address_count];

		if (!unpack_text(&object->via.array.ptr[i], to,
				 BACKEND_TEXT_MAX))
			return false;
		message->address_count++;
	}
	return true;
}

static bool message_read(const msgpack_object *object,
			 struct gossip_message *message)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t format;
	uint64_t demand;
	uint64_t waiting;
	uint64_t flags;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != FIELDS)
		return false;
	if (!number_read(&fields[0], GOSSIP_FORMAT, &format) ||
	    !unpack_text(&fields[1], message->name, sizeof(message->name)) ||
	    !unpack_text(&fields[2], message->data_centre,
			 sizeof(message->data_centre)) ||
	    !number_read(&fields[3], UINT64_MAX, &message->boot) ||
	    !number_read(&fields[4], UINT64_MAX, &message->sequence) ||
	    !number_read(&fields[5], UINT64_MAX, &message->word.version) ||
	    !number_read(&fields[6], UINT32_MAX, &demand) ||
	    !number_read(&fields[7], UINT32_MAX, &waiting) ||
	    !number_read(&fields[8], FLAG_LEAVING | FLAG_STORELESS, &flags) ||
	    !number_read(&fields[9], UINT64_MAX, &message->word.changing))
		return false;
	message->word.demand = (double)demand;
	message->word.waiting = (uint32_t)waiting;
	message->word.leaving = flags & FLAG_LEAVING;
	message->word.storeless = flags & FLAG_STORELESS;
	return shares_read(&fields[10], &message->word) &&
	       loads_read(&fields[11], message->loads) &&
	       addresses_read(&fields[12], message);
}

bool gossip_decode(struct gossip_message *message, const void *data,
		   size_t size, struct error *err)
{
	msgpack_unpacked unpacked;
	bool good;

	*message = (struct gossip_message){
		.loads = g_array_new(FALSE, FALSE, sizeof(struct gossip_load)),
	};
	msgpack_unpacked_init(&unpacked);
	good = message_unpack(&unpacked, data, size, err);
	if (good && !message_read(&unpacked.data, message))
		good = error_set(err, RESULT_BAD_MESSAGE,
				 "no datagram of instances");
	msgpack_unpacked_destroy(&unpacked);
	return good;
}

void gossip_message_clear(struct gossip_message *message)
{
	if (message->loads)
		g_array_unref(message->loads);
	message->loads = NULL;
}
