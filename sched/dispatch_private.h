/*
 * dispatch_private.h - state of the queue of dispatch.h
 */
#ifndef SCHED_DISPATCH_PRIVATE_H
#define SCHED_DISPATCH_PRIVATE_H

#include <glib.h>

#include "sched/dispatch.h"

struct dispatch_server {
	uint64_t key;
	uint32_t slots;
	bool usable;
	bool listed;	      /* set since the last sweep */
	uint32_t outstanding; /* grants */
	uint32_t late;	      /* of these, granted past their target */
	uint32_t others;      /* stated beyond the grants */
	int64_t others_until;
	double pace; /* when it was last learnt */
	int64_t paced_at;
};

struct dispatch_grant {
	struct dispatch_call call;
	uint64_t server;
	int64_t lease_until;
	int64_t waited_usec;
	bool late;
	bool queued; /* the server had no free slot */
};

struct dispatch_waiting {
	struct dispatch_call call;
	int64_t arrived;
	int64_t target_at;
	int64_t limit_at;
	int64_t leave_at; /* the caller stops waiting */
	double recent;	  /* grants of its organisation, when last sorted */
	uint64_t order;
};

struct dispatch {
	struct dispatch_ops ops;
	void *ctx;
	GHashTable *servers; /* key to struct dispatch_server */
	GHashTable *grants;  /* struct dispatch_grant, by instance and id */
	GPtrArray *queue;    /* struct dispatch_waiting, first to be served
				first once sorted */
	GHashTable *organisations; /* id to struct dispatch_share */
	double mean_usec;
	uint64_t next_order;
	bool sorted;
};

/* All usable servers together. */
struct dispatch_capacity {
	uint32_t free;	 /* places */
	double rate;	 /* calls completed per microsecond */
	double run_usec; /* of a call at the fastest one */
};

/* Time that a call takes besides its wait and its run: the ways between
 * instance, dispatcher and server. */
#define DISPATCH_TRANSIT_USEC 4000.0

/* dispatch_choice.c */
/* Expected pace now. */
double dispatch_pace(const struct dispatch_server *server, int64_t now);
void dispatch_terms_of(const struct dispatch *dispatch,
		       const struct dispatch_server *server, int64_t now,
		       struct dispatch_terms *terms);
/* The usable server with a free place and the earliest expected completion for
 * the call; NULL when there is none. With late, only servers without a late
 * call. */
struct dispatch_server *dispatch_choose(const struct dispatch *dispatch,
					int64_t now,
					const struct dispatch_call *call,
					bool late,
					struct dispatch_terms *terms);
void dispatch_capacity_of(const struct dispatch *dispatch, int64_t now,
			  struct dispatch_capacity *capacity);
/* Expected wait, in microseconds, of a call that has that many before it. */
double dispatch_wait(const struct dispatch_capacity *capacity, uint32_t before);
/* Whether a call with that wait and that much time left can be in time at any
 * server. */
bool dispatch_in_time(const struct dispatch_capacity *capacity,
		      double wait_usec, int64_t left_usec);
/* Retry delay of a refused call. */
int64_t dispatch_retry(const struct dispatch *dispatch,
		       const struct dispatch_capacity *capacity);

/* dispatch_grant.c */
/* Adds a grant, by the terms in the answer, and completes the answer. */
void dispatch_grant_add(struct dispatch *dispatch, int64_t now,
			struct dispatch_server *server,
			const struct dispatch_call *call, bool late,
			struct dispatch_answer *answer);
/* Ends a grant and learns from the call; false when it is not known. */
bool dispatch_grant_end(struct dispatch *dispatch, int64_t now,
			const struct dispatch_end *end);
void dispatch_leases_expire(struct dispatch *dispatch, int64_t now);

/* dispatch_share.c */
/* Counts a grant to the organisation; 0 is ignored. */
void dispatch_share_add(struct dispatch *dispatch, int64_t now,
			uint64_t organisation);
/* Decayed count of its grants. */
double dispatch_share_of(const struct dispatch *dispatch, int64_t now,
			 uint64_t organisation);
/* Forgets organisations without recent grants. */
void dispatch_share_prune(struct dispatch *dispatch, int64_t now);

#endif
