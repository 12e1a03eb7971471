/*
 * table.h - objects of one size, referred to by 64-bit handles
 *
 * DESCRIPTION
 *	A handle consists of a slot index and the slot's generation, so a handle
 *	to a removed object does not match the next object in the same slot.
 *	Pointers are valid until the object is removed; store or send handles
 *	instead. HANDLE_NONE refers to no object. All operations are O(1).
 */
#ifndef COMMON_TABLE_H
#define COMMON_TABLE_H

#include <stddef.h>
#include <stdint.h>

#define HANDLE_NONE UINT64_C(0)

struct table;

/* Creates a table for at most max objects of size bytes each. */
struct table *table_create(size_t size, uint32_t max);
void table_destroy(struct table *table);
/* Returns a zeroed object and its handle, or NULL when the table is full. */
void *table_add(struct table *table, uint64_t *handle);
/* Returns the object, or NULL when the handle is stale. */
void *table_get(const struct table *table, uint64_t handle);
void table_remove(struct table *table, uint64_t handle);
uint32_t table_count(const struct table *table);
/* Iterates over all objects, starting from cursor 0; returns NULL at the end.
 * Objects may be removed during the iteration. */
void *table_next(const struct table *table, uint32_t *cursor, uint64_t *handle);

#endif
