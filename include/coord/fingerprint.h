/*
 * fingerprint.h - recognises repeats of the same request
 *
 * DESCRIPTION
 *	A caller that repeats a request gives it a new id, so requests are
 *	compared by content: method, host, path and query, caller, and body. The
 *	fingerprint is 127 bits of SHA-256 over these parts, each preceded by
 *	its length, so no caller can forge a request that has the fingerprint of
 *	another one.
 *
 *	Cost: about 5 ns a byte, so a fingerprint is computed only for a request
 *	whose server crashed, and while the quarantine is not empty. The keyed
 *	hash costs about 0.1 ns a byte and is computed for each request. Its key
 *	is a secret of the process, so callers cannot construct collisions.
 */
#ifndef COORD_FINGERPRINT_H
#define COORD_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bit of struct request_fingerprint.low, 0 in what fingerprint_of() returns. It
 * marks crashes after the answer had begun, which are counted apart. */
#define FINGERPRINT_BEGUN 1u

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
/* secret: the key, random per process. */
uint64_t keyed_hash_of(const struct fingerprint_part *parts, size_t count,
		       uint64_t secret);
/* The fingerprint for servers with that version of their software. */
struct request_fingerprint fingerprint_at(const struct request_fingerprint *id,
					  uint64_t software);
/* The fingerprint with FINGERPRINT_BEGUN. */
struct request_fingerprint
fingerprint_begun(const struct request_fingerprint *id);
bool fingerprint_same(const struct request_fingerprint *a,
		      const struct request_fingerprint *b);
/* For hash tables whose keys are struct request_fingerprint. */
unsigned int fingerprint_hash(const void *id);
int fingerprint_equal(const void *a, const void *b);

#endif
