/*
 * dispatch_share.c - recent grants of organisations
 */
#include <math.h>

#include "dispatch_private.h"

/* Half-life of the count: longer than a burst of a few seconds, so that the
 * organisation that causes one waits behind the others during all of it. */
#define HALF_LIFE_USEC 10e6
/* Below this count an organisation is forgotten. */
#define SHARE_MIN 0.01
/* The table is pruned when it has grown beyond this size. */
#define SHARES_PRUNE 1024u

struct dispatch_share {
	uint64_t organisation;
	double count;
	int64_t counted_at;
};

static double share_decayed(const struct dispatch_share *share, int64_t now)
{
	return share->count *
	       exp2(-(double)(now - share->counted_at) / HALF_LIFE_USEC);
}

void dispatch_share_add(struct dispatch *dispatch, int64_t now,
			uint64_t organisation)
{
	struct dispatch_share *share;

	if (organisation == 0)
		return;
	share = g_hash_table_lookup(dispatch->organisations, &organisation);
	if (!share) {
		if (g_hash_table_size(dispatch->organisations) >= SHARES_PRUNE)
			dispatch_share_prune(dispatch, now);
		share = g_new0(struct dispatch_share, 1);
		share->organisation = organisation;
		share->counted_at = now;
		g_hash_table_insert(dispatch->organisations,
				    &share->organisation, share);
	}
	share->count = share_decayed(share, now) + 1.0;
	share->counted_at = now;
}

double dispatch_share_of(const struct dispatch *dispatch, int64_t now,
			 uint64_t organisation)
{
	const struct dispatch_share *share =
		organisation == 0 ? NULL
				  : g_hash_table_lookup(dispatch->organisations,
							&organisation);

	return share ? share_decayed(share, now) : 0.0;
}

void dispatch_share_prune(struct dispatch *dispatch, int64_t now)
{
	struct dispatch_share *share;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, dispatch->organisations);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&share))
		if (share_decayed(share, now) < SHARE_MIN)
			g_hash_table_iter_remove(&iter);
}
