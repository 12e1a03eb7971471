/*
 * table.h - objects of one size, named by small handles
 *
 * DESCRIPTION
 *	A handle holds a slot number and the slot's generation, so a handle to
 *	an object that was freed never finds the object that follows it in the
 *	slot. Pointers stay valid until the object is freed; handles are what
 *	is stored and sent. HANDLE_NONE names nothing. All operations are O(1).
 */
#ifndef COMMON_TABLE_H
#define COMMON_TABLE_H

#include <stddef.h>
#include <stdint.h>

#define HANDLE_NONE UINT64_C(0)

struct table;

/* Creates a table of objects of size bytes, at most max of them at once. */
struct table *table_create(size_t size, uint32_t max);
void table_destroy(struct table *table);
/* Returns a zeroed object and its handle, or NULL when the table is full. */
void *table_add(struct table *table, uint64_t *handle);
/* Returns the object, or NULL when the handle is stale. */
void *table_get(const struct table *table, uint64_t handle);
void table_remove(struct table *table, uint64_t handle);
uint32_t table_count(const struct table *table);
/* Walks all objects; start with cursor 0. Removal while walking is allowed. */
void *table_next(const struct table *table, uint32_t *cursor, uint64_t *handle);

#endif
