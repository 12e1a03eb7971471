#include "forward/organisation.h"

#include <string.h>

#include "common/id.h"
#include "forward/regions.h"

#define DIGEST_SIZE 32

struct key_digest {
	uint8_t bytes[DIGEST_SIZE];
};

struct organisations {
	GHashTable *by_id;  /* id to struct organisation */
	GHashTable *by_key; /* struct key_digest to struct organisation */
};

static guint digest_hash(gconstpointer key)
{
	const struct key_digest *digest = key;
	guint hash;

	memcpy(&hash, digest->bytes, sizeof(hash));
	return hash;
}

/* Constant-time comparison. */
static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	const struct key_digest *one = a;
	const struct key_digest *other = b;
	uint8_t differ = 0;

	for (int i = 0; i < DIGEST_SIZE; i++)
		differ |= one->bytes[i] ^ other->bytes[i];
	return differ == 0;
}

static void digest_make(struct key_digest *digest, const char *key, size_t size)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize length = DIGEST_SIZE;

	g_checksum_update(sum, (const guchar *)key, (gssize)size);
	g_checksum_get_digest(sum, digest->bytes, &length);
	g_checksum_free(sum);
}

static void organisation_free(gpointer data)
{
	struct organisation *organisation = data;

	region_set_destroy(organisation->regions);
	g_free(organisation->name);
	g_free(organisation);
}

struct organisations *organisations_create(void)
{
	struct organisations *all = g_new0(struct organisations, 1);

	all->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   organisation_free);
	all->by_key =
		g_hash_table_new_full(digest_hash, digest_equal, g_free, NULL);
	return all;
}

void organisations_destroy(struct organisations *all)
{
	if (!all)
		return;
	g_hash_table_destroy(all->by_key);
	g_hash_table_destroy(all->by_id);
	g_free(all);
}

struct organisation *organisation_add(struct organisations *all,
				      const char *name)
{
	struct organisation *organisation;

	if (organisation_find(all, id_of(name)))
		return NULL;
	organisation = g_new0(struct organisation, 1);
	organisation->name = g_strdup(name);
	organisation->id = id_of(name);
	g_hash_table_insert(all->by_id, &organisation->id, organisation);
	return organisation;
}

bool organisation_add_key(struct organisations *all,
			  struct organisation *organisation, const char *key,
			  size_t size)
{
	struct key_digest *digest = g_new(struct key_digest, 1);

	digest_make(digest, key, size);
	if (g_hash_table_contains(all->by_key, digest)) {
		g_free(digest);
		return false;
	}
	g_hash_table_insert(all->by_key, digest, organisation);
	return true;
}

uint32_t organisations_count(const struct organisations *all)
{
	return g_hash_table_size(all->by_id);
}

void organisations_each(const struct organisations *all,
			void (*fn)(void *ctx,
				   const struct organisation *organisation),
			void *ctx)
{
	const struct organisation *organisation;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, all->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&organisation))
		fn(ctx, organisation);
}

const struct organisation *organisation_of_key(const struct organisations *all,
					       const char *key, size_t size)
{
	struct key_digest digest;

	if (size == 0)
		return NULL;
	digest_make(&digest, key, size);
	return g_hash_table_lookup(all->by_key, &digest);
}

const struct organisation *organisation_find(const struct organisations *all,
					     uint64_t id)
{
	return g_hash_table_lookup(all->by_id, &id);
}

double organisation_units(const struct organisation *organisation,
			  uint64_t tokens)
{
	if (!organisation->by_tokens)
		return 1.0;
	return tokens > 0 ? (double)tokens : organisation->plain_tokens;
}
