/*
 * claim.h - at most one run of a non-idempotent request, decided by the log
 *
 * DESCRIPTION
 *	Before a request that carries a key and is not idempotent is sent to a
 *	backend server, its key is claimed: the first claim of a key in the
 *	log's stream "claims" wins, in every data centre. Claims go through
 *	the two claim writers of the data centre (highest rendezvous weights),
 *	which group them into one append each CLAIM_GROUP_USEC. A claim is
 *	decided only when its record has been read back, after all that the
 *	log keeps before it; so the answer to an append decides nothing, and
 *	one that was lost is found by its record's writer and sequence. A claim
 *	is named by its owner and request: appended twice, it is one claim.
 *
 *	While the log cannot answer, claims end RESULT_LOG_DOWN (surely not
 *	appended) or RESULT_CLAIM_UNDECIDED (a later reading may find it
 *	appended; the request was not run and the key may be spent).
 *
 *	A key stays spent until CLAIM_KEEP_USEC after its last claim, by the
 *	log's own time. A key whose records the log's retention has dropped
 *	sooner is unknown to a writer that started, or could not read, since:
 *	retention below CLAIM_KEEP_USEC shortens the protection to retention.
 *
 * SEE ALSO
 *	docs/design/claims.md
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
#define CLAIM_KEEP_USEC (24 * 3600 * USEC_PER_SEC)
/* Longer timeouts are cut to this: an answer is good for so long only. */
#define CLAIM_TIMEOUT_MAX_USEC (60 * USEC_PER_SEC)
/* Keys that a writer remembers, at some 90 bytes each; when there are more
 * within CLAIM_KEEP_USEC, keys not yet known are refused. */
#define CLAIM_KEYS_MAX (1u << 20)

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
void claims_member_changed(struct claims *claims, const struct member *member);
/* Answers exactly once through fn, by the time timeout_us has passed, and not
 * from within the call; never after claims_destroy(). A request that is being
 * claimed already is dropped with a line in the log. */
void claims_submit(struct claims *claims, uint64_t request, uint64_t key,
		   int64_t timeout_us);

#endif
