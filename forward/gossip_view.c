/*
 * gossip_view.c - intervals, ranks and totals from the state of the peers
 */
#include <string.h>

#include "gossip_private.h"

/* Number of local peers up to which the base interval applies. The interval
 * grows with more, since load changes on engine servers are sent at once, and
 * the instance that reads the store announces its mirrors more often. */
#define FULL_RATE_LOCAL 6u
/* The same for remote peers. Each of them has only two senders in a data
 * centre. */
#define FULL_RATE_REMOTE 8u
/* Longest intervals. A local summary must arrive well before GOSSIP_STALE_USEC,
 * and remote loads are as old as the remote interval. */
#define INTERVAL_MAX_USEC (1 * USEC_PER_SEC)
#define INTERVAL_REMOTE_MAX_USEC (400 * USEC_PER_MSEC)
/* Interval per other group, so that the messages received in a second do not
 * grow with the number of groups. */
#define INTERVAL_PER_GROUP_USEC (50 * USEC_PER_MSEC)
/* Interval at which remote peers receive the addresses of this group when it is
 * a whole data centre, and the number of summaries between two such when it is
 * not. */
#define MEMBERS_INTERVAL_USEC (1 * USEC_PER_SEC)
#define MEMBERS_MESSAGES 4
/* After this silence a data centre no longer counts as partitioned. */
#define GROUP_FORGET_USEC (30 * USEC_PER_SEC)

int64_t gossip_now(const struct gossip *gossip)
{
	return clock_now(gossip->clock);
}

int64_t gossip_interval(const struct gossip *gossip, bool local)
{
	uint32_t peers = local ? gossip->local->len : gossip->remote->len;
	uint32_t full_rate = local ? FULL_RATE_LOCAL : FULL_RATE_REMOTE;

	int64_t interval =
		MIN(GOSSIP_INTERVAL_USEC * (int64_t)MAX(peers / full_rate, 1u),
		    local ? INTERVAL_MAX_USEC : INTERVAL_REMOTE_MAX_USEC);

	if (local)
		return interval;
	return MAX(interval,
		   gossip->live_group_count * INTERVAL_PER_GROUP_USEC);
}

int64_t gossip_stale(const struct gossip *gossip)
{
	return MAX(GOSSIP_STALE_USEC, gossip_interval(gossip, false) * 5 / 2);
}

int64_t gossip_members_interval(const struct gossip *gossip)
{
	if (gossip->group_count == 1)
		return MEMBERS_INTERVAL_USEC;
	return MAX(gossip_interval(gossip, false) * MEMBERS_MESSAGES,
		   MEMBERS_INTERVAL_USEC);
}

int64_t gossip_members_stale(const struct gossip *gossip)
{
	return MAX(GOSSIP_STALE_USEC, gossip_members_interval(gossip) * 5 / 2);
}

int64_t gossip_delay(const struct gossip *gossip, bool local)
{
	return (int64_t)(local ? gossip->delay_local : gossip->delay_remote);
}

const struct gossip_traffic *gossip_traffic(const struct gossip *gossip)
{
	return &gossip->traffic;
}

uint32_t gossip_instances(const struct gossip *gossip)
{
	return g_hash_table_size(gossip->peers) + 1;
}

uint32_t gossip_live_count(const struct gossip *gossip)
{
	return gossip->live;
}

bool gossip_grouped(const struct gossip *gossip)
{
	return gossip->group_count > 1;
}

bool gossip_is_local(const struct gossip *gossip, const char *address)
{
	const struct peer *peer = g_hash_table_lookup(gossip->peers, address);

	return peer && group_within(peer->group, gossip->settings.data_centre);
}

bool gossip_partitioned(const struct gossip *gossip)
{
	int64_t bound = MAX(GOSSIP_PARTITIONED_USEC,
			    gossip_interval(gossip, false) * 3);
	int64_t now = gossip_now(gossip);
	struct group_state *group;
	GHashTableIter iter;
	bool others = false;

	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group)) {
		if (group->last_seen == GOSSIP_NEVER || group->left ||
		    group_within(group->name, gossip->settings.data_centre) ||
		    now - group->last_seen >= GROUP_FORGET_USEC)
			continue;
		if (now - group->last_seen < bound)
			return false;
		others = true;
	}
	return others;
}

static int candidate_compare(const struct gossip_candidate *a,
			     const struct gossip_candidate *b)
{
	int order = (int)a->store_unreachable - (int)b->store_unreachable;

	return order ? order : strcmp(a->name, b->name);
}

/* A peer known only from the summaries of others has no name yet. */
static bool is_candidate(const struct gossip *gossip, const struct peer *peer)
{
	return peer_live(gossip, peer) && peer->name[0];
}

static struct gossip_candidate peer_candidate(const struct peer *peer)
{
	struct gossip_candidate first = {
		.store_unreachable = peer_summary(peer)->store_unreachable};

	g_strlcpy(first.name, peer->name, sizeof(first.name));
	return first;
}

static uint32_t local_rank(const struct gossip *gossip)
{
	struct gossip_candidate own = {.store_unreachable =
					       gossip->store_unreachable};
	uint32_t rank = 0;

	g_strlcpy(own.name, gossip->settings.name, sizeof(own.name));
	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];
		struct gossip_candidate one = peer_candidate(peer);

		rank += is_candidate(gossip, peer) &&
			candidate_compare(&one, &own) < 0;
	}
	return rank;
}

static bool mirrors_are_stale(const struct gossip_summary *summary,
			      int64_t usec)
{
	for (int i = 0; i < GOSSIP_MIRRORS; i++)
		if (summary->mirrors[i].age_usec < 0 ||
		    summary->mirrors[i].age_usec > usec)
			return true;
	return false;
}

/* Live local peers that the store does not answer and whose mirrors are stale.
 */
static uint32_t store_unreachable_count(const struct gossip *gossip,
					int64_t usec)
{
	uint32_t count = 0;

	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];

		count += peer_live(gossip, peer) &&
			 peer_summary(peer)->store_unreachable &&
			 mirrors_are_stale(peer_summary(peer), usec);
	}
	return count;
}

/* Whether the lowest instance of another group precedes the lowest of this
 * group. */
static bool other_group_is_lower(const struct gossip *gossip)
{
	struct gossip_candidate first;
	struct group_state *group;
	GHashTableIter iter;

	gossip_lowest_local(gossip, gossip->store_unreachable, false, &first);
	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group))
		if (group_state_live(gossip, group) &&
		    candidate_compare(&group->lowest, &first) < 0)
			return true;
	return false;
}

uint32_t gossip_rank_find(const struct gossip *gossip)
{
	return local_rank(gossip) + other_group_is_lower(gossip);
}

uint32_t gossip_rank(const struct gossip *gossip)
{
	return gossip->rank;
}

static uint32_t silent_count(const struct gossip *gossip)
{
	uint32_t count = 0;

	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];

		count += peer->last_seen == GOSSIP_NEVER;
	}
	return count;
}

void gossip_place(const struct gossip *gossip, struct reader_place *place)
{
	*place = (struct reader_place){
		.rank = gossip->rank,
		.peers = gossip->local->len,
		.silent_peers = silent_count(gossip),
		.instances = gossip_instances(gossip),
		.store_unreachable =
			store_unreachable_count(gossip, READER_STALENESS_USEC),
		.delay_usec = gossip_grouped(gossip)
				      ? gossip_interval(gossip, false)
				      : 0,
	};
}

void gossip_lowest_local(const struct gossip *gossip, bool store_unreachable,
			 bool leaving, struct gossip_candidate *first)
{
	bool found = !leaving;

	g_strlcpy(first->name, gossip->settings.name, sizeof(first->name));
	first->store_unreachable = store_unreachable;
	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];
		struct gossip_candidate one = peer_candidate(peer);

		if (!is_candidate(gossip, peer))
			continue;
		if (!found || candidate_compare(&one, first) < 0)
			*first = one;
		found = true;
	}
}

bool gossip_is_lowest(const struct gossip *gossip, bool store_unreachable)
{
	struct gossip_candidate first;
	struct group_state *group;
	GHashTableIter iter;

	gossip_lowest_local(gossip, store_unreachable, false, &first);
	if (strcmp(first.name, gossip->settings.name) != 0)
		return false;
	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group))
		if (group_state_live(gossip, group) &&
		    candidate_compare(&group->lowest, &first) < 0)
			return false;
	return true;
}

static void changing_add(struct gossip_summary *total,
			 const struct gossip_summary *summary)
{
	for (uint32_t i = 0; i < summary->changing_count &&
			     total->changing_count < GOSSIP_CHANGING_MAX;
	     i++)
		total->changing[total->changing_count++] = summary->changing[i];
}

void gossip_servers_own(const struct gossip *gossip,
			struct gossip_summary *summary)
{
	if (gossip->ops.servers)
		gossip->ops.servers(gossip->ctx, summary);
}

void gossip_servers_local(const struct gossip *gossip,
			  struct gossip_summary *summary)
{
	gossip_servers_own(gossip, summary);
	summary->unreachable_count = 0;
	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];

		if (peer_live(gossip, peer))
			changing_add(summary, peer_summary(peer));
	}
}

static void ranks_add(struct gossip_summary *total,
		      const struct gossip_summary *summary)
{
	if (!summary->ranked)
		total->waiting_ranked[0] += summary->waiting;
	for (uint32_t i = 0; summary->ranked && i < PRECEDENCE_RANKS; i++)
		total->waiting_ranked[i] += summary->waiting_ranked[i];
}

static void totals_add(struct gossip_summary *total,
		       const struct gossip_summary *summary)
{
	total->demand += summary->demand;
	total->waiting += summary->waiting;
	total->prefill_rates += summary->prefill_rates;
	total->prefill_rate_count += summary->prefill_rate_count;
	ranks_add(total, summary);
}

void gossip_total_local(const struct gossip *gossip,
			struct gossip_summary *total)
{
	gossip->ops.summary(gossip->ctx, total);
	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];

		if (peer_live(gossip, peer))
			totals_add(total, peer_summary(peer));
	}
}

void gossip_total(const struct gossip *gossip, struct gossip_summary *total)
{
	struct group_state *group;
	GHashTableIter iter;

	gossip_total_local(gossip, total);
	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group))
		if (group_state_live(gossip, group))
			totals_add(total, &group->total);
}
