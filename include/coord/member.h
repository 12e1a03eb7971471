/*
 * member.h - membership of instances, within and between data centres
 *
 * DESCRIPTION
 *	Within a data centre each instance sends heartbeats to a few successors
 *	on a ring of hashed names, and membership updates are piggybacked on
 *	them. A silent peer is probed directly and through others before it is
 *	declared dead (after SWIM, Das et al., DSN 2002). Between data centres
 *	only the gateways exchange digests: the two instances of each with the
 *	highest rendezvous weight. The platform's list of instances lags behind
 *	and is a hint: it adds peers and their addresses, and never removes a
 *	peer that answers. A member that learns that it was declared dead raises
 *	its incarnation.
 *
 *	A member known only from a hint is reported as dead until its state is
 *	received. A dead member is forgotten after an hour, or when the list is
 *	still read but has not named it for a minute: membership_find() no
 *	longer returns it, and its memory is freed ten minutes later.
 *
 *	The gateways decide whether another data centre is reachable. While it
 *	is not, its members are reported as suspect, then as dead, in this data
 *	centre only; they return under their former incarnation once it is
 *	reachable again. When an incarnation rises, the former one is reported
 *	dead first.
 *
 *	Facts are small versioned values spread with the same messages, such as
 *	"runner X is leaving" or "cell C has N waiting"; the highest version of
 *	each wins. A value holds up to 512 bytes. A fact that is not set again
 *	within an hour is dropped. At most 8,192 are kept; more are refused and
 *	logged.
 */
#ifndef COORD_MEMBER_H
#define COORD_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/id.h"
#include "coord/transport.h"

#define MEMBER_NAME_MAX 64
#define MEMBER_ADDRESS_MAX 64

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_DEAD,
};

struct member {
	uint64_t id; /* id_of(name) */
	uint64_t incarnation;
	enum member_state state;
	char name[MEMBER_NAME_MAX];
	char data_centre[MEMBER_NAME_MAX];
	char peer_address[MEMBER_ADDRESS_MAX];
	char http_address[MEMBER_ADDRESS_MAX];
};

/* All times in microseconds; 0 takes the default. */
struct membership_settings {
	int64_t heartbeat;     /* default 500 ms */
	int64_t suspect_after; /* default 1,500 ms */
	int64_t dead_after;    /* after suspicion; default 1,500 ms */
	int64_t digest;	       /* between data centres; default 1 s */
	uint32_t fanout;       /* successors that get heartbeats; default 3 */
	uint32_t seed;
};

struct membership_ops {
	/* old is NULL when the member is new. */
	void (*changed)(void *ctx, const struct member *member,
			const enum member_state *old);
	void (*fact)(void *ctx, uint64_t key, uint64_t version,
		     const void *value, size_t size);
	/* Others declared this instance dead: its incarnation was raised, and
	 * all that it held under the former one is lost. */
	void (*refuted)(void *ctx, uint64_t incarnation);
};

struct membership_stats {
	uint64_t sent;
	uint64_t sent_bytes; /* payloads only: no frame, no TCP/IP headers */
	uint64_t received;
	uint64_t malformed; /* dropped */
	uint64_t from_dead; /* dropped: the sender was declared dead */
	uint64_t syncs;	    /* anti-entropy exchanges started */
	uint64_t refuted;   /* incarnations raised */
};

struct membership;

struct membership *membership_create(struct clock *clock,
				     const struct member *self,
				     const struct membership_settings *settings,
				     const struct transport *transport,
				     const struct membership_ops *ops,
				     void *ctx);
void membership_destroy(struct membership *membership);
void membership_start(struct membership *membership);
void membership_receive(struct membership *membership, uint64_t from,
			const void *data, size_t size);
/* Adds a peer, or updates its address, from the platform's list or a seed. */
void membership_hint(struct membership *membership,
		     const struct member *member);
/* Announces that this instance leaves; it stays reachable until destroyed. */
void membership_leave(struct membership *membership);
/* This process did not run for gap_us: others may have declared it dead. */
void membership_paused(struct membership *membership, int64_t gap_us);

/* False after a long pause until peers have confirmed that they hold this
 * instance alive, or its incarnation was raised. The caller must not answer
 * requests meanwhile. */
bool membership_certain(const struct membership *membership);
void membership_stats(const struct membership *membership,
		      struct membership_stats *stats);

const struct member *membership_self(const struct membership *membership);
const struct member *membership_find(const struct membership *membership,
				     uint64_t id);
/* Iterates over members by id, including this instance; cursor starts at 0. */
const struct member *membership_next(const struct membership *membership,
				     uint32_t *cursor);

/* The rank-th highest rendezvous weight (Thaler and Ravishankar, 1998) for key
 * among the alive and suspect members of the data centre, without leaving and
 * dead ones. 0 when there are too few. */
uint64_t membership_home(const struct membership *membership,
			 const char *data_centre, uint64_t key, uint32_t rank);

/* The newest known value of a fact, or NULL; valid until the next message. */
const void *membership_fact_find(const struct membership *membership,
				 uint64_t key, size_t *size);
void membership_fact_set(struct membership *membership, uint64_t key,
			 uint64_t version, const void *value, size_t size);

#endif
