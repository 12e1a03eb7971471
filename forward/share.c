#include "forward/share.h"

#include <msgpack.h>

#include "common/log.h"
#include "common/pack.h"
#include "common/unpack.h"

#define RANK_MAX 2u
/* Peers are found within this time of the start, if there are any. */
#define START_USEC (150 * USEC_PER_MSEC)
#define FIELDS 4

struct share {
	struct clock *clock;
	int64_t began;
	struct feed *feed;
	struct feed_settings settings;
	struct share_ops ops;
	void *ctx;
	GHashTable *values; /* key to GBytes */
	uint64_t changed;
};

static void value_take(struct share *share, uint64_t offset, const char *key,
		       const void *data, size_t size)
{
	if (!data)
		g_hash_table_remove(share->values, key);
	else
		g_hash_table_replace(share->values, g_strdup(key),
				     g_bytes_new(data, size));
	if (share->ops.value(share->ctx, offset, key, data, size))
		share->changed = MAX(share->changed, offset + 1);
}

static void on_record(void *ctx, const struct feed_record *record)
{
	value_take(ctx, record->offset, record->key, record->value,
		   record->size);
}

static void on_begin(void *ctx)
{
	struct share *share = ctx;

	g_hash_table_remove_all(share->values);
	if (share->ops.begin)
		share->ops.begin(share->ctx);
}

/* What is no longer in a snapshot has changed too, at an offset not known. */
static void on_end(void *ctx)
{
	struct share *share = ctx;

	share->changed = MAX(share->changed, feed_position(share->feed));
	if (share->ops.end)
		share->ops.end(share->ctx);
}

struct share *share_create(struct clock *clock, const struct feed_store *store,
			   const struct feed_settings *settings,
			   const struct share_ops *ops, void *ctx)
{
	static const struct feed_ops feed_ops = {
		.snapshot_begin = on_begin,
		.snapshot_end = on_end,
		.record = on_record,
	};
	struct share *share = g_new0(struct share, 1);

	share->clock = clock;
	share->began = clock_now(clock);
	share->settings = *settings;
	share->ops = *ops;
	share->ctx = ctx;
	share->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)g_bytes_unref);
	share->feed = feed_create(clock, store, settings, &feed_ops, share);
	return share;
}

void share_destroy(struct share *share)
{
	if (!share)
		return;
	feed_destroy(share->feed);
	g_hash_table_destroy(share->values);
	g_free(share);
}

void share_tick(struct share *share, uint32_t rank)
{
	int64_t fresh = feed_fresh(share->feed);
	int64_t patience = (int64_t)MIN(rank, RANK_MAX) * SHARE_RANK_USEC;

	if (fresh == FEED_NEVER) {
		fresh = share->began;
		patience += START_USEC;
	} else if (rank > 0 || share->settings.wait_usec == 0) {
		/* A read that waits is begun at once by the first. */
		patience += SHARE_PATIENCE_USEC;
	}
	if (clock_now(share->clock) - fresh >= patience)
		feed_poll(share->feed);
}

void share_hurry(struct share *share)
{
	feed_hurry(share->feed);
}

void share_word(const struct share *share, struct share_word *word)
{
	int64_t fresh = feed_fresh(share->feed);

	word->next = feed_position(share->feed);
	word->changed = share->changed;
	word->age_usec =
		fresh == FEED_NEVER ? -1 : clock_now(share->clock) - fresh;
}

bool share_hear(struct share *share, const struct share_word *word)
{
	uint64_t position = feed_position(share->feed);

	if (word->next == 0 || word->age_usec < 0)
		return false;
	if (position == 0 || word->changed > position)
		return true;
	feed_advance(share->feed, word->next,
		     clock_now(share->clock) - word->age_usec);
	return false;
}

void share_pack(const struct share *share, GByteArray *out)
{
	struct share_word word;
	msgpack_packer packer;
	GHashTableIter iter;
	const char *key;
	GBytes *value;

	share_word(share, &word);
	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, FIELDS);
	msgpack_pack_uint64(&packer, word.next);
	msgpack_pack_uint64(&packer, word.changed);
	msgpack_pack_int64(&packer, word.age_usec);
	msgpack_pack_array(&packer, g_hash_table_size(share->values));
	g_hash_table_iter_init(&iter, share->values);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key,
				      (gpointer *)&value)) {
		gsize size;
		const void *data = g_bytes_get_data(value, &size);

		msgpack_pack_array(&packer, 2);
		pack_text(&packer, key);
		msgpack_pack_bin(&packer, size);
		msgpack_pack_bin_body(&packer, data, size);
	}
}

static bool values_are_sound(const msgpack_object *list)
{
	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		const msgpack_object *item = &list->via.array.ptr[i];
		char key[256];

		if (item->type != MSGPACK_OBJECT_ARRAY ||
		    item->via.array.size != 2 ||
		    !unpack_text(&item->via.array.ptr[0], key, sizeof(key)) ||
		    item->via.array.ptr[1].type != MSGPACK_OBJECT_BIN)
			return false;
	}
	return true;
}

static bool copy_read(const msgpack_object *object, struct share_word *word,
		      const msgpack_object **values)
{
	const msgpack_object *fields;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != FIELDS)
		return false;
	fields = object->via.array.ptr;
	if (fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[2].via.u64 > INT64_MAX / 2)
		return false;
	word->next = fields[0].via.u64;
	word->changed = fields[1].via.u64;
	word->age_usec = (int64_t)fields[2].via.u64;
	*values = &fields[3];
	return word->next > 0 && values_are_sound(*values);
}

static void copy_take(struct share *share, const struct share_word *word,
		      const msgpack_object *values)
{
	on_begin(share);
	for (uint32_t i = 0; i < values->via.array.size; i++) {
		const msgpack_object *item =
			values->via.array.ptr[i].via.array.ptr;
		char key[256];

		(void)unpack_text(&item[0], key, sizeof(key));
		value_take(share, word->next - 1, key, item[1].via.bin.ptr,
			   item[1].via.bin.size);
	}
	if (share->ops.end)
		share->ops.end(share->ctx);
	share->changed = word->changed;
}

bool share_unpack(struct share *share, const void *data, size_t size,
		  struct error *err)
{
	const msgpack_object *values = NULL;
	struct share_word word = {0};
	msgpack_unpacked unpacked;
	bool good;

	msgpack_unpacked_init(&unpacked);
	good = message_unpack(&unpacked, data, size, err);
	if (good && !copy_read(&unpacked.data, &word, &values))
		good = error_set(err, RESULT_BAD_MESSAGE,
				 "no copy of the stream %s",
				 share->settings.stream);
	if (good && values &&
	    feed_advance(share->feed, word.next,
			 clock_now(share->clock) - word.age_usec))
		copy_take(share, &word, values);
	msgpack_unpacked_destroy(&unpacked);
	return good;
}
