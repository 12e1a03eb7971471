/*
 * precedence.h - which waiting stream is served next over all instances
 *
 * DESCRIPTION
 *	For loads in which urgent and deferrable streams compete for the memory
 *	of the engines. Each instance has a queue of its own, so freed memory
 *	goes to the instance that looks first. An instance whose first waiting
 *	request cannot be placed therefore claims room at two servers, and
 *	requests of lower precedence leave that room free, at all instances.
 *
 *	A rank is 0 (first) to PRECEDENCE_RANKS - 1. A claim is valid for at
 *	most PRECEDENCE_CLAIM_USEC after it was received, whatever it states. So
 *	the claim of an instance that was killed, frozen or partitioned ends by
 *	itself. The table holds PRECEDENCE_CLAIMS_MAX claims and
 *	PRECEDENCE_SOURCE_MAX of one instance; a further claim of that instance
 *	replaces its oldest one.
 *
 *	Times are microseconds of the embedder's clock, passed in as now. Memory
 *	is in tokens. There are no errors: a claim that the full table cannot
 *	hold is dropped and counted.
 */
#ifndef SCHED_PRECEDENCE_H
#define SCHED_PRECEDENCE_H

#include <stdbool.h>
#include <stdint.h>

#define PRECEDENCE_RANKS 8u
/* Longest validity of a claim: two lost renewals in a row. */
#define PRECEDENCE_CLAIM_USEC INT64_C(300000)
#define PRECEDENCE_RENEW_USEC INT64_C(100000)
/* Servers that a request claims: two, or the maximum if it needs more than an
 * eighth of a server's memory. Two servers free that much too late for most
 * large urgent requests. */
#define PRECEDENCE_SERVERS 2u
#define PRECEDENCE_SERVERS_MAX 8u
#define PRECEDENCE_LARGE_PART 8u
#define PRECEDENCE_CLAIMS_MAX 2048u
/* The claims of one request, and as many that they replace and whose withdrawal
 * was lost. */
#define PRECEDENCE_SOURCE_MAX 16u
/* Claims, renewals and withdrawals that one instance sends in any second. */
#define PRECEDENCE_SENDS_MAX 40u
/* Source of the instance's own claims. */
#define PRECEDENCE_SELF 0u

struct precedence;

struct room_claim {
	uint64_t request; /* chosen by the claimant */
	uint32_t rank;
	uint64_t server; /* key */
	uint32_t tokens;
	int64_t usec; /* validity; 0 withdraws the claim */
};

/* What a request must leave free at a server. */
struct precedence_room {
	uint32_t tokens;
	uint32_t requests;
};

struct precedence *precedence_create(void);
void precedence_destroy(struct precedence *precedence);
/* Adds, renews or withdraws a claim of the instance. */
void precedence_claim(struct precedence *precedence, int64_t now,
		      const struct room_claim *claim, uint64_t from);
/* Sum of the claims of higher precedence than rank at the server. A request
 * that is due now, because it would miss its target if it waited longer, is not
 * held back by claims that are older than PRECEDENCE_CLAIM_USEC. */
struct precedence_room precedence_claimed(const struct precedence *precedence,
					  int64_t now, uint64_t server,
					  uint32_t rank, bool due);
/* Sum of the claims at the server of the same or higher precedence, except
 * those of this instance for the request: the room that it competes for. */
uint32_t precedence_contended(const struct precedence *precedence, int64_t now,
			      uint64_t server, uint32_t rank, uint64_t request);
/* Number of servers to claim for a request of that many tokens. */
uint32_t precedence_servers(uint32_t tokens, uint64_t memory_tokens);
/* Records that a request of the rank was received, or waits, somewhere. */
void precedence_seen(struct precedence *precedence, int64_t now, uint32_t rank);
/* Whether a request of the rank should claim room: a request of lower
 * precedence was seen within the last second, which could yield. */
bool precedence_useful(const struct precedence *precedence, int64_t now,
		       uint32_t rank);
/* Whether one more claim may be sent now; counts it if so. */
bool precedence_send(struct precedence *precedence, int64_t now);
/* Valid claims, and claims dropped so far because the table was full. */
uint32_t precedence_count(const struct precedence *precedence, int64_t now);
uint64_t precedence_dropped(const struct precedence *precedence);

/* The pairs of urgency and route priority that requests may have, in order.
 * Without priorities of organisations the rank is the route's priority. */
struct precedence_levels {
	bool by_pair; /* an organisation has a priority of its own */
	uint32_t count;
	struct precedence_level {
		uint32_t urgency;
		uint32_t priority;
	} pairs[PRECEDENCE_RANKS];
};

void precedence_level_add(struct precedence_levels *levels, uint32_t urgency,
			  uint32_t priority);
/* Rank of a request. It never decreases in the order of urgency and then
 * priority; pairs beyond the last rank share it. */
uint32_t precedence_rank(const struct precedence_levels *levels,
			 uint32_t urgency, uint32_t priority);

#endif
