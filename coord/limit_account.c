#include "limit_account.h"

#include <math.h>

#include "common/clock.h"

/* What was asked for is averaged over this time: long enough not to follow
 * single requests. */
#define DEMAND_USEC (8 * USEC_PER_SEC)
/* Part of the allotment that goes to each data centre alike while one is
 * silent, whatever was asked there before: callers may come to it only then. */
#define ALIKE_PART 0.3
/* A single silent instance is taken for gone after this time; a group, which is
 * a data centre, never is. */
#define GONE_USEC (30 * USEC_PER_SEC)
/* How far the level may fall below zero, in bursts: what others used unheard
 * of is paid back, but no organisation is kept out for minutes. */
#define DEBT_BURSTS 1.0
/* Least pace that a caller is told by, as a part of the rate. */
#define PACE_LEAST 0.02

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

double account_demand_here(const struct limit_account *account, int64_t now)
{
	return account->demand * demand_decay(now - account->demand_at) /
	       ((double)DEMAND_USEC / (double)USEC_PER_SEC);
}

void account_demand(struct limit_account *account, int64_t now, double units)
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

static bool peer_gone(const struct limit_peer *peer, int64_t now)
{
	return !peer->source.group && now - peer->heard >= GONE_USEC;
}

double account_demand_all(const struct limit_account *account, int64_t now)
{
	double sum = account_demand_here(account, now);

	for (guint i = 0; i < peer_count(account); i++) {
		const struct limit_peer *peer = peer_at(account, i);

		if (peer->counts && !peer_gone(peer, now))
			sum += peer->demand;
	}
	return sum;
}

double account_part(const struct limit_account *account, int64_t now)
{
	double all = account_demand_all(account, now);

	return all > 0.0 ? account_demand_here(account, now) / all : 1.0;
}

static double demand_part(const struct limit_peer *peer, double all)
{
	return all > 0.0 ? peer->demand / all : 0.0;
}

void account_note_part(const struct limit_account *account,
		       struct limit_peer *peer, int64_t now)
{
	peer->fair = demand_part(peer, account_demand_all(account, now));
}

static guint groups_count(const struct limit_account *account)
{
	guint count = 1;

	for (guint i = 0; i < peer_count(account); i++)
		count += peer_at(account, i)->counts &&
			 peer_at(account, i)->source.group;
	return count;
}

/* What a peer is presumed to use, units a second. */
static double peer_pace(const struct limit_account *account,
			const struct limit_peer *peer, int64_t now, double all)
{
	double fair = demand_part(peer, all);

	if (!peer->counts || peer_gone(peer, now))
		return 0.0;
	if (now - peer->heard < LIMIT_SILENT_USEC)
		return MIN(peer->demand, account->allotment.rate * fair);
	/* As it was before: what is asked for here since, the other side of a
	 * cut may be asked for too. */
	fair = peer->fair;
	if (peer->source.group)
		fair = fair * (1.0 - ALIKE_PART) +
		       ALIKE_PART / (double)groups_count(account);
	return account->allotment.rate * fair;
}

static double peers_pace(const struct limit_account *account, int64_t now)
{
	double all = account_demand_all(account, now);
	double sum = 0.0;

	for (guint i = 0; i < peer_count(account); i++)
		sum += peer_pace(account, peer_at(account, i), now, all);
	return sum;
}

double account_pace(const struct limit_account *account, int64_t now,
		    double share, bool counts)
{
	double pace = account->allotment.rate * share;

	if (counts)
		pace -= peers_pace(account, now);
	return MAX(pace, account->allotment.rate * PACE_LEAST);
}

static double peers_presume(struct limit_account *account, int64_t now,
			    double sec)
{
	double all = account_demand_all(account, now);
	double sum = 0.0;

	for (guint i = 0; i < peer_count(account); i++) {
		struct limit_peer *peer =
			&g_array_index(account->peers, struct limit_peer, i);
		double units = peer_pace(account, peer, now, all) * sec;

		peer->presumed += units;
		peer->to_give_back += units;
		sum += units;
	}
	return sum;
}

static void level_bound(struct limit_account *account, double share)
{
	/* Full in spite of what was presumed. */
	if (account->level > account->allotment.burst * share)
		for (guint i = 0; i < peer_count(account); i++)
			g_array_index(account->peers, struct limit_peer, i)
				.to_give_back = 0.0;
	account->level =
		CLAMP(account->level, -account->allotment.burst * DEBT_BURSTS,
		      account->allotment.burst * share);
}

void account_advance(struct limit_account *account, int64_t now, double share,
		     double rise, bool counts)
{
	double sec = (double)(now - account->at) / (double)USEC_PER_SEC;

	if (!account->level_known || sec <= 0.0)
		return;
	account->at = now;
	account->level += account->allotment.rate * share * rise * sec;
	if (counts)
		account->level -= peers_presume(account, now, sec);
	level_bound(account, share);
}

int64_t account_age(const struct limit_account *account, int64_t now)
{
	int64_t age = -1;

	for (guint i = 0; i < peer_count(account); i++) {
		const struct limit_peer *peer = peer_at(account, i);

		if (peer->counts && !peer_gone(peer, now))
			age = MAX(age, now - peer->heard);
	}
	return age;
}

void account_begin(struct limit_account *account, int64_t now, double level)
{
	account->level = level;
	account->level_known = true;
	account->at = now;
}
