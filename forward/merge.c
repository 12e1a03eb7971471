#include "forward/merge.h"

/* Dropped values are remembered for this long, and at most so many. */
#define DROPPED_USEC (60 * USEC_PER_SEC)
#define DROPPED_MAX 4096u

/* The last value of a key that was dropped. */
struct dropped {
	GBytes *value;
	int64_t at;
};

struct merge {
	merge_newer_fn newer;
	void *ctx;
	int64_t until;
	GHashTable *dropped; /* key to struct dropped */
	GHashTable *missing; /* keys */
};

static void dropped_free(gpointer data)
{
	struct dropped *dropped = data;

	g_bytes_unref(dropped->value);
	g_free(dropped);
}

struct merge *merge_create(merge_newer_fn newer, void *ctx)
{
	struct merge *merge = g_new0(struct merge, 1);

	merge->newer = newer;
	merge->ctx = ctx;
	merge->until = INT64_MIN;
	merge->dropped = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       dropped_free);
	merge->missing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return merge;
}

void merge_destroy(struct merge *merge)
{
	g_hash_table_destroy(merge->dropped);
	g_hash_table_destroy(merge->missing);
	g_free(merge);
}

void merge_start(struct merge *merge, int64_t now)
{
	merge->until = now + MERGE_USEC;
}

bool merge_active(const struct merge *merge, int64_t now)
{
	return now < merge->until;
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer data)
{
	const struct dropped *dropped = value;
	const int64_t *now = data;

	return *now - dropped->at >= DROPPED_USEC;
}

void merge_dropped(struct merge *merge, const char *key, GBytes *value,
		   int64_t now)
{
	struct dropped *dropped;

	if (!merge->newer)
		return;
	if (g_hash_table_size(merge->dropped) >= DROPPED_MAX)
		g_hash_table_foreach_remove(merge->dropped, is_forgotten, &now);
	if (g_hash_table_size(merge->dropped) >= DROPPED_MAX)
		return;
	dropped = g_new0(struct dropped, 1);
	dropped->value = g_bytes_ref(value);
	dropped->at = now;
	g_hash_table_replace(merge->dropped, g_strdup(key), dropped);
}

GBytes *merge_dropped_since(const struct merge *merge, const char *key,
			    int64_t since)
{
	const struct dropped *dropped =
		g_hash_table_lookup(merge->dropped, key);

	return dropped && dropped->at > since ? dropped->value : NULL;
}

bool merge_takes(const struct merge *merge, const char *key, GBytes *before,
		 const void *data, size_t size)
{
	const struct dropped *dropped =
		g_hash_table_lookup(merge->dropped, key);
	gsize old_size;
	const void *old;

	if (!before && dropped)
		before = dropped->value;
	if (!merge->newer || !before)
		return true;
	old = g_bytes_get_data(before, &old_size);
	return merge->newer(merge->ctx, old, old_size, data, size);
}

void merge_missing(struct merge *merge, const char *key)
{
	g_hash_table_add(merge->missing, g_strdup(key));
}

bool merge_written(struct merge *merge, const char *key)
{
	return g_hash_table_remove(merge->missing, key);
}

GList *merge_overdue(const struct merge *merge, int64_t synced_at)
{
	GHashTableIter iter;
	GList *keys = NULL;
	const char *key;

	if (synced_at < merge->until)
		return NULL;
	g_hash_table_iter_init(&iter, merge->missing);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key, NULL))
		keys = g_list_prepend(keys, g_strdup(key));
	return keys;
}
