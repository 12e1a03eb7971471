#include "forward/mirror.h"

#include <msgpack.h>
#include <string.h>

#include "common/log.h"
#include "common/pack.h"
#include "common/position.h"
#include "common/unpack.h"
#include "forward/merge.h"

/* An instance without a copy waits this long for one that a peer has announced,
 * and at most FETCH_WAIT_MAX_USEC after its start, before it reads the store
 * itself. */
#define FETCH_WAIT_USEC (3 * USEC_PER_SEC)
#define FETCH_WAIT_MAX_USEC (8 * USEC_PER_SEC)
/* Added to the age that a peer announces, for the network and the queue of a
 * busy instance. Without it, a status that two peers send back and forth would
 * never grow older. */
#define STATUS_DELAY_USEC (20 * USEC_PER_MSEC)
/* Reads that follow each other within this time belong to one period of
 * reading, which is logged once. */
#define READ_BREAK_USEC (1 * USEC_PER_SEC)
/* A whole copy does not show what was written and dropped since the previous
 * one. Nothing is, within this time: servers that leave are listed for longer.
 */
#define WHOLE_COPY_GAP_USEC (2 * USEC_PER_SEC)
/* The store carries out writes at most this late. A writer whose values seem
 * older than that has started again. */
#define LATE_USEC (10 * USEC_PER_SEC)
#define COPY_FIELDS 6
#define VALUE_FIELDS 3
/* Number of changes kept for peers that are slightly behind. Others receive the
 * whole copy. */
#define CHANGES_MAX 4096u

struct mirror {
	struct clock *clock;
	int64_t started_at;	  /* the start, or when the peers were listed */
	int64_t fetch_offered_at; /* when a peer last announced a newer copy */
	int64_t read_at;	  /* last read of the store; 0: never */
	int64_t synced_at;	  /* feed_synced_at() at the last on_synced() */
	bool peers_listed;
	struct feed *feed;
	struct feed_settings settings;
	struct mirror_ops ops;
	void *ctx;
	GHashTable *values;   /* key to struct value */
	GHashTable *previous; /* before a running snapshot, or NULL */
	GArray *changes;      /* struct change, by offset */
	uint64_t delta_floor; /* deltas are possible from this offset on */
	uint64_t changed;
	uint64_t era;
	struct merge *merge;
};

struct value {
	GBytes *data;
	uint64_t changed;   /* offset of the last record that changed it */
	int64_t written_at; /* when the last record of it was received */
};

/* A changed key. It may have changed again since, or have been dropped. */
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

static const struct change *change_at(const struct mirror *mirror, guint i)
{
	return &g_array_index(mirror->changes, struct change, i);
}

static void change_add(struct mirror *mirror, const char *key, uint64_t offset)
{
	struct change change = {g_strdup(key), offset};
	guint at = mirror->changes->len;

	if (at >= CHANGES_MAX) {
		mirror->delta_floor =
			change_at(mirror, CHANGES_MAX / 2)->offset + 1;
		g_array_remove_range(mirror->changes, 0, CHANGES_MAX / 2 + 1);
		at = mirror->changes->len;
	}
	/* The changes of a delta arrive in order of offset, except for dropped
	 * keys. */
	while (at > 0 && change_at(mirror, at - 1)->offset > offset)
		at--;
	g_array_insert_val(mirror->changes, at, change);
}

static void value_set(struct mirror *mirror, const char *key, const void *data,
		      size_t size, uint64_t changed)
{
	struct value *value = g_new0(struct value, 1);

	value->data = g_bytes_new(data, size);
	value->changed = changed;
	value->written_at = clock_now(mirror->clock);
	g_hash_table_replace(mirror->values, g_strdup(key), value);
}

/* Restores the value that a key had before the snapshot in progress. */
static bool value_restore(struct mirror *mirror, const char *key)
{
	gpointer name;
	gpointer value;

	if (!mirror->previous ||
	    !g_hash_table_steal_extended(mirror->previous, key, &name, &value))
		return false;
	g_hash_table_replace(mirror->values, name, value);
	return true;
}

static bool is_merging(const struct mirror *mirror)
{
	return mirror->previous &&
	       merge_active(mirror->merge, clock_now(mirror->clock));
}

/* Keeps the value that a key had before the snapshot in progress. */
static void value_keep(struct mirror *mirror, const char *key)
{
	const struct value *value;
	const void *data;
	gsize size;

	if (!value_restore(mirror, key))
		return;
	value = g_hash_table_lookup(mirror->values, key);
	data = g_bytes_get_data(value->data, &size);
	(void)mirror->ops.value(mirror->ctx, value->changed, key, data, size);
}

/* Keeps what a snapshot lacks until its writers had time to write again. */
static void missing_keep(struct mirror *mirror)
{
	g_autoptr(GList) keys = g_hash_table_get_keys(mirror->previous);

	for (GList *link = keys; link; link = link->next) {
		g_autofree char *key = g_strdup(link->data);

		if (g_hash_table_contains(mirror->values, key))
			continue;
		value_keep(mirror, key);
		merge_missing(mirror->merge, key);
	}
}

/* Whether a value of the snapshot in progress is taken; if not, the one known
 * before stays, or none. */
static bool snapshot_takes(struct mirror *mirror, const char *key,
			   const void *data, size_t size)
{
	const struct value *before = g_hash_table_lookup(mirror->previous, key);

	if (!data || merge_takes(mirror->merge, key,
				 before ? before->data : NULL, data, size))
		return true;
	value_keep(mirror, key);
	return false;
}

static bool is_repeated(const struct mirror *mirror, const struct value *known,
			const void *data, size_t size)
{
	gsize before;
	const void *old = g_bytes_get_data(known->data, &before);

	return mirror->ops.repeats &&
	       mirror->ops.repeats(mirror->ctx, old, before, data, size);
}

/* The content is the same, but it tells when it was written. */
static void value_renew(const struct mirror *mirror, struct value *known,
			const void *data, size_t size)
{
	g_bytes_unref(known->data);
	known->data = g_bytes_new(data, size);
	known->written_at = clock_now(mirror->clock);
}

/* The value of the key that was received last, unless that is long ago. */
static GBytes *recent_value(const struct mirror *mirror, const char *key)
{
	int64_t since = clock_now(mirror->clock) - LATE_USEC;
	const struct value *value = g_hash_table_lookup(mirror->values, key);

	if (!value && mirror->previous)
		value = g_hash_table_lookup(mirror->previous, key);
	if (value)
		return value->written_at > since ? value->data : NULL;
	return merge_dropped_since(mirror->merge, key, since);
}

static bool is_outdated(const struct mirror *mirror, const char *key,
			const void *data, size_t size)
{
	GBytes *before =
		mirror->ops.outdated ? recent_value(mirror, key) : NULL;
	gsize before_size;
	const void *old;

	if (!data || !before)
		return false;
	old = g_bytes_get_data(before, &before_size);
	return mirror->ops.outdated(mirror->ctx, key, old, before_size, data,
				    size);
}

static void value_apply(struct mirror *mirror, uint64_t offset, const char *key,
			const void *data, size_t size)
{
	struct value *known = g_hash_table_lookup(mirror->values, key);
	enum mirror_effect effect;
	bool is_change;
	bool is_confirmed;

	if (is_merging(mirror) && !snapshot_takes(mirror, key, data, size))
		return;
	if (is_outdated(mirror, key, data, size)) {
		log_event(LOG_NOTICE, "record_late", LOG_S("key", key),
			  LOG_D("offset", position_offset(offset)));
		value_keep(mirror, key);
		return;
	}
	is_confirmed = merge_written(mirror->merge, key);
	if (!data && known)
		merge_dropped(mirror->merge, key, known->data,
			      clock_now(mirror->clock));
	if (data && known && !is_confirmed &&
	    is_repeated(mirror, known, data, size)) {
		value_renew(mirror, known, data, size);
		return;
	}
	effect = mirror->ops.value(mirror->ctx, offset, key, data, size);
	if (effect == MIRROR_REJECTED && (known || value_restore(mirror, key)))
		return;
	/* Peers keep the key only if they learn that it was written again. */
	if (is_confirmed && effect == MIRROR_UNCHANGED)
		effect = MIRROR_CHANGED;
	is_change = effect == MIRROR_CHANGED || !known;
	if (is_change || !data)
		change_add(mirror, key, offset);
	if (data)
		value_set(mirror, key, data, size,
			  is_change ? offset : known->changed);
	else
		g_hash_table_remove(mirror->values, key);
	if (effect == MIRROR_CHANGED)
		mirror->changed = MAX(mirror->changed, offset + 1);
}

static void on_record(void *ctx, const struct feed_record *record)
{
	value_apply(ctx, record->offset, record->key, record->value,
		    record->size);
}

static GHashTable *values_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     value_free);
}

static void previous_drop(struct mirror *mirror)
{
	if (mirror->previous)
		g_hash_table_destroy(mirror->previous);
	mirror->previous = NULL;
}

static void on_begin(void *ctx)
{
	struct mirror *mirror = ctx;

	/* An interrupted snapshot has replaced nothing: its values are
	 * discarded. */
	if (mirror->previous)
		g_hash_table_destroy(mirror->values);
	else
		mirror->previous = mirror->values;
	mirror->values = values_create();
	g_array_set_size(mirror->changes, 0);
	if (feed_era(mirror->feed) > mirror->era &&
	    g_hash_table_size(mirror->previous) > 0) {
		merge_start(mirror->merge, clock_now(mirror->clock));
		log_event(LOG_NOTICE, "store_restored",
			  LOG_S("stream", mirror->settings.stream),
			  LOG_D("era", feed_era(mirror->feed)),
			  LOG_D("before", mirror->era));
	}
	mirror->era = feed_era(mirror->feed);
	if (mirror->ops.begin)
		mirror->ops.begin(mirror->ctx);
}

static void changes_missed(struct mirror *mirror)
{
	log_event(LOG_NOTICE, "changes_missed",
		  LOG_S("stream", mirror->settings.stream));
	if (mirror->ops.missed)
		mirror->ops.missed(mirror->ctx);
}

static void whole_copy_check(struct mirror *mirror)
{
	if (mirror->synced_at != FEED_NEVER &&
	    feed_synced_at(mirror->feed) - mirror->synced_at >
		    WHOLE_COPY_GAP_USEC)
		changes_missed(mirror);
}

/* Whether the key is known, or was until it was dropped. */
static bool key_was_known(const struct mirror *mirror, const char *key)
{
	if (g_hash_table_contains(mirror->values, key))
		return true;
	for (guint i = mirror->changes->len; i > 0; i--)
		if (strcmp(change_at(mirror, i - 1)->key, key) == 0)
			return true;
	return false;
}

/* Keys missing from the snapshot have been dropped at unknown offsets, so no
 * deltas are possible from before its end. */
static void on_end(void *ctx)
{
	struct mirror *mirror = ctx;

	if (is_merging(mirror))
		missing_keep(mirror);
	previous_drop(mirror);
	whole_copy_check(mirror);
	mirror->changed = MAX(mirror->changed, feed_position(mirror->feed));
	mirror->delta_floor = mirror->changed;
	if (mirror->ops.end)
		mirror->ops.end(mirror->ctx);
}

static void on_synced(void *ctx)
{
	struct mirror *mirror = ctx;

	mirror->synced_at = feed_synced_at(mirror->feed);
	if (mirror->ops.synced)
		mirror->ops.synced(mirror->ctx);
}

bool mirror_failing(const struct mirror *mirror)
{
	return feed_failing(mirror->feed);
}

struct mirror *mirror_create(struct clock *clock,
			     const struct feed_store *store,
			     const struct feed_settings *settings,
			     const struct mirror_ops *ops, void *ctx)
{
	static const struct feed_ops feed_ops = {
		.snapshot_begin = on_begin,
		.snapshot_end = on_end,
		.record = on_record,
		.synced = on_synced,
	};
	struct mirror *mirror = g_new0(struct mirror, 1);

	mirror->clock = clock;
	mirror->started_at = clock_now(clock);
	mirror->synced_at = FEED_NEVER;
	mirror->settings = *settings;
	mirror->settings.on_demand = true;
	mirror->ops = *ops;
	mirror->ctx = ctx;
	mirror->values = values_create();
	mirror->merge = merge_create(ops->newer, ctx);
	mirror->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	g_array_set_clear_func(mirror->changes, change_clear);
	mirror->feed =
		feed_create(clock, store, &mirror->settings, &feed_ops, mirror);
	return mirror;
}

void mirror_destroy(struct mirror *mirror)
{
	if (!mirror)
		return;
	feed_destroy(mirror->feed);
	previous_drop(mirror);
	g_hash_table_destroy(mirror->values);
	merge_destroy(mirror->merge);
	g_array_unref(mirror->changes);
	g_free(mirror);
}

static bool has_copy(const struct mirror *mirror)
{
	return feed_synced_at(mirror->feed) != FEED_NEVER;
}

void mirror_start(struct mirror *mirror, uint32_t lower)
{
	mirror->peers_listed = true;
	mirror->started_at = clock_now(mirror->clock);
	if (!has_copy(mirror) && lower < MIRROR_STARTUP_READERS)
		feed_poll(mirror->feed);
}

void mirror_fetch_pending(struct mirror *mirror)
{
	mirror->fetch_offered_at = clock_now(mirror->clock);
}

/* Whether a peer is expected to deliver a first copy soon. */
static bool is_fetching(const struct mirror *mirror)
{
	int64_t now = clock_now(mirror->clock);

	return !has_copy(mirror) && mirror->fetch_offered_at > 0 &&
	       now - mirror->fetch_offered_at < FETCH_WAIT_USEC &&
	       now - mirror->started_at < FETCH_WAIT_MAX_USEC;
}

static struct reader_state reader_state(const struct mirror *mirror)
{
	return (struct reader_state){
		.has_copy = has_copy(mirror),
		.synced_at = has_copy(mirror) ? feed_synced_at(mirror->feed)
					      : mirror->started_at,
		.peers_listed = mirror->peers_listed,
		.long_poll = mirror->settings.wait_usec > 0,
		.latency = feed_latency(mirror->feed),
		.failing = feed_failing(mirror->feed),
		.failed_at = feed_failed_at(mirror->feed),
		.backoff = feed_backoff(mirror->feed),
		.seed = mirror->settings.seed,
	};
}

/* Logs the start of a period in which this instance reads the store for its
 * peers. */
static void read_log(struct mirror *mirror, const struct reader_state *state,
		     const struct reader_place *place)
{
	int64_t now = clock_now(mirror->clock);
	int64_t bound = reader_staleness_bound(state, place, now);
	bool continues =
		mirror->read_at > 0 && now - mirror->read_at < READ_BREAK_USEC;

	mirror->read_at = now;
	if (!continues)
		log_event(LOG_INFO, "store_read_begun",
			  LOG_S("stream", mirror->settings.stream),
			  LOG_D("rank", place->rank),
			  LOG_D("storeless", place->store_unreachable),
			  LOG_D("age_ms",
				(now - state->synced_at) / USEC_PER_MSEC),
			  LOG_D("patience_ms", bound / USEC_PER_MSEC));
}

/* Drops what was not written again since a snapshot lacked it. */
static void overdue_drop(struct mirror *mirror)
{
	GList *keys =
		merge_overdue(mirror->merge, feed_synced_at(mirror->feed));

	for (GList *link = keys; link; link = link->next)
		value_apply(mirror, feed_position(mirror->feed) - 1, link->data,
			    NULL, 0);
	g_list_free_full(keys, g_free);
}

void mirror_tick(struct mirror *mirror, const struct reader_place *place)
{
	struct reader_state state = reader_state(mirror);

	overdue_drop(mirror);

	if (reader_is_due(&state, place, clock_now(mirror->clock)) &&
	    !is_fetching(mirror) && feed_poll(mirror->feed))
		read_log(mirror, &state, place);
}

void mirror_refresh(struct mirror *mirror)
{
	feed_restart(mirror->feed);
}

void mirror_poll(struct mirror *mirror)
{
	feed_poll(mirror->feed);
}

void mirror_status(const struct mirror *mirror, struct mirror_status *status)
{
	int64_t synced_at = feed_synced_at(mirror->feed);

	status->next = feed_position(mirror->feed);
	status->changed = mirror->changed;
	status->age_usec = synced_at == FEED_NEVER
				   ? -1
				   : clock_now(mirror->clock) - synced_at;
}

bool mirror_merge_status(struct mirror *mirror,
			 const struct mirror_status *status)
{
	if (status->age_usec < 0)
		return false;
	if (feed_synced_at(mirror->feed) == FEED_NEVER ||
	    status->changed > feed_position(mirror->feed))
		return true;
	if (feed_advance(mirror->feed, status->next,
			 clock_now(mirror->clock) - status->age_usec -
				 STATUS_DELAY_USEC))
		on_synced(mirror);
	return false;
}

uint64_t mirror_position(const struct mirror *mirror)
{
	return feed_position(mirror->feed);
}

/* Whether the changes since offset from are still known. */
static bool has_changes_since(const struct mirror *mirror, uint64_t from)
{
	return from > 0 && from >= mirror->delta_floor;
}

/* Index of the first change at or after offset base. */
static guint changes_from(const struct mirror *mirror, uint64_t base)
{
	guint first = mirror->changes->len;

	while (first > 0 && change_at(mirror, first - 1)->offset >= base)
		first--;
	return first;
}

/* The value set by the change; NULL when its key has changed again or been
 * dropped. */
static const struct value *change_value(const struct mirror *mirror,
					const struct change *change)
{
	const struct value *value =
		g_hash_table_lookup(mirror->values, change->key);

	return value && value->changed == change->offset ? value : NULL;
}

static size_t value_size(const struct value *value)
{
	return value ? g_bytes_get_size(value->data) : 0;
}

size_t mirror_encoded_size(const struct mirror *mirror, uint64_t from)
{
	const struct value *value;
	GHashTableIter iter;
	size_t size = 0;

	if (has_changes_since(mirror, from)) {
		for (guint i = changes_from(mirror, from);
		     i < mirror->changes->len; i++)
			size += value_size(
				change_value(mirror, change_at(mirror, i)));
		return size;
	}
	g_hash_table_iter_init(&iter, mirror->values);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&value))
		size += value_size(value);
	return size;
}

static void value_encode(msgpack_packer *packer, const char *key,
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

static void values_encode(const struct mirror *mirror, msgpack_packer *packer)
{
	const struct value *value;
	const char *key;
	GHashTableIter iter;

	msgpack_pack_array(packer, g_hash_table_size(mirror->values));
	g_hash_table_iter_init(&iter, mirror->values);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key,
				      (gpointer *)&value))
		value_encode(packer, key, value);
	msgpack_pack_array(packer, 0);
}

static void changes_encode(const struct mirror *mirror, uint64_t base,
			   msgpack_packer *packer)
{
	guint first = changes_from(mirror, base);
	uint32_t values = 0;
	uint32_t dropped = 0;

	for (guint i = first; i < mirror->changes->len; i++) {
		const struct change *change = change_at(mirror, i);

		values += change_value(mirror, change) != NULL;
		dropped += !g_hash_table_contains(mirror->values, change->key);
	}
	msgpack_pack_array(packer, values);
	for (guint i = first; i < mirror->changes->len; i++) {
		const struct change *change = change_at(mirror, i);
		const struct value *value = change_value(mirror, change);

		if (value)
			value_encode(packer, change->key, value);
	}
	msgpack_pack_array(packer, dropped);
	for (guint i = first; i < mirror->changes->len; i++)
		if (!g_hash_table_contains(mirror->values,
					   change_at(mirror, i)->key))
			pack_text(packer, change_at(mirror, i)->key);
}

void mirror_encode(const struct mirror *mirror, uint64_t from, GByteArray *out)
{
	uint64_t base = has_changes_since(mirror, from) ? from : 0;
	struct mirror_status status;
	msgpack_packer packer;

	mirror_status(mirror, &status);
	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, COPY_FIELDS);
	msgpack_pack_uint64(&packer, status.next);
	msgpack_pack_uint64(&packer, status.changed);
	msgpack_pack_int64(&packer, status.age_usec);
	msgpack_pack_uint64(&packer, base);
	if (base == 0)
		values_encode(mirror, &packer);
	else
		changes_encode(mirror, base, &packer);
}

static bool value_is_valid(const msgpack_object *item)
{
	const msgpack_object *fields = item->via.array.ptr;
	char key[256];

	return item->type == MSGPACK_OBJECT_ARRAY &&
	       item->via.array.size == VALUE_FIELDS &&
	       unpack_text(&fields[0], key, sizeof(key)) &&
	       fields[1].type == MSGPACK_OBJECT_BIN &&
	       fields[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool key_is_valid(const msgpack_object *item)
{
	char key[256];

	return unpack_text(item, key, sizeof(key));
}

static bool list_is_valid(const msgpack_object *list,
			  bool (*valid)(const msgpack_object *item))
{
	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++)
		if (!valid(&list->via.array.ptr[i]))
			return false;
	return true;
}

/* A decoded copy. The lists point into the unpacked bytes. */
struct copy {
	struct mirror_status status;
	uint64_t base;
	const msgpack_object *values;
	const msgpack_object *dropped;
};

static bool copy_decode(const msgpack_object *object, struct copy *copy)
{
	const msgpack_object *fields;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != COPY_FIELDS)
		return false;
	fields = object->via.array.ptr;
	for (int i = 0; i < COPY_FIELDS - 2; i++)
		if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    fields[i].via.u64 > INT64_MAX / 2)
			return false;
	copy->status.next = fields[0].via.u64;
	copy->status.changed = fields[1].via.u64;
	copy->status.age_usec = (int64_t)fields[2].via.u64;
	copy->base = fields[3].via.u64;
	copy->values = &fields[4];
	copy->dropped = &fields[5];
	return list_is_valid(copy->values, value_is_valid) &&
	       list_is_valid(copy->dropped, key_is_valid);
}

static bool has_missed_keys(const struct mirror *mirror,
			    const msgpack_object_array *dropped)
{
	char key[256];

	for (uint32_t i = 0; i < dropped->size; i++) {
		(void)unpack_text(&dropped->ptr[i], key, sizeof(key));
		if (!key_was_known(mirror, key))
			return true;
	}
	return false;
}

static void copy_apply(struct mirror *mirror, const struct copy *copy)
{
	const msgpack_object_array *values = &copy->values->via.array;
	const msgpack_object_array *dropped = &copy->dropped->via.array;
	char key[256];

	if (copy->base == 0)
		on_begin(mirror);
	else if (has_missed_keys(mirror, dropped))
		changes_missed(mirror);
	for (uint32_t i = 0; i < values->size; i++) {
		const msgpack_object *item = values->ptr[i].via.array.ptr;

		(void)unpack_text(&item[0], key, sizeof(key));
		value_apply(mirror, item[2].via.u64, key, item[1].via.bin.ptr,
			    item[1].via.bin.size);
	}
	for (uint32_t i = 0; i < dropped->size; i++) {
		(void)unpack_text(&dropped->ptr[i], key, sizeof(key));
		value_apply(mirror, copy->status.next - 1, key, NULL, 0);
	}
	if (copy->base == 0) {
		if (is_merging(mirror))
			missing_keep(mirror);
		mirror->delta_floor = copy->status.next;
		previous_drop(mirror);
		whole_copy_check(mirror);
		if (mirror->ops.end)
			mirror->ops.end(mirror->ctx);
	}
	mirror->changed = copy->status.changed;
	on_synced(mirror);
}

/* A delta whose base is beyond our position would leave a gap. */
static bool copy_applies(const struct mirror *mirror, const struct copy *copy)
{
	return copy->base == 0 || copy->base <= feed_position(mirror->feed);
}

bool mirror_decode(struct mirror *mirror, const void *data, size_t size,
		   struct error *err)
{
	struct copy copy = {0};
	msgpack_unpacked unpacked;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = message_unpack(&unpacked, data, size, err);
	if (ok && !copy_decode(&unpacked.data, &copy))
		ok = error_set(err, RESULT_BAD_MESSAGE,
			       "malformed copy of stream %s",
			       mirror->settings.stream);
	if (ok && copy.values && copy_applies(mirror, &copy) &&
	    feed_advance(mirror->feed, copy.status.next,
			 clock_now(mirror->clock) - copy.status.age_usec -
				 STATUS_DELAY_USEC))
		copy_apply(mirror, &copy);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
