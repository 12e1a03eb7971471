#include "coord/limit.h"

#include <glib.h>

#include "common/clock.h"

struct bucket {
	uint64_t pair;
	double tokens;
	int64_t filled;
	GList link;
};

struct limits {
	GHashTable *buckets; /* pair -> struct bucket */
	GQueue used;	     /* longest ago first */
	uint32_t pairs_max;
};

struct limits *limits_create(uint32_t pairs_max)
{
	struct limits *limits = g_new0(struct limits, 1);

	limits->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	limits->pairs_max = pairs_max ? pairs_max : LIMIT_PAIRS_MAX;
	g_queue_init(&limits->used);
	return limits;
}

void limits_destroy(struct limits *limits)
{
	g_hash_table_unref(limits->buckets);
	g_free(limits);
}

uint32_t limits_count(const struct limits *limits)
{
	return g_hash_table_size(limits->buckets);
}

static void oldest_forget(struct limits *limits)
{
	struct bucket *bucket = limits->used.head->data;

	g_queue_unlink(&limits->used, &bucket->link);
	g_hash_table_remove(limits->buckets, &bucket->pair);
}

static struct bucket *bucket_get(struct limits *limits, int64_t now,
				 uint64_t pair, double size)
{
	struct bucket *bucket = g_hash_table_lookup(limits->buckets, &pair);

	if (bucket) {
		g_queue_unlink(&limits->used, &bucket->link);
		g_queue_push_tail_link(&limits->used, &bucket->link);
		return bucket;
	}
	if (limits_count(limits) >= limits->pairs_max)
		oldest_forget(limits);
	bucket = g_new0(struct bucket, 1);
	bucket->pair = pair;
	bucket->tokens = size;
	bucket->filled = now;
	bucket->link.data = bucket;
	g_queue_push_tail_link(&limits->used, &bucket->link);
	g_hash_table_insert(limits->buckets, &bucket->pair, bucket);
	return bucket;
}

bool limit_take(struct limits *limits, int64_t now, uint64_t pair, double rate,
		uint32_t instances, int64_t *retry_after)
{
	double share = rate / (instances ? instances : 1);
	double size = MAX(1.0, share * LIMIT_BURST_SEC);
	struct bucket *bucket;

	if (rate <= 0)
		return true;
	bucket = bucket_get(limits, now, pair, size);
	bucket->tokens += share * (double)(now - bucket->filled) / USEC_PER_SEC;
	bucket->tokens = MIN(bucket->tokens, size);
	bucket->filled = now;
	if (bucket->tokens >= 1.0) {
		bucket->tokens -= 1.0;
		return true;
	}
	*retry_after =
		(int64_t)((1.0 - bucket->tokens) / share * USEC_PER_SEC) + 1;
	return false;
}
