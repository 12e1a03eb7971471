#include "lease_fold.h"

#include "codec.h"

#define RECORD_FIELDS 7

void lease_record_pack(msgpack_sbuffer *out, const struct lease_record *record)
{
	const uint64_t values[RECORD_FIELDS] = {
		record->task,
		record->holder.instance,
		record->holder.incarnation,
		(uint64_t)record->action,
		record->after,
		record->fence,
		record->sent,
	};
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, RECORD_FIELDS);
	for (uint32_t i = 0; i < RECORD_FIELDS; i++)
		msgpack_pack_uint64(&packer, values[i]);
}

static bool read_record(void *out, const msgpack_object *object)
{
	struct lease_record *record = out;
	uint64_t values[RECORD_FIELDS];
	uint32_t count;
	const msgpack_object *elements =
		codec_array(object, RECORD_FIELDS, &count);

	if (!elements || !codec_uints(elements, RECORD_FIELDS, values))
		return false;
	if (values[3] >= LEASE_ACTION_COUNT || values[6] > INT64_MAX / 2)
		return false;
	*record = (struct lease_record){
		.task = values[0],
		.holder = {values[1], values[2]},
		.action = (enum lease_action)values[3],
		.after = values[4],
		.fence = values[5],
		.sent = values[6],
	};
	return true;
}

bool lease_record_unpack(struct lease_record *record, const void *data,
			 size_t size)
{
	return codec_decode(data, size, record, read_record);
}

enum lease_verdict lease_fold(struct lease_state *state,
			      const struct lease_record *record,
			      uint64_t offset)
{
	bool conflicts = state->next > record->after;

	state->next = offset + 1;
	if (conflicts)
		return LEASE_VOID;
	state->released = record->action == LEASE_RELEASE;
	if (record->after < state->known_from)
		return LEASE_UNCLEAR;
	return LEASE_VALID;
}
