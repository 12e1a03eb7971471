/*
 * directory.h - the backend servers in the platform's list
 *
 * DESCRIPTION
 *	Filled from the platform's list, which lags, and from facts that other
 *	instances spread. A server marked as leaving, for whatever reason, stays
 *	so until the list shows it with a higher incarnation. While the platform
 *	cannot be read, the last list remains in use.
 *
 *	Changes are numbered from 1, so that another instance can request the
 *	changes after a given number.
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

/* Called once in a later iteration of the event loop for one or more changes.
 */
typedef void (*directory_changed_fn)(void *ctx);

struct directory *directory_create(struct entry *entry);
void directory_destroy(struct directory *directory);
const struct backend *directory_find(const struct directory *directory,
				     uint64_t id);
/* Iterates over all servers, sorted by name; cursor starts at 0. */
const struct backend *directory_next(const struct directory *directory,
				     uint32_t *cursor);
/* Applies an entry that this instance read from the platform's list. */
void directory_put(struct directory *directory, const struct backend *backend);
/* Applies an entry received from another instance, which may be unlisted. */
void directory_merge(struct directory *directory,
		     const struct backend *backend);
/* Starts a sweep afresh: entries applied before it do not count as listed. */
void directory_sweep_begin(struct directory *directory);
/* Ends a sweep: unlists the servers of which it applied no entry. */
void directory_sweep_end(struct directory *directory);
/* Applies a fact spread by another instance; ignores facts of other kinds. */
void directory_fact(struct directory *directory, uint64_t key,
		    const void *value, size_t size);
void directory_on_changed(struct directory *directory, directory_changed_fn fn,
			  void *ctx);
/* The number of the last change. */
uint64_t directory_changes(const struct directory *directory);
/* Whether all changes after since are still known; if not, the whole directory
 * must be sent. */
bool directory_has_since(const struct directory *directory, uint64_t since);
/* As directory_next(), for the servers changed after since. */
const struct backend *directory_next_since(const struct directory *directory,
					   uint32_t *cursor, uint64_t since);
/* Whether a complete list was received, from the platform or another instance.
 */
bool directory_is_loaded(const struct directory *directory);
/* Marks a server as leaving and spreads that: the server announced it, refused
 * work for it, or was reported to be leaving. */
void directory_mark_leaving(struct directory *directory, uint64_t id);

#endif
