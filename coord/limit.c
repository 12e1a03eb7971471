#include "coord/limit.h"

#include <string.h>

#include "common/clock.h"
#include "limit_account.h"

/* Part of the rate that a starting instance admits until half a second after
 * the first message of a peer, and for at most three seconds. After a start of
 * all instances at once each of them would admit the whole rate. */
#define START_RATE_PART 0.35
#define START_AFTER_PEER_USEC (500 * USEC_PER_MSEC)
#define START_MAX_USEC (3 * USEC_PER_SEC)
/* Longest retry delay given to a caller, however many are waiting. */
#define RETRY_MAX_USEC (5 * USEC_PER_SEC)

static const char *const policy_names[LIMIT_POLICY_COUNT] = {
	[LIMIT_COUNTS] = "counts",
	[LIMIT_DEMAND] = "demand",
	[LIMIT_EQUAL] = "equal",
};

bool limit_policy_find(const char *name, enum limit_policy *policy)
{
	for (int i = 0; i < LIMIT_POLICY_COUNT; i++) {
		if (strcmp(name, policy_names[i]) != 0)
			continue;
		*policy = (enum limit_policy)i;
		return true;
	}
	return false;
}

const char *limit_policy_name(enum limit_policy policy)
{
	return policy_names[policy];
}

struct limits *limits_create(const struct limit_settings *settings)
{
	struct limits *limits = g_new0(struct limits, 1);

	limits->policy = settings->policy;
	limits->created = settings->now;
	limits->first_peer_at = LIMIT_NEVER;
	limits->may_have_peers = settings->may_have_peers;
	limits->epochs = settings->epoch;
	limits->accounts_max = settings->accounts_max ? settings->accounts_max
						      : LIMIT_ACCOUNTS_MAX;
	limits->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, account_free);
	g_queue_init(&limits->order);
	return limits;
}

void limits_destroy(struct limits *limits)
{
	if (!limits)
		return;
	g_hash_table_unref(limits->accounts);
	g_free(limits);
}

void limits_set_policy(struct limits *limits, enum limit_policy policy)
{
	limits->policy = policy;
}

uint32_t limits_count(const struct limits *limits)
{
	return g_hash_table_size(limits->accounts);
}

static void oldest_evict(struct limits *limits)
{
	struct limit_account *account = limits->order.head->data;

	g_queue_unlink(&limits->order, &account->link);
	g_hash_table_remove(limits->accounts, &account->id);
}

struct limit_account *account_get(struct limits *limits, int64_t now,
				  uint64_t id)
{
	struct limit_account *account =
		g_hash_table_lookup(limits->accounts, &id);

	if (account) {
		g_queue_unlink(&limits->order, &account->link);
		g_queue_push_tail_link(&limits->order, &account->link);
		return account;
	}
	if (limits_count(limits) >= limits->accounts_max)
		oldest_evict(limits);
	account = g_new0(struct limit_account, 1);
	account->id = id;
	account->epoch = ++limits->epochs;
	account->at = now;
	account->demand_at = now;
	account->requested_at = LIMIT_NEVER;
	account->level_adopted_at = LIMIT_NEVER;
	account->link.data = account;
	g_queue_push_tail_link(&limits->order, &account->link);
	g_hash_table_insert(limits->accounts, &account->id, account);
	return account;
}

double limits_share(const struct limits *limits,
		    const struct limit_account *account, int64_t now,
		    uint32_t sharers)
{
	if (limits->policy == LIMIT_EQUAL)
		return 1.0 / MAX(sharers, 1u);
	if (limits->policy == LIMIT_DEMAND)
		return account_demand_share(account, now);
	return 1.0;
}

bool limits_is_starting(const struct limits *limits,
			const struct limit_account *account, int64_t now)
{
	int64_t until = limits->created + START_MAX_USEC;

	if (limits->first_peer_at != LIMIT_NEVER)
		until = MIN(until,
			    limits->first_peer_at + START_AFTER_PEER_USEC);
	return limits->may_have_peers && limits->policy == LIMIT_COUNTS &&
	       now < until && account->level_adopted_at == LIMIT_NEVER;
}

double limits_rate_part(const struct limits *limits,
			const struct limit_account *account, int64_t now)
{
	return limits_is_starting(limits, account, now) ? START_RATE_PART : 1.0;
}

void limits_advance(const struct limits *limits, struct limit_account *account,
		    int64_t now, double share)
{
	account_advance(account, now, share,
			limits_rate_part(limits, account, now),
			limits->policy == LIMIT_COUNTS);
}

double limits_initial_level(const struct limits *limits,
			    const struct limit_account *account, int64_t now,
			    double share)
{
	double sec = (double)(now - limits->created) / (double)USEC_PER_SEC;
	double burst = account->allotment.burst;
	double fill = limits->policy == LIMIT_COUNTS ? START_RATE_PART : 1.0;
	double part =
		burst * LIMIT_START_PART + account->allotment.rate * fill * sec;

	if (!limits->may_have_peers)
		return burst * share;
	return MIN(part, burst) * share;
}

static void account_allot(struct limits *limits, struct limit_account *account,
			  int64_t now, const struct limit_request *request,
			  double share)
{
	account->allotment = request->allotment;
	if (!account->level_known)
		account_set_level(
			account, now,
			limits_initial_level(limits, account, now, share));
	account->level = MIN(account->level, account->allotment.burst * share);
}

/* Spreads the retries of refused callers at the fill rate of the bucket. */
static void refusal_fill(struct limit_account *account, int64_t now,
			 double units, double fill_rate,
			 struct limit_refusal *refusal)
{
	double sec = MAX(units - account->level, 0.0) / fill_rate;
	int64_t fits = now + (int64_t)(sec * (double)USEC_PER_SEC) + 1;

	*refusal = (struct limit_refusal){
		.level = account->level,
		.age_usec = account_data_age(account, now),
	};
	if (units > account->allotment.burst)
		return;
	if (account->last_retry_at < fits)
		account->last_retry_at = fits;
	else
		account->last_retry_at +=
			(int64_t)(units / fill_rate * (double)USEC_PER_SEC);
	account->last_retry_at =
		MIN(account->last_retry_at, now + RETRY_MAX_USEC);
	refusal->retry_usec = account->last_retry_at - now;
}

/* A bucket with a share of the allotment may be smaller than one request; such
 * a request needs a full bucket. */
static bool account_fits(const struct limits *limits,
			 const struct limit_account *account, double units,
			 double share)
{
	double whole = account->allotment.burst * share;

	if (limits->policy != LIMIT_COUNTS && units <= account->allotment.burst)
		units = MIN(units, whole);
	return account->level >= units;
}

static void account_use(struct limits *limits, struct limit_account *account,
			double units)
{
	account->level -= units;
	account->used += units;
	account->unexported += units;
	account->unexported_sum += units;
	limit_mark_urgent(limits, account);
}

static void account_touch(struct limits *limits, struct limit_account *account,
			  int64_t now)
{
	if (account->requested_at != LIMIT_NEVER &&
	    now - account->requested_at >= LIMIT_IDLE_USEC) {
		account->epoch = ++limits->epochs;
		account->used = 0.0;
		account->used_local = 0.0;
	}
	account->requested_at = now;
}

bool limit_take(struct limits *limits, int64_t now,
		const struct limit_request *request,
		struct limit_refusal *refusal)
{
	struct limit_account *account;
	double share;
	double fill_rate;

	if (request->allotment.rate <= 0.0)
		return true;
	account = account_get(limits, now, request->account);
	account_touch(limits, account, now);
	account_add_demand(account, now, request->units);
	share = limits_share(limits, account, now, request->sharers);
	account_allot(limits, account, now, request, share);
	limits_advance(limits, account, now, share);
	if (account_fits(limits, account, request->units, share)) {
		account_use(limits, account, request->units);
		return true;
	}
	fill_rate = account_fill_rate(
		account, now, share * limits_rate_part(limits, account, now),
		limits->policy == LIMIT_COUNTS);
	refusal_fill(account, now, request->units, fill_rate, refusal);
	return false;
}

void limit_return(struct limits *limits, int64_t now, uint64_t id, double units)
{
	struct limit_account *account =
		g_hash_table_lookup(limits->accounts, &id);

	if (!account || !account->level_known)
		return;
	account->level = MIN(account->level + units, account->allotment.burst);
	account->used -= units;
	account->unexported -= units;
	account->unexported_sum -= units;
}

double limit_level(struct limits *limits, int64_t now, uint64_t id)
{
	struct limit_account *account =
		g_hash_table_lookup(limits->accounts, &id);

	if (!account)
		return 0.0;
	if (limits->policy == LIMIT_COUNTS)
		limits_advance(limits, account, now, 1.0);
	return account->level;
}
