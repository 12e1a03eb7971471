/*
 * directory.h - the backend servers that the platform's list names
 *
 * DESCRIPTION
 *	Filled from the platform's lagging list and from facts spread by other
 *	instances. A server marked leaving from any sign stays so until the list
 *	shows it under a new incarnation. While the platform cannot be read, the
 *	last list holds.
 *
 *	Changes are numbered from 1 on, so that another instance can be told
 *	what has changed since a number.
 */
#ifndef ENTRY_DIRECTORY_H
#define ENTRY_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct entry;
struct directory;

struct backend {
	uint64_t id; /* id_of(name) */
	uint64_t incarnation;
	char name[64];
	char pool[64];
	char data_centre[64];
	char address[64];
	bool leaving;
	bool listed; /* still in the platform's list */
};

/* Called in a later turn after any number of changes. */
typedef void (*directory_changed_fn)(void *ctx);

struct directory *directory_create(struct entry *entry);
void directory_destroy(struct directory *directory);
const struct backend *directory_find(const struct directory *directory,
				     uint64_t id);
/* Walks all, sorted by name; cursor starts at 0. */
const struct backend *directory_next(const struct directory *directory,
				     uint32_t *cursor);
/* One entry as read from the list or told by a peer. */
void directory_put(struct directory *directory, const struct backend *backend);
/* One entry as another instance has it, which may be unlisted by now. */
void directory_learn(struct directory *directory,
		     const struct backend *backend);
/* A reading starts that may name less than was learnt since the last one. */
void directory_begin(struct directory *directory);
/* All entries of one reading were put: those not among them are unlisted. */
void directory_swept(struct directory *directory);
/* A fact spread by another instance; others than ours are passed over. */
void directory_fact(struct directory *directory, uint64_t key,
		    const void *value, size_t size);
void directory_on_changed(struct directory *directory, directory_changed_fn fn,
			  void *ctx);
/* The number of the last change. */
uint64_t directory_changes(const struct directory *directory);
/* Whether what changed since then is still known; if not, all must be told. */
bool directory_remembers(const struct directory *directory, uint64_t since);
/* As directory_next(), over what has changed since. */
const struct backend *directory_next_since(const struct directory *directory,
					   uint32_t *cursor, uint64_t since);
/* Whether one whole reading, of the list or of a peer, has been taken. */
bool directory_known(const struct directory *directory);
/* The server said, refused or was reported to be leaving: spread it. */
void directory_leaving(struct directory *directory, uint64_t id);

#endif
