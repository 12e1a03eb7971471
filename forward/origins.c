#include "forward/origins.h"

#include <glib.h>

#include "common/id.h"

/* Replaces the version of a stream that was recorded with two. */
#define SOFTWARE_AMBIGUOUS 0u
/* Expired records are removed when the table has grown by this many. */
#define PRUNE_STEP 1024u

struct origin {
	uint64_t stream;
	uint64_t software;
	int64_t until;
};

struct origins {
	const struct clock *clock;
	uint32_t max;
	uint32_t prune_at;
	GHashTable *table; /* stream to struct origin */
};

struct origins *origins_create(const struct clock *clock, uint32_t max)
{
	struct origins *origins = g_new0(struct origins, 1);

	origins->clock = clock;
	origins->max = max;
	origins->prune_at = PRUNE_STEP;
	origins->table = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	return origins;
}

void origins_destroy(struct origins *origins)
{
	if (!origins)
		return;
	g_hash_table_destroy(origins->table);
	g_free(origins);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct origin *origin = value;
	const int64_t *now = data;

	return *now >= origin->until;
}

static void prune(struct origins *origins)
{
	int64_t now = clock_now(origins->clock);

	if (g_hash_table_size(origins->table) < origins->prune_at)
		return;
	g_hash_table_foreach_remove(origins->table, is_expired, &now);
	origins->prune_at = MIN(g_hash_table_size(origins->table) + PRUNE_STEP,
				origins->max);
}

static struct origin *find(const struct origins *origins, uint64_t stream)
{
	struct origin *origin = g_hash_table_lookup(origins->table, &stream);

	return origin && clock_now(origins->clock) < origin->until ? origin
								   : NULL;
}

bool origins_put(struct origins *origins, uint64_t stream, uint64_t software)
{
	struct origin *origin = find(origins, stream);

	if (!origin) {
		prune(origins);
		if (g_hash_table_size(origins->table) >= origins->max)
			return false;
		origin = g_new0(struct origin, 1);
		origin->stream = stream;
		origin->software = software;
		g_hash_table_replace(origins->table, &origin->stream, origin);
	}
	if (origin->software != software)
		origin->software = SOFTWARE_AMBIGUOUS;
	origin->until = clock_now(origins->clock) + ORIGIN_KEEP_USEC;
	return true;
}

uint64_t origins_get(struct origins *origins, uint64_t stream)
{
	const struct origin *origin = find(origins, stream);

	return origin ? origin->software : 0;
}

uint32_t origins_count(const struct origins *origins)
{
	return g_hash_table_size(origins->table);
}

uint64_t origin_decide(const struct origin_answer *answers, uint32_t count)
{
	uint64_t sole = 0;
	bool mixed = false;

	for (uint32_t i = 0; i < count; i++) {
		const struct origin_answer *answer = &answers[i];

		if (answer->software)
			return answer->software;
		mixed |= answer->mixed ||
			 (sole && answer->sole && answer->sole != sole);
		if (answer->sole)
			sole = answer->sole;
	}
	return mixed ? 0 : sole;
}

void origin_homes_offer(struct origin_homes *homes, uint64_t key,
			const void *instance)
{
	uint64_t hash = id_mix(homes->stream, key);
	uint32_t at = homes->count;

	while (at > 0 && homes->hashes[at - 1] < hash)
		at--;
	if (at == ORIGIN_HOMES)
		return;
	homes->count = MIN(homes->count + 1, ORIGIN_HOMES);
	for (uint32_t i = homes->count - 1; i > at; i--) {
		homes->hashes[i] = homes->hashes[i - 1];
		homes->instances[i] = homes->instances[i - 1];
	}
	homes->hashes[at] = hash;
	homes->instances[at] = instance;
}
