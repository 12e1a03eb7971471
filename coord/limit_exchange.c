/*
 * limit_exchange.c - exchange of the use of allotments between instances
 */
#include "common/clock.h"
#include "limit_account.h"

/* Use since the last export, as a part of the burst, from which an export is
 * urgent. Urgent exports are at least 100 ms apart; at eight times the
 * allotment this part is used in 8 ms, so the unexported use stays close to
 * that of one interval. */
#define URGENT_PART 0.0625
/* While more than this part of the burst is left nothing is urgent: under
 * normal load the bucket is nearly full, and a message every few hundred
 * milliseconds is enough. */
#define URGENT_LEVEL 0.75
/* For this time after a level was adopted, the first entry of a source is
 * already part of that level. Later, the source has just begun to use the
 * account. */
#define ADOPTED_USEC (3 * USEC_PER_SEC)
/* A source that is not counted is dropped after this time. */
#define PEER_FORGET_USEC (30 * USEC_PER_SEC)

void limit_mark_urgent(struct limits *limits,
		       const struct limit_account *account)
{
	double part = account->allotment.burst * URGENT_PART;

	if (account->level > account->allotment.burst * URGENT_LEVEL)
		return;
	if (account->unexported >= part)
		limits->urgent[false] = true;
	if (account->unexported_sum >= part)
		limits->urgent[true] = true;
}

bool limit_urgent(const struct limits *limits)
{
	return limits->policy != LIMIT_EQUAL &&
	       (limits->urgent[false] || limits->urgent[true]);
}

static void level_advance(const struct limits *limits,
			  struct limit_account *account, int64_t now)
{
	limits_advance(limits, account, now,
		       limits_share(limits, account, now, 1));
}

/* ---- export ---- */

static double demand_local(const struct limit_account *account, int64_t now)
{
	double sum = 0.0;

	for (guint i = 0; account->peers && i < account->peers->len; i++) {
		const struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);

		if (!peer->source.group &&
		    now - peer->last_seen < LIMIT_SILENT_USEC)
			sum += peer->demand;
	}
	return sum;
}

static void entry_fill(struct limits *limits, struct limit_account *account,
		       int64_t now, bool sums, struct limit_entry *entry)
{
	double demand = account_own_demand(account, now);

	if (sums)
		demand += demand_local(account, now);
	level_advance(limits, account, now);
	*entry = (struct limit_entry){
		.account = account->id,
		.epoch = account->epoch,
		.used = (int64_t)(account->used +
				  (sums ? account->used_local : 0.0)),
		.demand = (uint32_t)MIN(demand, (double)UINT32_MAX),
		.level = limits_is_starting(limits, account, now)
				 ? LIMIT_LEVEL_UNKNOWN
				 : (int64_t)account->level,
	};
}

/* Whether the account is exported: it was requested here recently, or with sums
 * at a local peer. */
static bool is_exported(const struct limit_account *account, int64_t now,
			bool sums)
{
	if (!account->level_known)
		return false;
	if (account->requested_at != LIMIT_NEVER &&
	    now - account->requested_at < LIMIT_IDLE_USEC)
		return true;
	for (guint i = 0; sums && account->peers && i < account->peers->len;
	     i++) {
		const struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);

		if (!peer->source.group &&
		    now - peer->last_seen < LIMIT_IDLE_USEC)
			return true;
	}
	return false;
}

uint32_t limit_export(struct limits *limits, int64_t now, bool sums,
		      struct limit_entry *entries, uint32_t max)
{
	uint32_t all = limits->order.length;
	uint32_t start = all > max ? limits->next_export[sums] % all : 0;
	GList *link = g_queue_peek_nth_link(&limits->order, start);
	uint32_t count = 0;
	uint32_t seen;

	if (limits->policy == LIMIT_EQUAL)
		return 0;
	for (seen = 0; seen < all && count < max; seen++) {
		struct limit_account *account = link->data;

		link = link->next ? link->next : limits->order.head;
		if (is_exported(account, now, sums))
			entry_fill(limits, account, now, sums,
				   &entries[count++]);
	}
	limits->next_export[sums] = start + seen;
	return count;
}

void limit_exported(struct limits *limits)
{
	limits->urgent[false] = false;
	limits->urgent[true] = false;
	for (GList *link = limits->order.head; link; link = link->next) {
		struct limit_account *account = link->data;

		account->unexported = 0.0;
		account->unexported_sum = 0.0;
	}
}

/* ---- merge ---- */

static struct limit_peer *peer_find(struct limit_account *account,
				    const struct limit_source *source)
{
	if (!account->peers)
		account->peers =
			g_array_new(FALSE, TRUE, sizeof(struct limit_peer));
	for (guint i = 0; i < account->peers->len; i++) {
		struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);

		if (peer->source.id == source->id &&
		    peer->source.group == source->group)
			return peer;
	}
	return NULL;
}

/* Keeps the counted source of a data centre however long it is silent. */
static void peers_forget(struct limit_account *account, int64_t now)
{
	for (guint i = account->peers->len; i-- > 0;) {
		const struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);
		bool is_leader = peer->source.group && peer->is_counted;

		if (!is_leader && now - peer->last_seen >= PEER_FORGET_USEC)
			g_array_remove_index_fast(account->peers, i);
	}
}

static struct limit_peer *peer_add(struct limit_account *account,
				   const struct limit_source *source,
				   int64_t now)
{
	struct limit_peer peer = {.source = *source, .last_seen = now};

	peers_forget(account, now);
	g_array_append_val(account->peers, peer);
	return &g_array_index(account->peers, struct limit_peer,
			      account->peers->len - 1);
}

static struct limit_peer *group_leader(struct limit_account *account,
				       uint64_t group)
{
	for (guint i = 0; i < account->peers->len; i++) {
		struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);

		if (peer->source.group == group && peer->is_counted)
			return peer;
	}
	return NULL;
}

/* The first source of a data centre is counted until it falls silent. Then
 * another one replaces it, and its use is counted from the last entry of the
 * silent source on. */
static void leader_choose(struct limit_account *account,
			  struct limit_peer *peer, int64_t now)
{
	struct limit_peer *leader;

	if (peer->is_counted)
		return;
	leader = peer->source.group ? group_leader(account, peer->source.group)
				    : NULL;
	if (leader && now - leader->last_seen < LIMIT_SILENT_USEC)
		return;
	peer->is_counted = true;
	if (!leader)
		return;
	leader->is_counted = false;
	peer->estimated = leader->estimated;
	peer->refundable = leader->refundable;
	leader->estimated = 0.0;
	leader->refundable = 0.0;
}

/* Sets the point from which the other sources of the group are counted if this
 * one falls silent. */
static void group_align(struct limit_account *account,
			const struct limit_peer *leader)
{
	for (guint i = 0; leader->source.group && i < account->peers->len;
	     i++) {
		struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);

		if (peer->source.group == leader->source.group)
			peer->base = peer->used;
	}
}

static void peer_count_usage(struct limits *limits,
			     struct limit_account *account,
			     struct limit_peer *peer)
{
	double units = (double)(peer->used - peer->base);
	double spare = MIN(peer->estimated - units, peer->refundable);

	peer->base = peer->used;
	if (limits->policy == LIMIT_COUNTS)
		account->level =
			MIN(account->level + spare, account->allotment.burst);
	peer->estimated = 0.0;
	peer->refundable = 0.0;
	if (!peer->source.group) {
		account->used_local += units;
		account->unexported_sum += units;
		limit_mark_urgent(limits, account);
	}
	group_align(account, peer);
}

static void peer_update(struct limit_peer *peer,
			const struct limit_entry *entry, bool already_counted)
{
	if (peer->epoch != entry->epoch)
		peer->base = already_counted ? entry->used : 0;
	peer->epoch = entry->epoch;
	peer->used = entry->used;
	peer->demand = entry->demand;
}

/* Whether the use in the first entry of a source was counted already: in an
 * adopted level, or from another source of the same data centre. */
static bool is_already_counted(struct limit_account *account,
			       const struct limit_peer *peer,
			       const struct limit_entry *entry, int64_t now)
{
	const struct limit_peer *leader;

	if (entry->level != LIMIT_LEVEL_UNKNOWN && peer->epoch == 0 &&
	    account->level_adopted_at != LIMIT_NEVER &&
	    now - account->level_adopted_at < ADOPTED_USEC)
		return true;
	if (!peer->source.group || peer->is_counted)
		return false;
	leader = group_leader(account, peer->source.group);
	return leader && now - leader->last_seen < LIMIT_SILENT_USEC;
}

/* The level of a source, less the use here that it has not received yet,
 * replaces one that was only assumed. A source that has just started sends no
 * level: all of its use is counted. */
static void level_adopt(struct limits *limits, struct limit_account *account,
			const struct limit_entry *entry, int64_t now)
{
	bool assumed = limits->may_have_peers &&
		       now - limits->created < ADOPTED_USEC &&
		       account->level_adopted_at == LIMIT_NEVER;

	if (entry->level == LIMIT_LEVEL_UNKNOWN) {
		if (!account->level_known)
			account_set_level(account, now,
					  limits_initial_level(limits, account,
							       now, 1.0));
		return;
	}
	if (account->level_known && !assumed)
		return;
	account_set_level(account, now,
			  (double)entry->level - account->unexported);
	account->level_adopted_at = now;
}

void limit_merge(struct limits *limits, int64_t now,
		 const struct limit_source *source,
		 const struct limit_entry *entry,
		 const struct limit_allotment *allotment)
{
	struct limit_account *account =
		account_get(limits, now, entry->account);
	struct limit_peer *peer = peer_find(account, source);

	if (limits->first_peer_at == LIMIT_NEVER)
		limits->first_peer_at = now;
	if (!peer)
		peer = peer_add(account, source, now);
	account->allotment = *allotment;
	if (limits->policy == LIMIT_COUNTS)
		level_adopt(limits, account, entry, now);
	level_advance(limits, account, now);
	peer_update(peer, entry, is_already_counted(account, peer, entry, now));
	leader_choose(account, peer, now);
	account_update_fair_share(account, peer, now);
	peer->last_seen = now;
	if (peer->is_counted)
		peer_count_usage(limits, account, peer);
}
