#include "coord/fingerprint.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "common/id.h"

struct request_fingerprint fingerprint_of(const struct fingerprint_part *parts,
					  size_t count)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize size = sizeof(digest);
	struct request_fingerprint id;

	for (size_t i = 0; i < count; i++) {
		uint64_t length = parts[i].size;

		g_checksum_update(sum, (const guchar *)&length, sizeof(length));
		if (length > 0)
			g_checksum_update(sum, parts[i].data,
					  (gssize)parts[i].size);
	}
	g_checksum_get_digest(sum, digest, &size);
	g_checksum_free(sum);
	memcpy(&id, digest, sizeof(id));
	id.low &= ~(uint64_t)FINGERPRINT_BEGUN;
	return id;
}

struct request_fingerprint fingerprint_at(const struct request_fingerprint *id,
					  uint64_t software)
{
	return (struct request_fingerprint){
		id->high,
		id_mix(id->low, software) & ~(uint64_t)FINGERPRINT_BEGUN};
}

struct request_fingerprint
fingerprint_begun(const struct request_fingerprint *id)
{
	return (struct request_fingerprint){id->high,
					    id->low | FINGERPRINT_BEGUN};
}

uint64_t keyed_hash_of(const struct fingerprint_part *parts, size_t count,
		       uint64_t secret)
{
	uint64_t hash = secret;

	for (size_t i = 0; i < count; i++)
		hash = XXH3_64bits_withSeed(parts[i].data, parts[i].size, hash);
	return hash;
}

bool fingerprint_same(const struct request_fingerprint *a,
		      const struct request_fingerprint *b)
{
	return a->high == b->high && a->low == b->low;
}

unsigned int fingerprint_hash(const void *id)
{
	return (unsigned int)((const struct request_fingerprint *)id)->low;
}

int fingerprint_equal(const void *a, const void *b)
{
	return fingerprint_same(a, b);
}
