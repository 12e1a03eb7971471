/*
 * limit.h - allotments of organisations, kept over all instances together
 *
 * DESCRIPTION
 *	An allotment is a rate, in units a second, and a burst: what may be used
 *	at once after a pause. It holds for all instances together. Requests
 *	come to any of them, those of one organisation often to few, and no
 *	instance asks another before it admits. What units are (requests,
 *	tokens) is the embedder's choice.
 *
 *	LIMIT_COUNTS: each instance keeps the level of the whole allotment, as a
 *	bucket that fills at the rate. It takes off what it admits at once, what
 *	others admit when they tell, and until then what they are presumed to
 *	admit: a source that tells goes on as it did, within the allotment; one
 *	that has been silent for LIMIT_SILENT_USEC, be it dead or cut off, uses
 *	its fair part of the rate. Fair parts follow what each data centre or
 *	instance was asked for before, so all sides of a cut add up to the
 *	allotment. When a source speaks again, what it used takes the place of
 *	what was presumed.
 *
 *	LIMIT_DEMAND: each instance has a bucket of its own, whose part of the
 *	rate and burst is its part of what all were asked for lately. No counts.
 *
 *	LIMIT_EQUAL: the same with equal parts for all instances.
 *
 *	The embedder carries what limit_export() gives to limit_merge() of
 *others, by whatever way it has; lost, repeated and reordered entries do no
 *harm as long as older entries of a source do not follow newer ones. Instances
 *	of one data centre tell each other their own use; elsewhere some of them
 *	tell the sum of their data centre, of whom one counts at a time.
 *
 *	An instance that starts, or hears of an account for the first time,
 *	takes over the level that it is told. Where nobody tells, as when all
 *	were stopped at once, the buckets of one that starts begin nearly empty
 *	(LIMIT_START_PART) and rise by a part of the rate until it has met the
 *	others, so that the use before is forgotten but the allotment is not
 *	passed. Until then it tells what it used, but no level.
 *
 *	Units are doubles, times microseconds of the embedder's clock; the
 *	module has no clock of its own and no network. It keeps some 200 bytes
 *	an account and 64 for each source that tells of it.
 *
 * RETURN VALUE
 *	limit_take() is true when the units were taken. When it is false,
 *	refusal says when they would fit.
 */
#ifndef COORD_LIMIT_H
#define COORD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* More than three words of a peer that tells every 400 ms. */
#define LIMIT_SILENT_USEC 1200000
/* Part of a burst that an instance which just started, and was told nothing,
 * may admit. */
#define LIMIT_START_PART 0.0625
#define LIMIT_ACCOUNTS_MAX 65536u
/* Told by one that started and has not heard of the others' use yet. */
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
	/* The process starts anew while others may have used allotments; else
	 * buckets are full at first. */
	bool may_have_peers;
};

struct limit_allotment {
	double rate;  /* units a second; 0: no limit */
	double burst; /* units */
};

/* What is asked of an account. */
struct limit_request {
	uint64_t account;
	struct limit_allotment allotment;
	double units;
	uint32_t sharers; /* instances, for LIMIT_EQUAL */
};

struct limit_refusal {
	int64_t retry_usec; /* when it will fit; 0: never, it is too large */
	double level;	    /* units that may be used now */
	int64_t age_usec;   /* of the oldest word counted on; -1: none */
};

/* What an instance, or the sum of its data centre, has used of an account. */
struct limit_entry {
	uint64_t account;
	uint32_t epoch;	 /* changes when used starts from 0 again */
	int64_t used;	 /* units since */
	uint32_t demand; /* units a second asked for lately */
	int64_t level;	 /* as this instance believes; LIMIT_LEVEL_UNKNOWN */
};

/* Who tells. Sources of one group tell of the same use: one counts at a time.
 */
struct limit_source {
	uint64_t id;
	uint64_t group; /* a data centre elsewhere; 0: itself alone */
};

struct limits *limits_create(const struct limit_settings *settings);
void limits_destroy(struct limits *limits);
/* False for a policy that there is none of that name. */
bool limit_policy_find(const char *name, enum limit_policy *policy);
const char *limit_policy_name(enum limit_policy policy);
void limits_set_policy(struct limits *limits, enum limit_policy policy);

bool limit_take(struct limits *limits, int64_t now,
		const struct limit_request *request,
		struct limit_refusal *refusal);
/* Gives back units that were taken for work that surely did not run. */
void limit_return(struct limits *limits, int64_t now, uint64_t account,
		  double units);

/* Fills entries, in turn when there are more than most: own use, or with sums
 * that of the data centre. Returns how many. */
uint32_t limit_export(struct limits *limits, int64_t now, bool sums,
		      struct limit_entry *entries, uint32_t max);
void limit_merge(struct limits *limits, int64_t now,
		 const struct limit_source *source,
		 const struct limit_entry *entry,
		 const struct limit_allotment *allotment);
/* Whether so much was used since limit_exported() that others should hear of it
 * before their next turn. */
bool limit_urgent(const struct limits *limits);
/* All that limit_export() gave was told to all that are to hear it. */
void limit_exported(struct limits *limits);

/* Accounts now in the table; bounded, the one used longest ago goes first. */
uint32_t limits_count(const struct limits *limits);
/* What may be used of an account now; 0 when it is not known. */
double limit_level(struct limits *limits, int64_t now, uint64_t account);

#endif
