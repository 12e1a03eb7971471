/*
 * claim.h - at most one run of a non-idempotent request, decided by the log
 *
 * DESCRIPTION
 *	Before a request that carries a key and is not idempotent is sent to a
 *	backend server, its key is claimed: the first claim of a key in the
 *	log's stream "claims" wins, in every data centre. Claims go through
 *	the two claim writers of the data centre (highest rendezvous weights),
 *	which group them into one append each CLAIM_GROUP_USEC. An append whose
 *	answer was lost is found by reading back its writer and sequence. While
 *	the log cannot answer, claims end RESULT_LOG_DOWN (surely not appended)
 *	or RESULT_CLAIM_UNDECIDED (a later reading may find it appended; the
 *	request was not run and the key stays spent for record_ms).
 */
#ifndef COORD_CLAIM_H
#define COORD_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "coord/log_store.h"
#include "coord/member.h"
#include "coord/transport.h"

#define CLAIM_GROUP_USEC (50 * USEC_PER_MSEC)

/* code: RESULT_OK (this claim won), RESULT_ALREADY_CLAIMED (winner is whose),
 * RESULT_LOG_DOWN, RESULT_CLAIM_UNDECIDED. */
typedef void (*claim_fn)(void *ctx, uint64_t request, enum result_code code,
			 const struct owner *winner);

struct claims;

struct claims *claims_create(struct clock *clock, struct membership *membership,
			     const struct log_store *store,
			     const struct transport *transport, claim_fn fn,
			     void *ctx);
void claims_destroy(struct claims *claims);
void claims_start(struct claims *claims);
void claims_receive(struct claims *claims, uint64_t from, const void *data,
		    size_t size);
void claims_member(struct claims *claims, const struct member *member);
/* Answers exactly once through fn, before timeout_us has passed. */
void claims_take(struct claims *claims, uint64_t request, uint64_t key,
		 int64_t timeout_us);

#endif
