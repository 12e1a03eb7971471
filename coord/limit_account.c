#include "limit_account.h"

#include <math.h>

#include "common/clock.h"

/* Time constant of the demand average: long enough not to follow single
 * requests. */
#define DEMAND_USEC (8 * USEC_PER_SEC)
/* Part of the allotment that is split equally among the data centres while one
 * is silent, whatever the demand there was before: callers may move to it after
 * it fell silent. */
#define EQUAL_PART 0.3
/* A silent instance is ignored after this time; a group, which is a data
 * centre, never is. */
#define PEER_EXPIRY_USEC (30 * USEC_PER_SEC)
/* How far the level may fall below zero, in bursts: use by others that arrives
 * late is paid back, but no organisation is refused for minutes. */
#define DEBT_BURSTS 1.0
/* Lowest fill rate for retry delays, as a part of the rate. */
#define FILL_RATE_MIN_PART 0.02

void account_free(gpointer data)
{
	struct limit_account *account = data;

	if (account->peers)
		g_array_unref(account->peers);
	g_free(account);
}

static double demand_decay(int64_t usec)
{
	return exp(-(double)usec / (double)DEMAND_USEC);
}

double account_own_demand(const struct limit_account *account, int64_t now)
{
	return account->demand * demand_decay(now - account->demand_at) /
	       ((double)DEMAND_USEC / (double)USEC_PER_SEC);
}

void account_add_demand(struct limit_account *account, int64_t now,
			double units)
{
	account->demand =
		account->demand * demand_decay(now - account->demand_at) +
		units;
	account->demand_at = now;
}

static const struct limit_peer *peer_at(const struct limit_account *account,
					guint i)
{
	return &g_array_index(account->peers, struct limit_peer, i);
}

static guint peer_count(const struct limit_account *account)
{
	return account->peers ? account->peers->len : 0;
}

static bool peer_expired(const struct limit_peer *peer, int64_t now)
{
	return !peer->source.group && now - peer->last_seen >= PEER_EXPIRY_USEC;
}

double account_total_demand(const struct limit_account *account, int64_t now)
{
	double sum = account_own_demand(account, now);

	for (guint i = 0; i < peer_count(account); i++) {
		const struct limit_peer *peer = peer_at(account, i);

		if (peer->is_counted && !peer_expired(peer, now))
			sum += peer->demand;
	}
	return sum;
}

double account_demand_share(const struct limit_account *account, int64_t now)
{
	double all = account_total_demand(account, now);

	return all > 0.0 ? account_own_demand(account, now) / all : 1.0;
}

static double demand_share(const struct limit_peer *peer, double all)
{
	return all > 0.0 ? peer->demand / all : 0.0;
}

void account_update_fair_share(const struct limit_account *account,
			       struct limit_peer *peer, int64_t now)
{
	peer->fair_share =
		demand_share(peer, account_total_demand(account, now));
}

static guint groups_count(const struct limit_account *account)
{
	guint count = 1;

	for (guint i = 0; i < peer_count(account); i++)
		count += peer_at(account, i)->is_counted &&
			 peer_at(account, i)->source.group;
	return count;
}

/* The estimated use by a peer, in units a second. */
static double peer_rate(const struct limit_account *account,
			const struct limit_peer *peer, int64_t now, double all)
{
	double fair_share = demand_share(peer, all);

	if (!peer->is_counted || peer_expired(peer, now))
		return 0.0;
	if (now - peer->last_seen < LIMIT_SILENT_USEC)
		return MIN(peer->demand, account->allotment.rate * fair_share);
	/* Uses the share from before the silence: in a partition, both sides
	 * may count the demand that has arrived since. */
	fair_share = peer->fair_share;
	if (peer->source.group)
		fair_share = fair_share * (1.0 - EQUAL_PART) +
			     EQUAL_PART / (double)groups_count(account);
	return account->allotment.rate * fair_share;
}

static double peers_rate(const struct limit_account *account, int64_t now)
{
	double all = account_total_demand(account, now);
	double sum = 0.0;

	for (guint i = 0; i < peer_count(account); i++)
		sum += peer_rate(account, peer_at(account, i), now, all);
	return sum;
}

double account_fill_rate(const struct limit_account *account, int64_t now,
			 double share, bool subtract_peers)
{
	double fill_rate = account->allotment.rate * share;

	if (subtract_peers)
		fill_rate -= peers_rate(account, now);
	return MAX(fill_rate, account->allotment.rate * FILL_RATE_MIN_PART);
}

static double peers_estimate(struct limit_account *account, int64_t now,
			     double sec)
{
	double all = account_total_demand(account, now);
	double sum = 0.0;

	for (guint i = 0; i < peer_count(account); i++) {
		struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);
		double units = peer_rate(account, peer, now, all) * sec;

		peer->estimated += units;
		peer->refundable += units;
		sum += units;
	}
	return sum;
}

static void level_bound(struct limit_account *account, double share)
{
	/* The bucket is full in spite of the estimates, so nothing is left to
	 * refund. */
	if (account->level > account->allotment.burst * share)
		for (guint i = 0; i < peer_count(account); i++)
			g_array_index(account->peers, struct limit_peer, i)
				.refundable = 0.0;
	account->level =
		CLAMP(account->level, -account->allotment.burst * DEBT_BURSTS,
		      account->allotment.burst * share);
}

void account_advance(struct limit_account *account, int64_t now, double share,
		     double rate_part, bool subtract_peers)
{
	double sec = (double)(now - account->at) / (double)USEC_PER_SEC;

	if (!account->level_known || sec <= 0.0)
		return;
	account->at = now;
	account->level += account->allotment.rate * share * rate_part * sec;
	if (subtract_peers)
		account->level -= peers_estimate(account, now, sec);
	level_bound(account, share);
}

int64_t account_data_age(const struct limit_account *account, int64_t now)
{
	int64_t age = -1;

	for (guint i = 0; i < peer_count(account); i++) {
		const struct limit_peer *peer = peer_at(account, i);

		if (peer->is_counted && !peer_expired(peer, now))
			age = MAX(age, now - peer->last_seen);
	}
	return age;
}

void account_set_level(struct limit_account *account, int64_t now, double level)
{
	account->level = level;
	account->level_known = true;
	account->at = now;
}
