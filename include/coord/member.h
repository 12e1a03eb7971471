/*
 * member.h - which instances live, in this data centre and in others
 *
 * DESCRIPTION
 *	Within a data centre each instance sends heartbeats to a few successors
 *	on a ring of hashed names, and news travels with them; a silent peer is
 *	probed through others before it is called dead (after SWIM, Das et al.,
 *	DSN 2002). Between data centres only the two instances with the highest
 *	rendezvous weight exchange a digest. The platform's lagging list gives
 *	addresses and is a hint: it brings in, it never takes out a peer that
 *	answers. A member that hears itself called dead raises its incarnation.
 *
 *	A member named by a hint is shown as dead until something is heard of
 *	it. A dead member that the list, still being read, has not named for a
 *	minute is forgotten: membership_find() no longer returns it, and its
 *	pointer is freed ten minutes later.
 *
 *	A data centre that cannot be reached is judged by the gateways and shown
 *	as suspect, then dead, in this data centre only; its members come back
 *	under their former incarnation when it is reached again. A rise of the
 *	incarnation is shown as the death of the former one first.
 *
 *	Facts are small values spread with the same messages, the newest version
 *	of each winning: "runner X is leaving", "cell C has N waiting". A value
 *	holds up to 512 bytes. A fact that is not set again within an hour is
 *	dropped. At most 8,192 are kept; more are refused and logged.
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
	/* old is NULL for one not known before. */
	void (*changed)(void *ctx, const struct member *member,
			const enum member_state *old);
	void (*fact)(void *ctx, uint64_t key, uint64_t version,
		     const void *value, size_t size);
	/* Others hold this instance dead: its incarnation was raised, and all
	 * that it held under the former one is lost. */
	void (*refuted)(void *ctx, uint64_t incarnation);
};

struct membership_stats {
	uint64_t sent;
	uint64_t sent_bytes; /* payloads only: no frame, no TCP/IP headers */
	uint64_t received;
	uint64_t malformed; /* dropped */
	uint64_t from_dead; /* dropped: the sender is held dead */
	uint64_t syncs;	    /* exchanges of whole views started */
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
/* A peer as the platform's list or a seed names it. */
void membership_hint(struct membership *membership,
		     const struct member *member);
/* Says that the own instance leaves; it stays reachable until destroyed. */
void membership_leave(struct membership *membership);
/* The own process stood still for gap_us: others may have buried it. */
void membership_paused(struct membership *membership, int64_t gap_us);

/* False after a long pause until a peer has told that this instance is held
 * alive, or its incarnation was raised: answer nobody meanwhile. */
bool membership_certain(const struct membership *membership);
void membership_stats(const struct membership *membership,
		      struct membership_stats *stats);

const struct member *membership_self(const struct membership *membership);
const struct member *membership_find(const struct membership *membership,
				     uint64_t id);
/* Walks members in order of id, the own included; cursor starts at 0. */
const struct member *membership_next(const struct membership *membership,
				     uint32_t *cursor);

/* The rank-th highest rendezvous weight (Thaler and Ravishankar, 1998) for key
 * among the alive and suspect members of the data centre; leaving and dead
 * ones are passed over. 0 when there are too few. */
uint64_t membership_home(const struct membership *membership,
			 const char *data_centre, uint64_t key, uint32_t rank);

/* The newest value known of a fact, or NULL; valid until the next message. */
const void *membership_fact_find(const struct membership *membership,
				 uint64_t key, size_t *size);
void membership_fact_set(struct membership *membership, uint64_t key,
			 uint64_t version, const void *value, size_t size);

#endif
