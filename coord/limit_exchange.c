/*
 * limit_export.c - what instances tell each other of the use of allotments
 */
#include "common/clock.h"
#include "limit_account.h"

/* Used since the last telling, as a part of the burst, that others hear of at
 * once. At eight times the allotment from one instance to the next 100 ms that
 * is passed in 8 ms, so what is used unheard of stays near one telling. */
#define URGENT_PART 0.0625
/* As long as more than this part of the burst is left nothing is urgent: under
 * ordinary load the bucket is nearly full, and words every few hundred
 * milliseconds do. */
#define URGENT_LEVEL 0.75
/* For so long after a level was taken over, what a source tells first is the
 * past, which that level holds already; later it has just begun to use the
 * account. */
#define ADOPTED_USEC (3 * USEC_PER_SEC)
/* A source that does not count is forgotten after this time. */
#define FORGET_USEC (30 * USEC_PER_SEC)

void limit_mark_urgent(struct limits *limits,
		       const struct limit_account *account)
{
	double part = account->allotment.burst * URGENT_PART;

	if (account->level > account->allotment.burst * URGENT_LEVEL)
		return;
	if (account->untold >= part)
		limits->urgent[false] = true;
	if (account->untold_sum >= part)
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

/* ---- telling ---- */

static double demand_near(const struct limit_account *account, int64_t now)
{
	double sum = 0.0;

	for (guint i = 0; account->peers && i < account->peers->len; i++) {
		const struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);

		if (!peer->source.group &&
		    now - peer->heard < LIMIT_SILENT_USEC)
			sum += peer->demand;
	}
	return sum;
}

static void entry_fill(struct limits *limits, struct limit_account *account,
		       int64_t now, bool sums, struct limit_entry *entry)
{
	double demand = account_demand_here(account, now);

	if (sums)
		demand += demand_near(account, now);
	level_advance(limits, account, now);
	*entry = (struct limit_entry){
		.account = account->id,
		.epoch = account->epoch,
		.used = (int64_t)(account->used +
				  (sums ? account->used_near : 0.0)),
		.demand = (uint32_t)MIN(demand, (double)UINT32_MAX),
		.level = limits_alone(limits, account, now)
				 ? LIMIT_LEVEL_UNKNOWN
				 : (int64_t)account->level,
	};
}

/* Whether anybody needs to hear of it: used here lately, or near when sums are
 * told. */
static bool is_told(const struct limit_account *account, int64_t now, bool sums)
{
	if (!account->level_known)
		return false;
	if (account->asked_at != LIMIT_NEVER &&
	    now - account->asked_at < LIMIT_IDLE_USEC)
		return true;
	for (guint i = 0; sums && account->peers && i < account->peers->len;
	     i++) {
		const struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);

		if (!peer->source.group && now - peer->heard < LIMIT_IDLE_USEC)
			return true;
	}
	return false;
}

uint32_t limit_export(struct limits *limits, int64_t now, bool sums,
		      struct limit_entry *entries, uint32_t most)
{
	uint32_t all = limits->order.length;
	uint32_t start = all > most ? limits->turn[sums] % all : 0;
	GList *link = g_queue_peek_nth_link(&limits->order, start);
	uint32_t count = 0;
	uint32_t seen;

	if (limits->policy == LIMIT_EQUAL)
		return 0;
	for (seen = 0; seen < all && count < most; seen++) {
		struct limit_account *account = link->data;

		link = link->next ? link->next : limits->order.head;
		if (is_told(account, now, sums))
			entry_fill(limits, account, now, sums,
				   &entries[count++]);
	}
	limits->turn[sums] = start + seen;
	return count;
}

void limit_exported(struct limits *limits)
{
	limits->urgent[false] = false;
	limits->urgent[true] = false;
	for (GList *link = limits->order.head; link; link = link->next) {
		struct limit_account *account = link->data;

		account->untold = 0.0;
		account->untold_sum = 0.0;
	}
}

/* ---- hearing ---- */

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

/* A data centre's leader is kept however long it is silent. */
static void peers_forget(struct limit_account *account, int64_t now)
{
	for (guint i = account->peers->len; i-- > 0;) {
		const struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);
		bool leads = peer->source.group && peer->counts;

		if (!leads && now - peer->heard >= FORGET_USEC)
			g_array_remove_index_fast(account->peers, i);
	}
}

static struct limit_peer *peer_add(struct limit_account *account,
				   const struct limit_source *source,
				   int64_t now)
{
	struct limit_peer peer = {.source = *source, .heard = now};

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

		if (peer->source.group == group && peer->counts)
			return peer;
	}
	return NULL;
}

/* Of those who tell of one data centre the first one counts, until it has been
 * silent: then another one goes on from where it was when that one told last.
 */
static void leader_choose(struct limit_account *account,
			  struct limit_peer *peer, int64_t now)
{
	struct limit_peer *leader;

	if (peer->counts)
		return;
	leader = peer->source.group ? group_leader(account, peer->source.group)
				    : NULL;
	if (leader && now - leader->heard < LIMIT_SILENT_USEC)
		return;
	peer->counts = true;
	if (!leader)
		return;
	leader->counts = false;
	peer->presumed = leader->presumed;
	peer->to_give_back = leader->to_give_back;
	leader->presumed = 0.0;
	leader->to_give_back = 0.0;
}

/* The others of its group go on from here if it falls silent. */
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

static void used_count(struct limits *limits, struct limit_account *account,
		       struct limit_peer *peer)
{
	double units = (double)(peer->used - peer->base);
	double spare = MIN(peer->presumed - units, peer->to_give_back);

	peer->base = peer->used;
	if (limits->policy == LIMIT_COUNTS)
		account->level =
			MIN(account->level + spare, account->allotment.burst);
	peer->presumed = 0.0;
	peer->to_give_back = 0.0;
	if (!peer->source.group) {
		account->used_near += units;
		account->untold_sum += units;
		limit_mark_urgent(limits, account);
	}
	group_align(account, peer);
}

static void peer_tell(struct limit_peer *peer, const struct limit_entry *entry,
		      bool past)
{
	if (peer->epoch != entry->epoch)
		peer->base = past ? entry->used : 0;
	peer->epoch = entry->epoch;
	peer->used = entry->used;
	peer->demand = entry->demand;
}

/* Whether what a source tells first was counted already: with the level that
 * was taken over, or by another one that tells of the same data centre. */
static bool is_past(struct limit_account *account,
		    const struct limit_peer *peer,
		    const struct limit_entry *entry, int64_t now)
{
	const struct limit_peer *leader;

	if (entry->level != LIMIT_LEVEL_UNKNOWN && peer->epoch == 0 &&
	    account->adopted_at != LIMIT_NEVER &&
	    now - account->adopted_at < ADOPTED_USEC)
		return true;
	if (!peer->source.group || peer->counts)
		return false;
	leader = group_leader(account, peer->source.group);
	return leader && now - leader->heard < LIMIT_SILENT_USEC;
}

/* The level of a source goes before one that was only assumed, less what was
 * used here that the source has not heard of. One that has just started too
 * tells no level: all that it used since counts. */
static void level_adopt(struct limits *limits, struct limit_account *account,
			const struct limit_entry *entry, int64_t now)
{
	bool assumed = limits->joins && now - limits->created < ADOPTED_USEC &&
		       account->adopted_at == LIMIT_NEVER;

	if (entry->level == LIMIT_LEVEL_UNKNOWN) {
		if (!account->level_known)
			account_begin(
				account, now,
				limits_first_level(limits, account, now, 1.0));
		return;
	}
	if (account->level_known && !assumed)
		return;
	account_begin(account, now, (double)entry->level - account->untold);
	account->adopted_at = now;
}

void limit_merge(struct limits *limits, int64_t now,
		 const struct limit_source *source,
		 const struct limit_entry *entry,
		 const struct limit_allotment *allotment)
{
	struct limit_account *account =
		account_get(limits, now, entry->account);
	struct limit_peer *peer = peer_find(account, source);

	if (limits->met == LIMIT_NEVER)
		limits->met = now;
	if (!peer)
		peer = peer_add(account, source, now);
	account->allotment = *allotment;
	if (limits->policy == LIMIT_COUNTS)
		level_adopt(limits, account, entry, now);
	level_advance(limits, account, now);
	peer_tell(peer, entry, is_past(account, peer, entry, now));
	leader_choose(account, peer, now);
	account_note_part(account, peer, now);
	peer->heard = now;
	if (peer->counts)
		used_count(limits, account, peer);
}
