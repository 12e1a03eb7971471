/*
 * limit_account.h - one allotment, as an instance believes it
 */
#ifndef COORD_LIMIT_ACCOUNT_H
#define COORD_LIMIT_ACCOUNT_H

#include <glib.h>

#include "coord/limit.h"

#define LIMIT_NEVER INT64_MIN
/* An account that was not asked for here or told of for so long is told no
 * more: what it used is in no window any longer. Asked for again, it counts
 * from 0, since others may have forgotten where it was. */
#define LIMIT_IDLE_USEC (16 * USEC_PER_SEC)

/* Somebody else's use of an account. */
struct limit_peer {
	struct limit_source source;
	uint32_t epoch;
	int64_t used; /* as told last */
	int64_t base; /* up to where it is counted */
	double demand;
	double fair_share; /* its part of all demand when it was heard last */
	double estimated;  /* taken off since it told last */
	double refundable; /* of that, since the bucket was full last */
	int64_t last_seen;
	bool is_counted; /* of its group, it is the one that counts */
};

struct limit_account {
	uint64_t id;
	GList link; /* of the table, longest unused first */
	int64_t requested_at;
	struct limit_allotment allotment;
	double level;
	bool level_known;
	int64_t level_adopted_at; /* when the level of another one was taken
				     over */
	int64_t at;		  /* up to when the level holds */
	uint32_t epoch;
	double used;	   /* here */
	double used_local; /* by peers of the data centre, as told */
	double demand;	   /* here, decayed up to demand_at */
	int64_t demand_at;
	int64_t last_retry_at; /* up to when callers were told to come back */
	double unexported;     /* used here since the last telling */
	double unexported_sum;
	GArray *peers; /* struct limit_peer; NULL: none */
};

/* Brings the level up to now. share is the part of the allotment that the
 * bucket is of, 1 for the whole, and rise the part of that one's rate. */
void account_advance(struct limit_account *account, int64_t now, double share,
		     double rate_part, bool subtract_peers);
/* Notes that units were asked for. */
void account_add_demand(struct limit_account *account, int64_t now,
			double units);
/* Units a second asked for here lately. */
double account_own_demand(const struct limit_account *account, int64_t now);
/* The same of all that tell, and here. */
double account_total_demand(const struct limit_account *account, int64_t now);
/* Notes the part of that which a peer has just told of. */
void account_update_fair_share(const struct limit_account *account,
			       struct limit_peer *peer, int64_t now);
/* The part of that which came here; 0 to 1. */
double account_demand_share(const struct limit_account *account, int64_t now);
/* How fast the level rises now, units a second; over 0. */
double account_fill_rate(const struct limit_account *account, int64_t now,
			 double share, bool subtract_peers);
/* Age of the oldest word counted on; -1: none. */
int64_t account_data_age(const struct limit_account *account, int64_t now);
/* Sets the level of a bucket that is not known yet. */
void account_set_level(struct limit_account *account, int64_t now,
		       double level);
void account_free(gpointer data);

struct limits {
	enum limit_policy policy;
	uint32_t accounts_max;
	int64_t created;
	int64_t first_peer_at; /* when another instance was heard first; or
				  LIMIT_NEVER */
	bool may_have_peers;
	GHashTable *accounts; /* id to struct limit_account */
	GQueue order;	      /* the same, longest unused first */
	uint32_t epochs;
	uint32_t next_export[2]; /* which account is told next: own, sums */
	bool urgent[2];
};

/* Of limit_export.c: after units were used, here or near. */
void limit_mark_urgent(struct limits *limits,
		       const struct limit_account *account);

/* Whether others may use it that could not tell yet, and the part of the rate
 * that its level rises by. */
bool limits_is_starting(const struct limits *limits,
			const struct limit_account *account, int64_t now);
double limits_rate_part(const struct limits *limits,
			const struct limit_account *account, int64_t now);
/* What an account holds that nobody told of. */
double limits_initial_level(const struct limits *limits,
			    const struct limit_account *account, int64_t now,
			    double share);
/* Brings an account's level up to now. */
void limits_advance(const struct limits *limits, struct limit_account *account,
		    int64_t now, double share);
/* The part of the allotment that this instance's bucket is of. */
double limits_share(const struct limits *limits,
		    const struct limit_account *account, int64_t now,
		    uint32_t sharers);
struct limit_account *account_get(struct limits *limits, int64_t now,
				  uint64_t id);

#endif
