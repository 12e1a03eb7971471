/*
 * work.h - which requests are the same work
 *
 * DESCRIPTION
 *	A caller that repeats a request gives it a new id, so the id cannot tell
 *	that it is the same work. Its content can: the method, the host, path
 *	and query, who calls, and the body. These are hashed to 128 bits of
 *	SHA-256, each with its length before it, so that nobody can make a
 *	request that is taken for another one's work.
 *
 *	Cost: some 5 ns a byte, so it is only worked out where it is needed: for
 *	a request whose server was lost, and while any work is held against. The
 *	mark is cheaper by far, some 0.1 ns a byte, and is worked out for each
 *	request; it is keyed by a number that no caller knows.
 */
#ifndef COORD_WORK_H
#define COORD_WORK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct work_id {
	uint64_t high;
	uint64_t low;
};

struct work_part {
	const void *data; /* may be NULL when size is 0 */
	size_t size;
};

struct work_id work_id_of(const struct work_part *parts, size_t count);
uint64_t work_mark_of(const struct work_part *parts, size_t count,
		      uint64_t secret);
bool work_id_same(const struct work_id *a, const struct work_id *b);
/* For hash tables whose keys are struct work_id. */
unsigned int work_id_hash(const void *id);
int work_id_equal(const void *a, const void *b);

#endif
