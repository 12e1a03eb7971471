/*
 * id.h - names of instances, requests and keys, as 64-bit hashes
 *
 * DESCRIPTION
 *	Names are hashed with XXH3 (64 bits, seed 0). An instance is named by
 *	the hash of its name and by its incarnation, which rises at each start
 *	(microseconds since 1970 at the start).
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
/* Mixes two identifiers, for rendezvous hashing and composed keys. */
uint64_t id_mix(uint64_t a, uint64_t b);

#endif
