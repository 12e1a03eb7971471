/*
 * limit_account.h - the state of one allotment at an instance
 */
#ifndef COORD_LIMIT_ACCOUNT_H
#define COORD_LIMIT_ACCOUNT_H

#include <glib.h>

#include "coord/limit.h"

#define LIMIT_NEVER INT64_MIN
/* An account that was neither requested nor received for this time is not
 * exported: its use is outside every window. On its next request its use
 * restarts from 0 in a new epoch, as others may have dropped its last count. */
#define LIMIT_IDLE_USEC (16 * USEC_PER_SEC)

/* The use of an account by another source. */
struct limit_peer {
	struct limit_source source;
	uint32_t epoch;
	int64_t used; /* as last received */
	int64_t base; /* the part of it that is counted already */
	double demand;
	double fair_share; /* share of the total demand at last_seen */
	double estimated;  /* estimated use since last_seen */
	double refundable; /* the part of it since the bucket was last full */
	int64_t last_seen;
	bool is_counted; /* false: another source of its group is counted */
};

struct limit_account {
	uint64_t id;
	GList link;	      /* in limits.order */
	int64_t requested_at; /* last request here */
	struct limit_allotment allotment;
	double level;
	bool level_known;
	int64_t level_adopted_at; /* when a peer's level replaced its own */
	int64_t at;		  /* time as of which level holds */
	uint32_t epoch;
	double used;	   /* here, in this epoch */
	double used_local; /* by peers of the data centre, as received */
	double demand;	   /* here, decayed up to demand_at */
	int64_t demand_at;
	int64_t last_retry_at; /* latest time given to a refused caller */
	double unexported;     /* used here since the last export */
	double unexported_sum; /* the same, with the data centre's peers */
	GArray *peers;	       /* struct limit_peer; NULL: none */
};

/* Advances the level to now. share is the part of the allotment that the bucket
 * holds, rate_part the part of the bucket's rate at which it fills. With
 * subtract_peers the estimated use of peers is subtracted. */
void account_advance(struct limit_account *account, int64_t now, double share,
		     double rate_part, bool subtract_peers);
/* Adds requested units to the demand of this instance. */
void account_add_demand(struct limit_account *account, int64_t now,
			double units);
/* Units a second requested here recently. */
double account_own_demand(const struct limit_account *account, int64_t now);
/* The same, of this instance and all counted peers. */
double account_total_demand(const struct limit_account *account, int64_t now);
/* Stores the share of the total demand that a peer has now. */
void account_update_fair_share(const struct limit_account *account,
			       struct limit_peer *peer, int64_t now);
/* The share of the total demand that this instance has, 0 to 1. */
double account_demand_share(const struct limit_account *account, int64_t now);
/* The rate at which the level rises now, in units a second; always over 0. */
double account_fill_rate(const struct limit_account *account, int64_t now,
			 double share, bool subtract_peers);
/* Age of the oldest entry of a counted peer; -1: none. */
int64_t account_data_age(const struct limit_account *account, int64_t now);
/* Sets the level as of now. */
void account_set_level(struct limit_account *account, int64_t now,
		       double level);
void account_free(gpointer data);

struct limits {
	enum limit_policy policy;
	uint32_t accounts_max;
	int64_t created;
	int64_t first_peer_at; /* first entry from a peer; or LIMIT_NEVER */
	bool may_have_peers;
	GHashTable *accounts;	 /* id to struct limit_account */
	GQueue order;		 /* the accounts, least recently used first */
	uint32_t epochs;	 /* last epoch assigned */
	uint32_t next_export[2]; /* index into order: own use, sums */
	bool urgent[2];		 /* an export is urgent: own use, sums */
};

/* In limit_exchange.c. To be called after units were used, here or by a local
 * peer. */
void limit_mark_urgent(struct limits *limits,
		       const struct limit_account *account);

/* Whether peers may use the account that have not sent their use yet, and the
 * part of the rate at which its level rises meanwhile. */
bool limits_is_starting(const struct limits *limits,
			const struct limit_account *account, int64_t now);
double limits_rate_part(const struct limits *limits,
			const struct limit_account *account, int64_t now);
/* The level of an account for which none was received. */
double limits_initial_level(const struct limits *limits,
			    const struct limit_account *account, int64_t now,
			    double share);
/* Advances an account's level to now. */
void limits_advance(const struct limits *limits, struct limit_account *account,
		    int64_t now, double share);
/* The part of the allotment that this instance's bucket holds. */
double limits_share(const struct limits *limits,
		    const struct limit_account *account, int64_t now,
		    uint32_t sharers);
struct limit_account *account_get(struct limits *limits, int64_t now,
				  uint64_t id);

#endif
