/*
 * directory_codec.c - messages on backend servers between instances
 */
#include "entry/directory_codec.h"

#include <msgpack.h>

#include "common/id.h"
#include "common/pack.h"
#include "common/unpack.h"

enum message {
	MESSAGE_ASK = 1,
	MESSAGE_NEWS,
};

#define ASK_FIELDS 3
#define NEWS_FIELDS 7
#define BACKEND_FIELDS 7

static void bool_pack(msgpack_packer *packer, bool value)
{
	if (value)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
}

void directory_request_encode(const struct directory_request *ask,
			      GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, ASK_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_ASK);
	msgpack_pack_uint64(&packer, ask->epoch);
	msgpack_pack_uint64(&packer, ask->since);
}

static const struct backend *news_next(const struct directory_update *news,
				       const struct directory *directory,
				       uint32_t *cursor)
{
	const struct backend *backend;
	uint64_t since = news->whole ? 0 : news->since;

	while ((backend = directory_next_since(directory, cursor, since))) {
		if (backend->listed || !news->whole)
			return backend;
	}
	return NULL;
}

static void backend_pack(msgpack_packer *packer, const struct backend *backend)
{
	msgpack_pack_array(packer, BACKEND_FIELDS);
	pack_text(packer, backend->name);
	pack_text(packer, backend->pool);
	pack_text(packer, backend->data_centre);
	pack_text(packer, backend->address);
	msgpack_pack_uint64(packer, backend->incarnation);
	bool_pack(packer, backend->leaving);
	bool_pack(packer, backend->listed);
}

static size_t news_count(const struct directory_update *news,
			 const struct directory *directory)
{
	uint32_t cursor = 0;
	size_t count = 0;

	while (news_next(news, directory, &cursor))
		count++;
	return count;
}

void directory_update_encode(const struct directory_update *news,
			     const struct directory *directory, GByteArray *out)
{
	const struct backend *backend;
	msgpack_packer packer;
	uint32_t cursor = 0;

	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, NEWS_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_NEWS);
	msgpack_pack_uint64(&packer, news->epoch);
	msgpack_pack_uint64(&packer, news->since);
	msgpack_pack_uint64(&packer, news->until);
	bool_pack(&packer, news->whole);
	msgpack_pack_uint64(&packer, news->age_ms);
	msgpack_pack_array(&packer, news_count(news, directory));
	while ((backend = news_next(news, directory, &cursor)))
		backend_pack(&packer, backend);
}

static bool number_take(const msgpack_object *field, uint64_t *value)
{
	*value = field->via.u64;
	return field->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool bool_take(const msgpack_object *field, bool *value)
{
	*value = field->via.boolean;
	return field->type == MSGPACK_OBJECT_BOOLEAN;
}

static bool backend_take(const msgpack_object *item, struct backend *backend)
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
	return number_take(&field[4], &backend->incarnation) &&
	       bool_take(&field[5], &backend->leaving) &&
	       bool_take(&field[6], &backend->listed);
}

static bool backends_valid(const msgpack_object *list)
{
	struct backend backend = {0};

	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		if (!backend_take(&list->via.array.ptr[i], &backend))
			return false;
	}
	return true;
}

static bool news_take(const msgpack_object *field, size_t count,
		      const struct directory_codec_ops *ops, void *ctx)
{
	struct directory_update news;

	if (count != NEWS_FIELDS || !number_take(&field[1], &news.epoch) ||
	    !number_take(&field[2], &news.since) ||
	    !number_take(&field[3], &news.until) ||
	    !bool_take(&field[4], &news.whole) ||
	    !number_take(&field[5], &news.age_ms) || !backends_valid(&field[6]))
		return false;
	ops->news(ctx, &news);
	for (uint32_t i = 0; i < field[6].via.array.size; i++) {
		struct backend backend = {0};

		backend_take(&field[6].via.array.ptr[i], &backend);
		ops->backend(ctx, &backend);
	}
	ops->end(ctx, &news);
	return true;
}

static bool ask_take(const msgpack_object *field, size_t count,
		     const struct directory_codec_ops *ops, void *ctx)
{
	struct directory_request ask;

	if (count != ASK_FIELDS || !number_take(&field[1], &ask.epoch) ||
	    !number_take(&field[2], &ask.since))
		return false;
	ops->ask(ctx, &ask);
	return true;
}

static bool message_take(const msgpack_object *message,
			 const struct directory_codec_ops *ops, void *ctx)
{
	const msgpack_object *field = message->via.array.ptr;
	uint64_t kind;

	if (message->type != MSGPACK_OBJECT_ARRAY ||
	    message->via.array.size == 0 || !number_take(&field[0], &kind))
		return false;
	if (kind == MESSAGE_ASK)
		return ask_take(field, message->via.array.size, ops, ctx);
	return kind == MESSAGE_NEWS &&
	       news_take(field, message->via.array.size, ops, ctx);
}

bool directory_decode(const void *data, size_t size,
		      const struct directory_codec_ops *ops, void *ctx)
{
	msgpack_unpacked unpacked;
	bool good;

	msgpack_unpacked_init(&unpacked);
	good = message_unpack(&unpacked, data, size, NULL) &&
	       message_take(&unpacked.data, ops, ctx);
	msgpack_unpacked_destroy(&unpacked);
	return good;
}
