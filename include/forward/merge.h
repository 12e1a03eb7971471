/*
 * merge.h - which value of a key is taken when the store has come back from an
 * older copy
 *
 * DESCRIPTION
 *	The copy has values that are older than those known before, still has
 *	keys that were dropped since, and lacks some that were added. For
 *	MERGE_USEC the whole copies that are read are merged with what was
 *	known: the newer value of a key is taken, a dropped key is taken only if
 *	it was written after that, and a missing one is kept until a copy that
 *	was complete after this time shows that nobody has written it again.
 *
 * UNITS
 *	Times are in microseconds of the caller's clock.
 *
 * SEE ALSO
 *	docs/design/eras.md
 */
#ifndef FORWARD_MERGE_H
#define FORWARD_MERGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* By then all writers have written again. */
#define MERGE_USEC (3 * USEC_PER_SEC)

struct merge;

/* Whether a value was written after the previous one of its key. */
typedef bool (*merge_newer_fn)(void *ctx, const void *before,
			       size_t before_size, const void *data,
			       size_t size);

/* newer is NULL where values do not tell: then the store's is taken. */
struct merge *merge_create(merge_newer_fn newer, void *ctx);
void merge_destroy(struct merge *merge);
/* The store has come back from an older copy. */
void merge_start(struct merge *merge, int64_t now);
bool merge_active(const struct merge *merge, int64_t now);
/* A key with that value was dropped. It is remembered for a minute. */
void merge_dropped(struct merge *merge, const char *key, GBytes *value,
		   int64_t now);
/* The value with which the key was dropped after that time; NULL if it was not.
 */
GBytes *merge_dropped_since(const struct merge *merge, const char *key,
			    int64_t since);
/* Whether the value of a copy is taken. before is the value known before, or
 * NULL. */
bool merge_takes(const struct merge *merge, const char *key, GBytes *before,
		 const void *data, size_t size);
/* A copy lacks the key, which is kept for now. */
void merge_missing(struct merge *merge, const char *key);
/* The key was written; true when a copy lacked it before. */
bool merge_written(struct merge *merge, const char *key);
/* Keys to drop, given when the known records were last complete. The list and
 * the keys are to be freed. */
GList *merge_overdue(const struct merge *merge, int64_t synced_at);

#endif
