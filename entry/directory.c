/*
 * directory.c - backend servers from the platform's list, and which are leaving
 */
#include "entry/directory.h"

#include <string.h>

#include <glib.h>
#include <msgpack.h>

#include "common/clock.h"
#include "common/id.h"
#include "common/log.h"
#include "common/unpack.h"
#include "coord/member.h"
#include "entry/entry.h"

/* Time for which an unlisted server is kept, so that its streams can end. */
#define UNLISTED_KEEP_USEC (60 * USEC_PER_SEC)

struct item {
	struct backend backend;
	uint32_t sweep;	     /* the last sweep that listed it */
	int64_t unlisted_at; /* clock time */
	uint64_t changed;    /* number of its last change */
};

struct directory {
	struct entry *entry;
	GPtrArray *items;  /* sorted by name */
	GHashTable *by_id; /* by id: struct item */
	GHashTable
		*leaving; /* by id: highest incarnation known to be leaving */
	uint32_t sweep;
	uint64_t changes;
	uint64_t expired_change; /* highest change number of a removed item */
	struct timer notify;
	directory_changed_fn changed;
	void *ctx;
	struct counter *leaving_total;
};

static void notify_fire(struct timer *timer, void *ctx)
{
	struct directory *directory = ctx;

	if (directory->changed)
		directory->changed(directory->ctx);
}

static void notify_later(struct directory *directory)
{
	if (!timer_running(&directory->notify))
		timer_start(&directory->notify, 0);
}

static void item_changed(struct directory *directory, struct item *item)
{
	item->changed = ++directory->changes;
	notify_later(directory);
}

static int item_compare(const void *a, const void *b)
{
	const struct item *const *left = a;
	const struct item *const *right = b;

	return strcmp((*left)->backend.name, (*right)->backend.name);
}

static bool is_leaving(const struct directory *directory,
		       const struct backend *backend)
{
	const uint64_t *incarnation =
		g_hash_table_lookup(directory->leaving, &backend->id);

	return incarnation && backend->incarnation <= *incarnation;
}

/* Returns false if this incarnation or a later one was already recorded. */
static bool leaving_record(struct directory *directory, uint64_t id,
			   uint64_t incarnation)
{
	uint64_t *known = g_hash_table_lookup(directory->leaving, &id);

	if (known && *known >= incarnation)
		return false;
	if (known) {
		*known = incarnation;
		return true;
	}
	g_hash_table_insert(directory->leaving, g_memdup2(&id, sizeof(id)),
			    g_memdup2(&incarnation, sizeof(incarnation)));
	return true;
}

static uint64_t leaving_key(uint64_t id)
{
	return id_mix(id_of("leaving"), id);
}

static void leaving_spread(struct directory *directory, uint64_t id,
			   uint64_t incarnation)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!directory->entry->membership)
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, id);
	msgpack_pack_uint64(&packer, incarnation);
	membership_fact_set(directory->entry->membership, leaving_key(id),
			    incarnation, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

/* Marks a server as leaving; with spread, also announces it to the members. */
static void item_mark_leaving(struct directory *directory, uint64_t id,
			      uint64_t incarnation, bool spread)
{
	struct item *item = g_hash_table_lookup(directory->by_id, &id);

	if (!leaving_record(directory, id, incarnation))
		return;
	if (spread)
		leaving_spread(directory, id, incarnation);
	if (!item || item->backend.incarnation > incarnation)
		return;
	item->backend.leaving = true;
	directory->leaving_total->value++;
	log_event(LOG_NOTICE, "backend_leaving",
		  LOG_S("backend", item->backend.name),
		  LOG_S("pool", item->backend.pool),
		  LOG_S("source", spread ? "own" : "peer"));
	item_changed(directory, item);
}

static void item_insert(struct directory *directory,
			const struct backend *backend)
{
	struct item *item = g_new0(struct item, 1);

	item->backend = *backend;
	item->backend.leaving = is_leaving(directory, backend);
	item->sweep = directory->sweep;
	g_ptr_array_add(directory->items, item);
	g_ptr_array_sort(directory->items, item_compare);
	g_hash_table_insert(directory->by_id, &item->backend.id, item);
	log_event(LOG_INFO, "backend_listed", LOG_S("backend", backend->name),
		  LOG_S("pool", backend->pool),
		  LOG_S("address", backend->address));
	item_changed(directory, item);
}

static bool backend_same(const struct backend *a, const struct backend *b)
{
	return a->incarnation == b->incarnation && a->listed == b->listed &&
	       strcmp(a->pool, b->pool) == 0 &&
	       strcmp(a->data_centre, b->data_centre) == 0 &&
	       strcmp(a->address, b->address) == 0;
}

static void item_update(struct directory *directory, struct item *item,
			const struct backend *backend)
{
	if (backend->incarnation < item->backend.incarnation)
		return;
	item->sweep = directory->sweep;
	if (backend_same(&item->backend, backend))
		return;
	item->backend = *backend;
	item->backend.leaving = is_leaving(directory, backend);
	item_changed(directory, item);
}

static void item_unlist(struct directory *directory, struct item *item)
{
	if (!item->backend.listed)
		return;
	item->backend.listed = false;
	item->unlisted_at = clock_now(directory->entry->clock);
	log_event(LOG_INFO, "backend_unlisted",
		  LOG_S("backend", item->backend.name));
	item_changed(directory, item);
}

static void backend_apply(struct directory *directory,
			  const struct backend *backend, bool spread)
{
	struct item *item = g_hash_table_lookup(directory->by_id, &backend->id);

	if (item)
		item_update(directory, item, backend);
	else
		item_insert(directory, backend);
	if (backend->leaving)
		item_mark_leaving(directory, backend->id, backend->incarnation,
				  spread);
}

void directory_put(struct directory *directory, const struct backend *backend)
{
	backend_apply(directory, backend, true);
}

void directory_merge(struct directory *directory, const struct backend *backend)
{
	struct item *item = g_hash_table_lookup(directory->by_id, &backend->id);

	if (backend->listed)
		backend_apply(directory, backend, false);
	else if (item && item->backend.incarnation <= backend->incarnation)
		item_unlist(directory, item);
}

static void item_expire(struct directory *directory, struct item *item)
{
	int64_t age = clock_now(directory->entry->clock) - item->unlisted_at;

	if (item->backend.listed || age < UNLISTED_KEEP_USEC)
		return;
	directory->expired_change =
		MAX(directory->expired_change, item->changed);
	g_hash_table_remove(directory->leaving, &item->backend.id);
	g_hash_table_remove(directory->by_id, &item->backend.id);
	g_ptr_array_remove(directory->items, item);
}

void directory_sweep_begin(struct directory *directory)
{
	directory->sweep++;
}

void directory_sweep_end(struct directory *directory)
{
	for (guint i = directory->items->len; i > 0; i--) {
		struct item *item = directory->items->pdata[i - 1];

		if (item->sweep != directory->sweep)
			item_unlist(directory, item);
		item_expire(directory, item);
	}
	directory->sweep++;
}

void directory_mark_leaving(struct directory *directory, uint64_t id)
{
	const struct item *item = g_hash_table_lookup(directory->by_id, &id);

	if (item && !item->backend.leaving)
		item_mark_leaving(directory, id, item->backend.incarnation,
				  true);
}

static bool fact_decode(const void *value, size_t size, uint64_t *id,
			uint64_t *incarnation)
{
	msgpack_unpacked unpacked;
	bool good = false;

	msgpack_unpacked_init(&unpacked);
	if (message_unpack(&unpacked, value, size, NULL) &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    unpacked.data.via.array.size == 2) {
		const msgpack_object *field = unpacked.data.via.array.ptr;

		good = field[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		       field[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER;
		*id = field[0].via.u64;
		*incarnation = field[1].via.u64;
	}
	msgpack_unpacked_destroy(&unpacked);
	return good;
}

void directory_fact(struct directory *directory, uint64_t key,
		    const void *value, size_t size)
{
	uint64_t id;
	uint64_t incarnation;

	if (fact_decode(value, size, &id, &incarnation) &&
	    key == leaving_key(id))
		item_mark_leaving(directory, id, incarnation, false);
}

bool directory_is_loaded(const struct directory *directory)
{
	return directory->sweep > 0;
}

const struct backend *directory_find(const struct directory *directory,
				     uint64_t id)
{
	const struct item *item = g_hash_table_lookup(directory->by_id, &id);

	return item ? &item->backend : NULL;
}

const struct backend *directory_next(const struct directory *directory,
				     uint32_t *cursor)
{
	const struct item *item;

	if (*cursor >= directory->items->len)
		return NULL;
	item = directory->items->pdata[(*cursor)++];
	return &item->backend;
}

uint64_t directory_changes(const struct directory *directory)
{
	return directory->changes;
}

bool directory_has_since(const struct directory *directory, uint64_t since)
{
	return since >= directory->expired_change;
}

const struct backend *directory_next_since(const struct directory *directory,
					   uint32_t *cursor, uint64_t since)
{
	while (*cursor < directory->items->len) {
		const struct item *item = directory->items->pdata[(*cursor)++];

		if (item->changed > since)
			return &item->backend;
	}
	return NULL;
}

void directory_on_changed(struct directory *directory, directory_changed_fn fn,
			  void *ctx)
{
	directory->changed = fn;
	directory->ctx = ctx;
	if (fn)
		notify_later(directory);
}

struct directory *directory_create(struct entry *entry)
{
	struct directory *directory = g_new0(struct directory, 1);

	directory->entry = entry;
	directory->items = g_ptr_array_new_with_free_func(g_free);
	directory->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	directory->leaving = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	timer_init(&directory->notify, entry->clock, notify_fire, directory);
	directory->leaving_total =
		counter_get(entry->counters, "jt_backends_leaving_total",
			    "Backend servers seen to be leaving", NULL);
	return directory;
}

void directory_destroy(struct directory *directory)
{
	if (!directory)
		return;
	timer_stop(&directory->notify);
	g_hash_table_destroy(directory->leaving);
	g_hash_table_destroy(directory->by_id);
	g_ptr_array_free(directory->items, TRUE);
	g_free(directory);
}
