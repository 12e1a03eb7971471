#include "coord/work.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct work_id work_id_of(const struct work_part *parts, size_t count)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize size = sizeof(digest);
	struct work_id id;

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
	return id;
}

uint64_t work_mark_of(const struct work_part *parts, size_t count,
		      uint64_t secret)
{
	uint64_t mark = secret;

	for (size_t i = 0; i < count; i++)
		mark = XXH3_64bits_withSeed(parts[i].data, parts[i].size, mark);
	return mark;
}

bool work_id_same(const struct work_id *a, const struct work_id *b)
{
	return a->high == b->high && a->low == b->low;
}

unsigned int work_id_hash(const void *id)
{
	return (unsigned int)((const struct work_id *)id)->low;
}

int work_id_equal(const void *a, const void *b)
{
	return work_id_same(a, b);
}
