/*
 * id.h - 64-bit identifiers of instances, requests and keys
 *
 * DESCRIPTION
 *	An identifier is the XXH3 hash of a name (64 bits, seed 0). An instance
 *	is identified by the hash of its name and its incarnation, which is its
 *	start time in microseconds since 1970 and so increases at each start.
 */
#ifndef COMMON_ID_H
#define COMMON_ID_H

#include <stddef.h>
#include <stdint.h>

struct owner {
	uint64_t instance;
	uint64_t incarnation;
};

uint64_t id_hash(const void *data, size_t size);
uint64_t id_of(const char *name);
/* Hashes two identifiers into one, for rendezvous hashing and composite keys.
 */
uint64_t id_mix(uint64_t a, uint64_t b);

#endif
