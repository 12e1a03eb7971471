#include "common/table.h"

#include <glib.h>
#include <string.h>

#define CHUNK_SLOTS 256u
#define SLOT_NONE UINT32_MAX

/* Precedes each object; its 16 bytes keep the object aligned. */
struct slot {
	uint32_t generation;
	uint32_t next_free;
	uint32_t used;
	uint32_t padding;
};

struct table {
	size_t stride;
	size_t size;
	uint32_t max;
	uint32_t slots; /* allocated so far */
	uint32_t count;
	uint32_t free; /* first of the free list, or SLOT_NONE */
	GPtrArray *chunks;
};

static struct slot *table_slot(const struct table *table, uint32_t i)
{
	char *chunk = table->chunks->pdata[i / CHUNK_SLOTS];

	return (struct slot *)(void *)(chunk + (size_t)(i % CHUNK_SLOTS) *
						       table->stride);
}

static uint64_t slot_handle(const struct slot *slot, uint32_t i)
{
	return (uint64_t)slot->generation << 32 | i;
}

/* Takes a slot from the free list or allocates one. The table must not be full.
 */
static uint32_t table_take(struct table *table)
{
	uint32_t i = table->free;

	if (i != SLOT_NONE) {
		table->free = table_slot(table, i)->next_free;
		return i;
	}
	i = table->slots++;
	if (i % CHUNK_SLOTS == 0)
		g_ptr_array_add(table->chunks,
				g_malloc0_n(CHUNK_SLOTS, table->stride));
	table_slot(table, i)->generation = 1;
	return i;
}

struct table *table_create(size_t size, uint32_t max)
{
	struct table *table = g_new0(struct table, 1);

	table->size = size;
	table->stride = sizeof(struct slot) + (size + 15) / 16 * 16;
	table->max = MIN(max, SLOT_NONE - 1);
	table->free = SLOT_NONE;
	table->chunks = g_ptr_array_new_with_free_func(g_free);
	return table;
}

void table_destroy(struct table *table)
{
	if (!table)
		return;
	g_ptr_array_free(table->chunks, TRUE);
	g_free(table);
}

void *table_add(struct table *table, uint64_t *handle)
{
	struct slot *slot;
	uint32_t i;

	if (table->count >= table->max)
		return NULL;
	i = table_take(table);
	slot = table_slot(table, i);
	slot->used = 1;
	memset(slot + 1, 0, table->size);
	table->count++;
	if (handle)
		*handle = slot_handle(slot, i);
	return slot + 1;
}

void *table_get(const struct table *table, uint64_t handle)
{
	uint32_t i = (uint32_t)handle;
	struct slot *slot;

	if (i >= table->slots)
		return NULL;
	slot = table_slot(table, i);
	if (!slot->used || slot->generation != handle >> 32)
		return NULL;
	return slot + 1;
}

void table_remove(struct table *table, uint64_t handle)
{
	uint32_t i = (uint32_t)handle;
	struct slot *slot;

	if (!table_get(table, handle))
		return;
	slot = table_slot(table, i);
	slot->used = 0;
	slot->generation++;
	if (!slot->generation)
		slot->generation = 1;
	slot->next_free = table->free;
	table->free = i;
	table->count--;
}

uint32_t table_count(const struct table *table)
{
	return table->count;
}

void *table_next(const struct table *table, uint32_t *cursor, uint64_t *handle)
{
	while (*cursor < table->slots) {
		uint32_t i = (*cursor)++;
		struct slot *slot = table_slot(table, i);

		if (!slot->used)
			continue;
		if (handle)
			*handle = slot_handle(slot, i);
		return slot + 1;
	}
	return NULL;
}
