#include "ledger_prefix.h"

#include <glib.h>
#include <string.h>

/* A dropped block stays in its runner's queue until it is the oldest there. */
struct prefix {
	GHashTable *holders; /* block to GArray of runners */
	GPtrArray *queues;   /* by runner: GQueue of blocks, oldest first */
};

static void holders_free(void *data)
{
	g_array_free(data, TRUE);
}

static void queue_free(void *data)
{
	g_queue_free(data);
}

struct prefix *prefix_create(void)
{
	struct prefix *prefix = g_new0(struct prefix, 1);

	prefix->holders = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, holders_free);
	prefix->queues = g_ptr_array_new_with_free_func(queue_free);
	return prefix;
}

void prefix_destroy(struct prefix *prefix)
{
	if (prefix == NULL)
		return;
	g_hash_table_destroy(prefix->holders);
	g_ptr_array_free(prefix->queues, TRUE);
	g_free(prefix);
}

static GQueue *queue_of(struct prefix *prefix, uint32_t runner)
{
	while (prefix->queues->len <= runner)
		g_ptr_array_add(prefix->queues, g_queue_new());
	return g_ptr_array_index(prefix->queues, runner);
}

static bool holder_find(const GArray *holders, uint32_t runner, guint *at)
{
	for (guint i = 0; i < holders->len; i++) {
		if (g_array_index(holders, uint32_t, i) != runner)
			continue;
		*at = i;
		return true;
	}
	return false;
}

static void holder_remove(struct prefix *prefix, uint32_t runner, void *key)
{
	GArray *holders = g_hash_table_lookup(prefix->holders, key);
	guint at;

	if (holders == NULL || !holder_find(holders, runner, &at))
		return;
	g_array_remove_index_fast(holders, at);
	if (holders->len == 0)
		g_hash_table_remove(prefix->holders, key);
}

void prefix_store(struct prefix *prefix, uint32_t runner, uint64_t block)
{
	void *key = GUINT_TO_POINTER((guint)block);
	GArray *holders = g_hash_table_lookup(prefix->holders, key);
	GQueue *queue = queue_of(prefix, runner);
	guint at;

	if (holders == NULL) {
		holders = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		g_hash_table_insert(prefix->holders, key, holders);
	}
	if (holder_find(holders, runner, &at))
		return;
	g_array_append_val(holders, runner);
	g_queue_push_tail(queue, key);
	if (queue->length > PREFIX_RUNNER_MAX)
		holder_remove(prefix, runner, g_queue_pop_head(queue));
}

void prefix_drop(struct prefix *prefix, uint32_t runner, uint64_t block)
{
	holder_remove(prefix, runner, GUINT_TO_POINTER((guint)block));
}

void prefix_clear(struct prefix *prefix, uint32_t runner)
{
	GQueue *queue = queue_of(prefix, runner);

	while (!g_queue_is_empty(queue))
		holder_remove(prefix, runner, g_queue_pop_head(queue));
}

void prefix_match(const struct prefix *prefix, const uint64_t *blocks,
		  uint32_t count, uint32_t *depth, uint32_t runners)
{
	memset(depth, 0, runners * sizeof(*depth));
	for (uint32_t i = 0; i < count; i++) {
		void *key = GUINT_TO_POINTER((guint)blocks[i]);
		const GArray *holders =
			g_hash_table_lookup(prefix->holders, key);
		bool matched = false;

		if (holders == NULL)
			return;
		for (guint h = 0; h < holders->len; h++) {
			uint32_t runner = g_array_index(holders, uint32_t, h);

			if (runner >= runners || depth[runner] != i)
				continue;
			depth[runner] = i + 1;
			matched = true;
		}
		if (!matched)
			return;
	}
}
