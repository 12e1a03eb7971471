/*
 * limit.h - rate limits of organisations, shared by all instances
 *
 * DESCRIPTION
 *	An allotment is a rate, in units a second, and a burst: the units that
 *	may be used at once after a pause. It applies to all instances together.
 *	Requests arrive at any instance, those of one organisation often at a
 *	few, and no instance contacts another before it admits one. The embedder
 *	chooses the unit (requests, tokens).
 *
 *	LIMIT_COUNTS: each instance keeps the level of the whole allotment, as a
 *	token bucket that fills at the rate. It subtracts its own use at once,
 *	the use of others when they send it, and until then an estimate: a
 *	source that sends is assumed to continue at its last demand, within the
 *	allotment; one that has been silent for LIMIT_SILENT_USEC, whether
 *	crashed or partitioned, is assumed to use its fair share of the rate.
 *	Fair shares follow the demand at each data centre or instance before the
 *	silence, so all sides of a partition add up to the allotment. When a
 *	source sends again, its actual use replaces the estimate.
 *
 *	LIMIT_DEMAND: each instance has its own bucket, with a share of the rate
 *	and burst in proportion to its share of the recent demand. The use of
 *	others is not counted.
 *
 *	LIMIT_EQUAL: as LIMIT_DEMAND, with equal shares for all instances.
 *
 *	The embedder carries the entries of limit_export() to limit_merge() of
 *	the other instances. Entries may be lost, repeated or reordered, as long
 *	as no older entry of a source follows a newer one. The instances of one
 *	data centre send each other their own use; to other data centres some of
 *	them send the sum of their data centre, and one such source is counted
 *	at a time.
 *
 *	An instance that starts, or receives an account for the first time,
 *	adopts the level that it receives. Where there is no other instance with
 *	a level, as when all were stopped at once, buckets start nearly empty
 *	(LIMIT_START_PART) and fill at a part of the rate until the instance has
 *	received from its peers, so that earlier use is forgotten but the
 *	allotment is not exceeded. Until then it sends its use, but no level.
 *
 *	Units are doubles; times are microseconds of the embedder's clock. The
 *	module has no clock and no network. It keeps about 200 bytes an account
 *	and 64 for each source of an account.
 *
 * RETURN VALUE
 *	limit_take() returns true when the units were taken. When it returns
 *	false, refusal holds the delay until they would fit.
 */
#ifndef COORD_LIMIT_H
#define COORD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Three missed messages of a peer that sends every 400 ms. */
#define LIMIT_SILENT_USEC 1200000
/* Part of a burst that an instance may admit after its start before it has
 * received a level. */
#define LIMIT_START_PART 0.0625
#define LIMIT_ACCOUNTS_MAX 65536u
/* Level sent by an instance that has started and not yet received the use of
 * the others. */
#define LIMIT_LEVEL_UNKNOWN (-((int64_t)1 << 44))

enum limit_policy {
	LIMIT_COUNTS,
	LIMIT_DEMAND,
	LIMIT_EQUAL,
	LIMIT_POLICY_COUNT,
};

struct limits;

struct limit_settings {
	enum limit_policy policy;
	uint32_t accounts_max; /* 0: LIMIT_ACCOUNTS_MAX */
	int64_t now;
	uint32_t epoch; /* rises with each start of the process */
	/* Other instances may have used allotments before this process started;
	 * otherwise buckets start full. */
	bool may_have_peers;
};

struct limit_allotment {
	double rate;  /* units a second; 0: no limit */
	double burst; /* units */
};

/* A request for units of an account. */
struct limit_request {
	uint64_t account;
	struct limit_allotment allotment;
	double units;
	uint32_t sharers; /* instances, for LIMIT_EQUAL */
};

struct limit_refusal {
	int64_t retry_usec; /* until it fits; 0: never, it exceeds the burst */
	double level;	    /* units that may be used now */
	int64_t age_usec;   /* of the oldest entry counted; -1: none */
};

/* The use of an account by an instance, or by its data centre in sum. */
struct limit_entry {
	uint64_t account;
	uint32_t epoch;	 /* changes when used restarts from 0 */
	int64_t used;	 /* units in this epoch */
	uint32_t demand; /* units a second requested recently */
	int64_t level;	 /* as its sender knows it, or LIMIT_LEVEL_UNKNOWN */
};

/* The sender of an entry. Sources of one group send the same use, so one of
 * them is counted at a time. */
struct limit_source {
	uint64_t id;
	uint64_t group; /* a remote data centre; 0: the use of id alone */
};

struct limits *limits_create(const struct limit_settings *settings);
void limits_destroy(struct limits *limits);
/* Returns false when no policy has the name. */
bool limit_policy_find(const char *name, enum limit_policy *policy);
const char *limit_policy_name(enum limit_policy policy);
void limits_set_policy(struct limits *limits, enum limit_policy policy);

bool limit_take(struct limits *limits, int64_t now,
		const struct limit_request *request,
		struct limit_refusal *refusal);
/* Returns units that were taken for a request that certainly did not run. */
void limit_return(struct limits *limits, int64_t now, uint64_t account,
		  double units);

/* Copies at most max entries, after those of the last call, and returns their
 * number: the use of this instance, or with sums that of its data centre. */
uint32_t limit_export(struct limits *limits, int64_t now, bool sums,
		      struct limit_entry *entries, uint32_t max);
void limit_merge(struct limits *limits, int64_t now,
		 const struct limit_source *source,
		 const struct limit_entry *entry,
		 const struct limit_allotment *allotment);
/* Whether entries should be sent before the next regular message: the use of an
 * account since limit_exported() has reached a fixed part of its burst, and its
 * bucket is no longer nearly full. Always false with LIMIT_EQUAL. */
bool limit_urgent(const struct limits *limits);
/* To be called when the entries of limit_export() were sent to all receivers.
 */
void limit_exported(struct limits *limits);

/* Number of accounts. It is bounded; the least recently used is evicted first.
 */
uint32_t limits_count(const struct limits *limits);
/* Units of an account that may be used now; 0 when it is unknown. */
double limit_level(struct limits *limits, int64_t now, uint64_t account);

#endif
