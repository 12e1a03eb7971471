#include "forward/share.h"

#include <msgpack.h>

#include "common/log.h"
#include "common/pack.h"
#include "common/unpack.h"

#define RANK_MAX 2u
/* The same while an instance has no copy at all. Where all have just started,
 * copies spread to everybody within some three seconds; with 2 here 300
 * instances read a list of 3,000 servers, 450 MB, out of the store at once. */
#define START_RANK_MAX 10u
/* Peers are heard of within this time of being listed, if there are any. */
#define START_USEC (150 * USEC_PER_MSEC)
/* So long the list of peers is waited for, or all that start at once read the
 * store before they know of each other. */
#define LISTED_USEC (1 * USEC_PER_SEC)
/* How much older than it says what a peer tells of its copy is taken to be: the
 * way, 1 ms between data centres, and the queue of a busy instance. Taken as
 * said, words that are told back and forth stay as young as they are: with 600
 * a second a copy looked 0.7 s old after 3.4 s, nobody read the store, and a
 * server that left got a request 3.2 s later. */
#define HOP_USEC (20 * USEC_PER_MSEC)
/* From so many instances of a data centre on that the store does not answer,
 * the others take turns, this time apart: whoever is answered first tells all.
 */
#define STORELESS_LEAST 2u
#define TURN_USEC (300 * USEC_PER_MSEC)
/* A busy store that hands out a long list page by page fails some pages: with
 * as many turns as instances, 300 that started at once served after 30 s. */
#define TURNS_WITHOUT_COPY 4u
#define FIELDS 6
#define VALUE_FIELDS 3
/* Dropped keys that are remembered, for peers that are not far behind. */
#define DROPPED_MAX 1024u

struct share {
	struct clock *clock;
	int64_t began; /* or the peers were listed */
	bool listed;
	struct feed *feed;
	struct feed_settings settings;
	struct share_ops ops;
	void *ctx;
	GHashTable *values; /* key to struct value */
	GHashTable *before; /* values before the snapshot being read, or NULL */
	GArray *dropped;    /* struct dropped, oldest first */
	uint64_t floor;	    /* changes before it are not told apart */
	uint64_t changed;
};

struct value {
	GBytes *data;
	uint64_t changed; /* offset of the record that changed it last */
};

struct dropped {
	char *key;
	uint64_t offset;
};

static void value_free(gpointer data)
{
	struct value *value = data;

	g_bytes_unref(value->data);
	g_free(value);
}

static void dropped_clear(gpointer data)
{
	struct dropped *dropped = data;

	g_free(dropped->key);
}

static void drop_note(struct share *share, const char *key, uint64_t offset)
{
	struct dropped dropped = {g_strdup(key), offset};

	if (share->dropped->len >= DROPPED_MAX) {
		share->floor = g_array_index(share->dropped, struct dropped, 0)
				       .offset +
			       1;
		g_array_remove_index(share->dropped, 0);
	}
	g_array_append_val(share->dropped, dropped);
}

static void value_set(struct share *share, const char *key, const void *data,
		      size_t size, uint64_t changed)
{
	struct value *value = g_new0(struct value, 1);

	value->data = g_bytes_new(data, size);
	value->changed = changed;
	g_hash_table_replace(share->values, g_strdup(key), value);
}

/* Keeps what a key had before the snapshot that is being read. */
static bool value_restore(struct share *share, const char *key)
{
	gpointer name;
	gpointer value;

	if (!share->before ||
	    !g_hash_table_steal_extended(share->before, key, &name, &value))
		return false;
	g_hash_table_replace(share->values, name, value);
	return true;
}

static void value_take(struct share *share, uint64_t offset, const char *key,
		       const void *data, size_t size)
{
	const struct value *known = g_hash_table_lookup(share->values, key);
	enum share_effect effect =
		share->ops.value(share->ctx, offset, key, data, size);
	bool changes = effect == SHARE_CHANGED;
	uint64_t changed = changes || !known ? offset : known->changed;

	if (effect == SHARE_REFUSED && (known || value_restore(share, key)))
		return;
	if (data)
		value_set(share, key, data, size, changed);
	else if (g_hash_table_remove(share->values, key))
		drop_note(share, key, offset);
	if (changes)
		share->changed = MAX(share->changed, offset + 1);
}

static void on_record(void *ctx, const struct feed_record *record)
{
	value_take(ctx, record->offset, record->key, record->value,
		   record->size);
}

static GHashTable *values_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     value_free);
}

static void before_drop(struct share *share)
{
	if (share->before)
		g_hash_table_destroy(share->before);
	share->before = NULL;
}

static void on_begin(void *ctx)
{
	struct share *share = ctx;

	/* One that was broken off has not replaced anything. */
	if (share->before)
		g_hash_table_destroy(share->values);
	else
		share->before = share->values;
	share->values = values_create();
	g_array_set_size(share->dropped, 0);
	if (share->ops.begin)
		share->ops.begin(share->ctx);
}

/* What is no longer in a snapshot has changed too, at an offset not known. */
static void on_end(void *ctx)
{
	struct share *share = ctx;

	before_drop(share);
	share->changed = MAX(share->changed, feed_position(share->feed));
	share->floor = share->changed;
	if (share->ops.end)
		share->ops.end(share->ctx);
}

bool share_failing(const struct share *share)
{
	return feed_failing(share->feed);
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
	share->values = values_create();
	share->dropped = g_array_new(FALSE, FALSE, sizeof(struct dropped));
	g_array_set_clear_func(share->dropped, dropped_clear);
	share->feed = feed_create(clock, store, settings, &feed_ops, share);
	return share;
}

void share_destroy(struct share *share)
{
	if (!share)
		return;
	feed_destroy(share->feed);
	before_drop(share);
	g_hash_table_destroy(share->values);
	g_array_unref(share->dropped);
	g_free(share);
}

void share_start(struct share *share, uint32_t lower)
{
	share->listed = true;
	share->began = clock_now(share->clock);
	if (feed_fresh(share->feed) == FEED_NEVER && lower < SHARE_STARTERS)
		feed_poll(share->feed);
}

/* How many take turns with an instance while the store answers none of those
 * near that asked; one without a copy cannot serve, so it waits for few. */
static uint32_t turns_of(const struct share *share,
			 const struct share_place *place)
{
	if (place->storeless < STORELESS_LEAST)
		return 0;
	if (feed_fresh(share->feed) == FEED_NEVER)
		return MIN(place->storeless, TURNS_WITHOUT_COPY);
	return place->storeless;
}

void share_tick(struct share *share, const struct share_place *place)
{
	int64_t fresh = feed_fresh(share->feed);
	uint32_t rank = place->rank;
	uint32_t most = fresh == FEED_NEVER ? START_RANK_MAX : RANK_MAX;
	uint32_t turns = turns_of(share, place);
	int64_t patience = (int64_t)MIN(rank, most) * SHARE_RANK_USEC +
			   (int64_t)MIN(rank, turns) * TURN_USEC;

	feed_set_pause(share->feed, (int64_t)turns * TURN_USEC);
	if (fresh == FEED_NEVER) {
		fresh = share->began;
		patience += share->listed ? START_USEC : LISTED_USEC;
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
	if (word->age_usec < 0)
		return false;
	if (feed_fresh(share->feed) == FEED_NEVER ||
	    word->changed > feed_position(share->feed))
		return true;
	feed_advance(share->feed, word->next,
		     clock_now(share->clock) - word->age_usec - HOP_USEC);
	return false;
}

uint64_t share_position(const struct share *share)
{
	return feed_position(share->feed);
}

/* Whether what changed since from can be told. */
static bool has_since(const struct share *share, uint64_t from)
{
	return from > 0 && from >= share->floor;
}

static bool is_since(const struct value *value, uint64_t base)
{
	return base == 0 || value->changed >= base;
}

static uint32_t values_since(const struct share *share, uint64_t base)
{
	const struct value *value;
	GHashTableIter iter;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, share->values);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&value))
		count += is_since(value, base);
	return count;
}

size_t share_size(const struct share *share, uint64_t from)
{
	uint64_t base = has_since(share, from) ? from : 0;
	const struct value *value;
	GHashTableIter iter;
	size_t size = 0;

	g_hash_table_iter_init(&iter, share->values);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&value))
		size += is_since(value, base) ? g_bytes_get_size(value->data)
					      : 0;
	return size;
}

static void values_pack(const struct share *share, uint64_t base,
			msgpack_packer *packer)
{
	const struct value *value;
	const char *key;
	GHashTableIter iter;

	msgpack_pack_array(packer, values_since(share, base));
	g_hash_table_iter_init(&iter, share->values);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key,
				      (gpointer *)&value)) {
		gsize size;
		const void *data = g_bytes_get_data(value->data, &size);

		if (!is_since(value, base))
			continue;
		msgpack_pack_array(packer, VALUE_FIELDS);
		pack_text(packer, key);
		msgpack_pack_bin(packer, size);
		msgpack_pack_bin_body(packer, data, size);
		msgpack_pack_uint64(packer, value->changed);
	}
}

static void dropped_pack(const struct share *share, uint64_t base,
			 msgpack_packer *packer)
{
	guint first = share->dropped->len;

	while (base > 0 && first > 0 &&
	       g_array_index(share->dropped, struct dropped, first - 1)
			       .offset >= base)
		first--;
	msgpack_pack_array(packer, share->dropped->len - first);
	for (guint i = first; i < share->dropped->len; i++)
		pack_text(packer,
			  g_array_index(share->dropped, struct dropped, i).key);
}

void share_pack(const struct share *share, uint64_t from, GByteArray *out)
{
	uint64_t base = has_since(share, from) ? from : 0;
	struct share_word word;
	msgpack_packer packer;

	share_word(share, &word);
	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, FIELDS);
	msgpack_pack_uint64(&packer, word.next);
	msgpack_pack_uint64(&packer, word.changed);
	msgpack_pack_int64(&packer, word.age_usec);
	msgpack_pack_uint64(&packer, base);
	values_pack(share, base, &packer);
	dropped_pack(share, base, &packer);
}

static bool value_is_sound(const msgpack_object *item)
{
	const msgpack_object *fields = item->via.array.ptr;
	char key[256];

	return item->type == MSGPACK_OBJECT_ARRAY &&
	       item->via.array.size == VALUE_FIELDS &&
	       unpack_text(&fields[0], key, sizeof(key)) &&
	       fields[1].type == MSGPACK_OBJECT_BIN &&
	       fields[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool key_is_sound(const msgpack_object *item)
{
	char key[256];

	return unpack_text(item, key, sizeof(key));
}

static bool list_is_sound(const msgpack_object *list,
			  bool (*sound)(const msgpack_object *item))
{
	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++)
		if (!sound(&list->via.array.ptr[i]))
			return false;
	return true;
}

/* What a peer packed; the lists point into the unpacked bytes. */
struct copy {
	struct share_word word;
	uint64_t base;
	const msgpack_object *values;
	const msgpack_object *dropped;
};

static bool copy_read(const msgpack_object *object, struct copy *copy)
{
	const msgpack_object *fields;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != FIELDS)
		return false;
	fields = object->via.array.ptr;
	for (int i = 0; i < FIELDS - 2; i++)
		if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    fields[i].via.u64 > INT64_MAX / 2)
			return false;
	copy->word.next = fields[0].via.u64;
	copy->word.changed = fields[1].via.u64;
	copy->word.age_usec = (int64_t)fields[2].via.u64;
	copy->base = fields[3].via.u64;
	copy->values = &fields[4];
	copy->dropped = &fields[5];
	return list_is_sound(copy->values, value_is_sound) &&
	       list_is_sound(copy->dropped, key_is_sound);
}

static void copy_take(struct share *share, const struct copy *copy)
{
	const msgpack_object_array *values = &copy->values->via.array;
	const msgpack_object_array *dropped = &copy->dropped->via.array;
	char key[256];

	if (copy->base == 0)
		on_begin(share);
	for (uint32_t i = 0; i < values->size; i++) {
		const msgpack_object *item = values->ptr[i].via.array.ptr;

		(void)unpack_text(&item[0], key, sizeof(key));
		value_take(share, item[2].via.u64, key, item[1].via.bin.ptr,
			   item[1].via.bin.size);
	}
	for (uint32_t i = 0; i < dropped->size; i++) {
		(void)unpack_text(&dropped->ptr[i], key, sizeof(key));
		value_take(share, copy->word.next - 1, key, NULL, 0);
	}
	if (copy->base == 0) {
		share->floor = copy->word.next;
		before_drop(share);
		if (share->ops.end)
			share->ops.end(share->ctx);
	}
	share->changed = copy->word.changed;
}

/* What changed since a base that we have not reached leaves a hole. */
static bool copy_fits(const struct share *share, const struct copy *copy)
{
	return copy->base == 0 || copy->base <= feed_position(share->feed);
}

bool share_unpack(struct share *share, const void *data, size_t size,
		  struct error *err)
{
	struct copy copy = {0};
	msgpack_unpacked unpacked;
	bool good;

	msgpack_unpacked_init(&unpacked);
	good = message_unpack(&unpacked, data, size, err);
	if (good && !copy_read(&unpacked.data, &copy))
		good = error_set(err, RESULT_BAD_MESSAGE,
				 "no copy of the stream %s",
				 share->settings.stream);
	if (good && copy.values && copy_fits(share, &copy) &&
	    feed_advance(share->feed, copy.word.next,
			 clock_now(share->clock) - copy.word.age_usec -
				 HOP_USEC))
		copy_take(share, &copy);
	msgpack_unpacked_destroy(&unpacked);
	return good;
}
