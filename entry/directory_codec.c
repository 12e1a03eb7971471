/*
 * directory_codec.c - messages on backend servers between instances
 */
#include "entry/directory_codec.h"

#include <msgpack.h>

#include "common/id.h"
#include "common/pack.h"
#include "common/unpack.h"

enum message {
	MESSAGE_REQUEST = 1,
	MESSAGE_UPDATE,
};

#define REQUEST_FIELDS 3
#define UPDATE_FIELDS 7
#define BACKEND_FIELDS 7

static void bool_encode(msgpack_packer *packer, bool value)
{
	if (value)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
}

void directory_request_encode(const struct directory_request *request,
			      GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, REQUEST_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_REQUEST);
	msgpack_pack_uint64(&packer, request->epoch);
	msgpack_pack_uint64(&packer, request->since);
}

static const struct backend *update_next(const struct directory_update *update,
					 const struct directory *directory,
					 uint32_t *cursor)
{
	const struct backend *backend;
	uint64_t since = update->whole ? 0 : update->since;

	while ((backend = directory_next_since(directory, cursor, since))) {
		if (backend->listed || !update->whole)
			return backend;
	}
	return NULL;
}

static void backend_encode(msgpack_packer *packer,
			   const struct backend *backend)
{
	msgpack_pack_array(packer, BACKEND_FIELDS);
	pack_text(packer, backend->name);
	pack_text(packer, backend->pool);
	pack_text(packer, backend->data_centre);
	pack_text(packer, backend->address);
	msgpack_pack_uint64(packer, backend->incarnation);
	bool_encode(packer, backend->leaving);
	bool_encode(packer, backend->listed);
}

static size_t update_count(const struct directory_update *update,
			   const struct directory *directory)
{
	uint32_t cursor = 0;
	size_t count = 0;

	while (update_next(update, directory, &cursor))
		count++;
	return count;
}

void directory_update_encode(const struct directory_update *update,
			     const struct directory *directory, GByteArray *out)
{
	const struct backend *backend;
	msgpack_packer packer;
	uint32_t cursor = 0;

	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, UPDATE_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_UPDATE);
	msgpack_pack_uint64(&packer, update->epoch);
	msgpack_pack_uint64(&packer, update->since);
	msgpack_pack_uint64(&packer, update->until);
	bool_encode(&packer, update->whole);
	msgpack_pack_uint64(&packer, update->age_ms);
	msgpack_pack_array(&packer, update_count(update, directory));
	while ((backend = update_next(update, directory, &cursor)))
		backend_encode(&packer, backend);
}

static bool number_decode(const msgpack_object *field, uint64_t *value)
{
	*value = field->via.u64;
	return field->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool bool_decode(const msgpack_object *field, bool *value)
{
	*value = field->via.boolean;
	return field->type == MSGPACK_OBJECT_BOOLEAN;
}

static bool backend_decode(const msgpack_object *item, struct backend *backend)
{
	const msgpack_object *field = item->via.array.ptr;

	if (item->type != MSGPACK_OBJECT_ARRAY ||
	    item->via.array.size != BACKEND_FIELDS)
		return false;
	if (!unpack_text(&field[0], backend->name, sizeof(backend->name)) ||
	    !unpack_text(&field[1], backend->pool, sizeof(backend->pool)) ||
	    !unpack_text(&field[2], backend->data_centre,
			 sizeof(backend->data_centre)) ||
	    !unpack_text(&field[3], backend->address, sizeof(backend->address)))
		return false;
	backend->id = id_of(backend->name);
	return number_decode(&field[4], &backend->incarnation) &&
	       bool_decode(&field[5], &backend->leaving) &&
	       bool_decode(&field[6], &backend->listed);
}

static bool backends_valid(const msgpack_object *list)
{
	struct backend backend = {0};

	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		if (!backend_decode(&list->via.array.ptr[i], &backend))
			return false;
	}
	return true;
}

static bool update_decode(const msgpack_object *field, size_t count,
			  const struct directory_codec_ops *ops, void *ctx)
{
	struct directory_update update;

	if (count != UPDATE_FIELDS ||
	    !number_decode(&field[1], &update.epoch) ||
	    !number_decode(&field[2], &update.since) ||
	    !number_decode(&field[3], &update.until) ||
	    !bool_decode(&field[4], &update.whole) ||
	    !number_decode(&field[5], &update.age_ms) ||
	    !backends_valid(&field[6]))
		return false;
	ops->update(ctx, &update);
	for (uint32_t i = 0; i < field[6].via.array.size; i++) {
		struct backend backend = {0};

		backend_decode(&field[6].via.array.ptr[i], &backend);
		ops->backend(ctx, &backend);
	}
	ops->end(ctx, &update);
	return true;
}

static bool request_decode(const msgpack_object *field, size_t count,
			   const struct directory_codec_ops *ops, void *ctx)
{
	struct directory_request request;

	if (count != REQUEST_FIELDS ||
	    !number_decode(&field[1], &request.epoch) ||
	    !number_decode(&field[2], &request.since))
		return false;
	ops->request(ctx, &request);
	return true;
}

static bool message_decode(const msgpack_object *message,
			   const struct directory_codec_ops *ops, void *ctx)
{
	const msgpack_object *field = message->via.array.ptr;
	uint64_t kind;

	if (message->type != MSGPACK_OBJECT_ARRAY ||
	    message->via.array.size == 0 || !number_decode(&field[0], &kind))
		return false;
	if (kind == MESSAGE_REQUEST)
		return request_decode(field, message->via.array.size, ops, ctx);
	return kind == MESSAGE_UPDATE &&
	       update_decode(field, message->via.array.size, ops, ctx);
}

bool directory_decode(const void *data, size_t size,
		      const struct directory_codec_ops *ops, void *ctx)
{
	msgpack_unpacked unpacked;
	bool good;

	msgpack_unpacked_init(&unpacked);
	good = message_unpack(&unpacked, data, size, NULL) &&
	       message_decode(&unpacked.data, ops, ctx);
	msgpack_unpacked_destroy(&unpacked);
	return good;
}
