#include "entry/directory_sync.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

#include "common/log.h"
#include "common/unpack.h"
#include "entry/directory.h"
#include "entry/entry.h"
#include "entry/peers.h"

#define ASK_USEC (500 * USEC_PER_MSEC)
#define FIELDS 6u

enum sync_message {
	SYNC_ASK = 1,
	SYNC_LIST,
};

struct directory_sync {
	struct entry *entry;
	struct timer timer;
	uint32_t asked; /* how many were asked: the next one's turn */
};

static void text_pack(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str(packer, strlen(text));
	msgpack_pack_str_body(packer, text, strlen(text));
}

static void backend_pack(msgpack_packer *packer, const struct backend *backend)
{
	msgpack_pack_array(packer, FIELDS);
	text_pack(packer, backend->name);
	text_pack(packer, backend->pool);
	text_pack(packer, backend->data_centre);
	text_pack(packer, backend->address);
	msgpack_pack_uint64(packer, backend->incarnation);
	if (backend->leaving)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
}

static void ask_send(struct directory_sync *sync, uint64_t to)
{
	static const unsigned char ask[] = {0x91, SYNC_ASK};

	peers_send(sync->entry->peers, to, CHANNEL_DIRECTORY, ask, sizeof(ask));
}

static uint32_t listed_count(const struct directory *directory)
{
	const struct backend *backend;
	uint32_t cursor = 0;
	uint32_t count = 0;

	while ((backend = directory_next(directory, &cursor)))
		count += backend->listed;
	return count;
}

static void list_send(struct directory_sync *sync, uint64_t to)
{
	const struct directory *directory = sync->entry->directory;
	const struct backend *backend;
	uint32_t cursor = 0;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint8(&packer, SYNC_LIST);
	msgpack_pack_array(&packer, listed_count(directory));
	while ((backend = directory_next(directory, &cursor)))
		if (backend->listed)
			backend_pack(&packer, backend);
	peers_send(sync->entry->peers, to, CHANNEL_DIRECTORY, buffer.data,
		   buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

static bool text_take(const msgpack_object *field, char *text, size_t size)
{
	if (field->type != MSGPACK_OBJECT_STR || !field->via.str.size ||
	    field->via.str.size >= size)
		return false;
	memcpy(text, field->via.str.ptr, field->via.str.size);
	text[field->via.str.size] = '\0';
	return true;
}

static bool backend_take(const msgpack_object *item, struct backend *backend)
{
	const msgpack_object *field;

	if (item->type != MSGPACK_OBJECT_ARRAY ||
	    item->via.array.size != FIELDS)
		return false;
	field = item->via.array.ptr;
	if (!text_take(&field[0], backend->name, sizeof(backend->name)) ||
	    !text_take(&field[1], backend->pool, sizeof(backend->pool)) ||
	    !text_take(&field[2], backend->data_centre,
		       sizeof(backend->data_centre)) ||
	    !text_take(&field[3], backend->address, sizeof(backend->address)) ||
	    field[4].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    field[5].type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	backend->id = id_of(backend->name);
	backend->incarnation = field[4].via.u64;
	backend->leaving = field[5].via.boolean;
	backend->listed = true;
	return true;
}

static void list_take(struct directory_sync *sync, const msgpack_object *list)
{
	struct directory *directory = sync->entry->directory;

	if (list->type != MSGPACK_OBJECT_ARRAY || directory_known(directory))
		return;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		struct backend backend = {0};

		if (backend_take(&list->via.array.ptr[i], &backend))
			directory_put(directory, &backend);
	}
	directory_swept(directory);
	log_event(LOG_NOTICE, "directory_learnt",
		  LOG_D("backends", listed_count(directory)));
}

static void sync_receive(void *ctx, uint64_t from, const void *data,
			 size_t size)
{
	struct directory_sync *sync = ctx;
	msgpack_unpacked unpacked;
	const msgpack_object *field;

	msgpack_unpacked_init(&unpacked);
	if (!message_unpack(&unpacked, data, size, NULL) ||
	    unpacked.data.type != MSGPACK_OBJECT_ARRAY ||
	    !unpacked.data.via.array.size) {
		msgpack_unpacked_destroy(&unpacked);
		return;
	}
	field = unpacked.data.via.array.ptr;
	if (field[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
		if (field[0].via.u64 == SYNC_ASK &&
		    directory_known(sync->entry->directory))
			list_send(sync, from);
		if (field[0].via.u64 == SYNC_LIST &&
		    unpacked.data.via.array.size == 2)
			list_take(sync, &field[1]);
	}
	msgpack_unpacked_destroy(&unpacked);
}

/* The live members take turns at being asked. */
static uint64_t next_member(const struct directory_sync *sync)
{
	const struct membership *members = sync->entry->membership;
	const struct member *self = membership_self(members);
	GArray *alive = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct member *member;
	uint32_t cursor = 0;
	uint64_t id = 0;

	while ((member = membership_next(members, &cursor)))
		if (member != self && member->state == MEMBER_ALIVE)
			g_array_append_val(alive, member->id);
	if (alive->len)
		id = g_array_index(alive, uint64_t, sync->asked % alive->len);
	g_array_free(alive, TRUE);
	return id;
}

static void sync_fire(struct timer *timer, void *ctx)
{
	struct directory_sync *sync = ctx;
	uint64_t member;

	if (directory_known(sync->entry->directory))
		return;
	member = next_member(sync);
	sync->asked++;
	if (member)
		ask_send(sync, member);
	timer_start(&sync->timer, ASK_USEC);
}

struct directory_sync *directory_sync_create(struct entry *entry)
{
	struct directory_sync *sync = g_new0(struct directory_sync, 1);

	sync->entry = entry;
	peers_on(entry->peers, CHANNEL_DIRECTORY, sync_receive, sync);
	timer_init(&sync->timer, entry->clock, sync_fire, sync);
	timer_start(&sync->timer, ASK_USEC);
	return sync;
}

void directory_sync_destroy(struct directory_sync *sync)
{
	if (!sync)
		return;
	timer_stop(&sync->timer);
	peers_on(sync->entry->peers, CHANNEL_DIRECTORY, NULL, NULL);
	g_free(sync);
}
