/*
 * fingerprint.h - which requests are the same work
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
#ifndef COORD_FINGERPRINT_H
#define COORD_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct request_fingerprint {
	uint64_t high;
	uint64_t low;
};

struct fingerprint_part {
	const void *data; /* may be NULL when size is 0 */
	size_t size;
};

struct request_fingerprint fingerprint_of(const struct fingerprint_part *parts,
					  size_t count);
uint64_t keyed_hash_of(const struct fingerprint_part *parts, size_t count,
		       uint64_t secret);
bool fingerprint_same(const struct request_fingerprint *a,
		      const struct request_fingerprint *b);
/* For hash tables whose keys are struct request_fingerprint. */
unsigned int fingerprint_hash(const void *id);
int fingerprint_equal(const void *a, const void *b);

#endif
