#include "forward/share.h"

#include <msgpack.h>

#include "common/log.h"
#include "common/pack.h"
#include "common/unpack.h"

/* A copy that a peer has told of is on its way for so long at the most; and at
 * a start it is waited for no longer than the second. */
#define OFFER_USEC (3 * USEC_PER_SEC)
#define OFFERS_USEC (8 * USEC_PER_SEC)
/* How much older than it says what a peer tells of its copy is taken to be: the
 * way, and the queue of a busy instance. Words that are told back and forth
 * would stay as young as they are. */
#define HOP_USEC (20 * USEC_PER_MSEC)
/* Reads no further apart are those of one reader. */
#define READ_PAUSE_USEC (1 * USEC_PER_SEC)
#define FIELDS 6
#define VALUE_FIELDS 3
/* Changes that are remembered, for peers that are not far behind; to others the
 * whole copy is sent. */
#define CHANGES_MAX 4096u

struct share {
	struct clock *clock;
	int64_t began;	 /* or the peers were listed */
	int64_t offered; /* when a peer told of a copy last */
	int64_t read;	 /* when this instance read the store last; 0: never */
	bool listed;
	struct feed *feed;
	struct feed_settings settings;
	struct share_ops ops;
	void *ctx;
	GHashTable *values; /* key to struct value */
	GHashTable *before; /* values before the snapshot being read, or NULL */
	GArray *changes;    /* struct change, by offset */
	uint64_t floor;	    /* changes before it are not told apart */
	uint64_t changed;
};

struct value {
	GBytes *data;
	uint64_t changed; /* offset of the record that changed it last */
};

/* A key that has changed; it may have changed again since, or be dropped. */
struct change {
	char *key;
	uint64_t offset;
};

static void value_free(gpointer data)
{
	struct value *value = data;

	g_bytes_unref(value->data);
	g_free(value);
}

static void change_clear(gpointer data)
{
	struct change *change = data;

	g_free(change->key);
}

static const struct change *change_at(const struct share *share, guint i)
{
	return &g_array_index(share->changes, struct change, i);
}

static void change_note(struct share *share, const char *key, uint64_t offset)
{
	struct change change = {g_strdup(key), offset};
	guint at = share->changes->len;

	if (at >= CHANGES_MAX) {
		share->floor = change_at(share, CHANGES_MAX / 2)->offset + 1;
		g_array_remove_range(share->changes, 0, CHANGES_MAX / 2 + 1);
		at = share->changes->len;
	}
	/* Those of a copy come in order, but for what was dropped. */
	while (at > 0 && change_at(share, at - 1)->offset > offset)
		at--;
	g_array_insert_val(share->changes, at, change);
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

static bool is_repeated(const struct share *share, const struct value *known,
			const void *data, size_t size)
{
	gsize before;
	const void *old = g_bytes_get_data(known->data, &before);

	return share->ops.repeats &&
	       share->ops.repeats(share->ctx, old, before, data, size);
}

static void value_take(struct share *share, uint64_t offset, const char *key,
		       const void *data, size_t size)
{
	const struct value *known = g_hash_table_lookup(share->values, key);
	enum share_effect effect;
	bool is_new;

	if (data && known && is_repeated(share, known, data, size))
		return;
	effect = share->ops.value(share->ctx, offset, key, data, size);
	if (effect == SHARE_REFUSED && (known || value_restore(share, key)))
		return;
	is_new = effect == SHARE_CHANGED || !known;
	if (is_new || !data)
		change_note(share, key, offset);
	if (data)
		value_set(share, key, data, size,
			  is_new ? offset : known->changed);
	else
		g_hash_table_remove(share->values, key);
	if (effect == SHARE_CHANGED)
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
	g_array_set_size(share->changes, 0);
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
	share->settings.on_demand = true;
	share->ops = *ops;
	share->ctx = ctx;
	share->values = values_create();
	share->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	g_array_set_clear_func(share->changes, change_clear);
	share->feed =
		feed_create(clock, store, &share->settings, &feed_ops, share);
	return share;
}

void share_destroy(struct share *share)
{
	if (!share)
		return;
	feed_destroy(share->feed);
	before_drop(share);
	g_hash_table_destroy(share->values);
	g_array_unref(share->changes);
	g_free(share);
}

static bool has_copy(const struct share *share)
{
	return feed_fresh(share->feed) != FEED_NEVER;
}

void share_start(struct share *share, uint32_t lower)
{
	share->listed = true;
	share->began = clock_now(share->clock);
	if (!has_copy(share) && lower < SHARE_STARTERS)
		feed_poll(share->feed);
}

void share_offered(struct share *share)
{
	share->offered = clock_now(share->clock);
}

/* Whether a first copy is about to come from a peer. */
static bool is_coming(const struct share *share)
{
	int64_t now = clock_now(share->clock);

	return !has_copy(share) && share->offered > 0 &&
	       now - share->offered < OFFER_USEC &&
	       now - share->began < OFFERS_USEC;
}

static struct reader_state reader_state(const struct share *share)
{
	return (struct reader_state){
		.has_copy = has_copy(share),
		.fresh = has_copy(share) ? feed_fresh(share->feed)
					 : share->began,
		.listed = share->listed,
		.waits = share->settings.wait_usec > 0,
		.lag = feed_lag(share->feed),
		.failing = feed_failing(share->feed),
		.failed = feed_failed_at(share->feed),
		.backoff = feed_backoff(share->feed),
		.seed = share->settings.seed,
	};
}

/* Once, when this instance begins to read for others. */
static void read_log(struct share *share, const struct reader_state *state,
		     const struct reader_place *place)
{
	int64_t now = clock_now(share->clock);
	int64_t patience = reader_patience(state, place, now);
	bool goes_on = share->read > 0 && now - share->read < READ_PAUSE_USEC;

	share->read = now;
	if (!goes_on)
		log_event(LOG_INFO, "store_read_begun",
			  LOG_S("stream", share->settings.stream),
			  LOG_D("rank", place->rank),
			  LOG_D("storeless", place->storeless),
			  LOG_D("age_ms", (now - state->fresh) / USEC_PER_MSEC),
			  LOG_D("patience_ms", patience / USEC_PER_MSEC));
}

void share_tick(struct share *share, const struct reader_place *place)
{
	struct reader_state state = reader_state(share);

	if (reader_is_due(&state, place, clock_now(share->clock)) &&
	    !is_coming(share) && feed_poll(share->feed))
		read_log(share, &state, place);
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

/* The first of the changes from base on. */
static guint changes_from(const struct share *share, uint64_t base)
{
	guint first = share->changes->len;

	while (first > 0 && change_at(share, first - 1)->offset >= base)
		first--;
	return first;
}

/* The value of a key that has not changed again since; NULL when there is none.
 */
static const struct value *change_value(const struct share *share,
					const struct change *change)
{
	const struct value *value =
		g_hash_table_lookup(share->values, change->key);

	return value && value->changed == change->offset ? value : NULL;
}

static size_t value_size(const struct value *value)
{
	return value ? g_bytes_get_size(value->data) : 0;
}

size_t share_size(const struct share *share, uint64_t from)
{
	const struct value *value;
	GHashTableIter iter;
	size_t size = 0;

	if (has_since(share, from)) {
		for (guint i = changes_from(share, from);
		     i < share->changes->len; i++)
			size += value_size(
				change_value(share, change_at(share, i)));
		return size;
	}
	g_hash_table_iter_init(&iter, share->values);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&value))
		size += value_size(value);
	return size;
}

static void value_pack(msgpack_packer *packer, const char *key,
		       const struct value *value)
{
	gsize size;
	const void *data = g_bytes_get_data(value->data, &size);

	msgpack_pack_array(packer, VALUE_FIELDS);
	pack_text(packer, key);
	msgpack_pack_bin(packer, size);
	msgpack_pack_bin_body(packer, data, size);
	msgpack_pack_uint64(packer, value->changed);
}

static void all_pack(const struct share *share, msgpack_packer *packer)
{
	const struct value *value;
	const char *key;
	GHashTableIter iter;

	msgpack_pack_array(packer, g_hash_table_size(share->values));
	g_hash_table_iter_init(&iter, share->values);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key,
				      (gpointer *)&value))
		value_pack(packer, key, value);
	msgpack_pack_array(packer, 0);
}

static void changes_pack(const struct share *share, uint64_t base,
			 msgpack_packer *packer)
{
	guint first = changes_from(share, base);
	uint32_t values = 0;
	uint32_t dropped = 0;

	for (guint i = first; i < share->changes->len; i++) {
		const struct change *change = change_at(share, i);

		values += change_value(share, change) != NULL;
		dropped += !g_hash_table_contains(share->values, change->key);
	}
	msgpack_pack_array(packer, values);
	for (guint i = first; i < share->changes->len; i++) {
		const struct change *change = change_at(share, i);
		const struct value *value = change_value(share, change);

		if (value)
			value_pack(packer, change->key, value);
	}
	msgpack_pack_array(packer, dropped);
	for (guint i = first; i < share->changes->len; i++)
		if (!g_hash_table_contains(share->values,
					   change_at(share, i)->key))
			pack_text(packer, change_at(share, i)->key);
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
	if (base == 0)
		all_pack(share, &packer);
	else
		changes_pack(share, base, &packer);
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
