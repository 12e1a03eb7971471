#include "claim_refusals.h"

#include "coord/claim.h"

#define REFUSALS_MAX 65536u

struct refusal {
	struct claim_id id;
	uint64_t attempt;
	enum claim_reply_kind kind;
};

/* Two generations: the older one is dropped when the newer one has expired or
 * is full. */
struct claim_refusals {
	GHashTable *newer;
	GHashTable *older;
	int64_t newer_since;
};

static GHashTable *generation_create(void)
{
	return g_hash_table_new_full(claim_id_hash, claim_id_equal, NULL,
				     g_free);
}

struct claim_refusals *claim_refusals_create(void)
{
	struct claim_refusals *refusals = g_new0(struct claim_refusals, 1);

	refusals->newer = generation_create();
	refusals->older = generation_create();
	return refusals;
}

void claim_refusals_destroy(struct claim_refusals *refusals)
{
	g_hash_table_destroy(refusals->newer);
	g_hash_table_destroy(refusals->older);
	g_free(refusals);
}

static const struct refusal *refusal_find(const struct claim_refusals *refusals,
					  const struct claim_id *id)
{
	const struct refusal *refusal =
		g_hash_table_lookup(refusals->newer, id);

	return refusal ? refusal : g_hash_table_lookup(refusals->older, id);
}

void claim_refusals_add(struct claim_refusals *refusals, int64_t now,
			const struct claim_id *id, uint64_t attempt,
			enum claim_reply_kind kind)
{
	const struct refusal *previous = refusal_find(refusals, id);
	struct refusal *refusal;

	if (previous && (previous->kind == CLAIM_REPLY_UNDECIDED ||
			 previous->attempt >= attempt))
		return;
	if (now - refusals->newer_since >= CLAIM_TIMEOUT_MAX_USEC ||
	    g_hash_table_size(refusals->newer) >= REFUSALS_MAX) {
		g_hash_table_destroy(refusals->older);
		refusals->older = refusals->newer;
		refusals->newer = generation_create();
		refusals->newer_since = now;
	}
	refusal = g_new0(struct refusal, 1);
	*refusal = (struct refusal){*id, attempt, kind};
	g_hash_table_replace(refusals->newer, &refusal->id, refusal);
}

bool claim_refusals_find(const struct claim_refusals *refusals,
			 const struct claim_id *id, uint64_t attempt,
			 enum claim_reply_kind *kind)
{
	const struct refusal *refusal = refusal_find(refusals, id);

	if (!refusal || (refusal->kind != CLAIM_REPLY_UNDECIDED &&
			 attempt > refusal->attempt))
		return false;
	*kind = refusal->kind;
	return true;
}
