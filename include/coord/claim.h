/*
 * claim.h - at most one run of a non-idempotent request, decided by the log
 *
 * DESCRIPTION
 *	Before a request that carries a key and is not idempotent is sent to a
 *	backend server, its key is claimed: the first claim of a key in the
 *	log's stream "claims" wins, in every data centre. Claims go through
 *	the two claim writers of the data centre (those with the highest
 *	rendezvous weights), which group them into one append every
 *	CLAIM_GROUP_USEC. A claim is decided only when its record has been read
 *	back, after all records that the log keeps before it. So the answer to
 *	an append decides nothing, and when it is lost the record is found by
 *	its writer and sequence. A claim is identified by its owner and request,
 *	so a repeated append is the same claim.
 *
 *	While the log does not answer, claims end with RESULT_LOG_DOWN
 *	(certainly not appended) or RESULT_CLAIM_UNDECIDED (the claim may be
 *	found in the log later; the request was not run, and the key may be
 *	spent).
 *
 *	A key stays spent until CLAIM_KEEP_USEC after its last claim, by the
 *	log's time. When the log's retention has dropped the records of a key
 *	earlier, a writer that has started or could not read since then does not
 *	know the key: retention below CLAIM_KEEP_USEC shortens the protection to
 *	retention.
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
/* Longer timeouts are reduced to this, the time for which an answer is valid.
 */
#define CLAIM_TIMEOUT_MAX_USEC (60 * USEC_PER_SEC)
/* Keys that a writer keeps, at about 90 bytes each. When there are more within
 * CLAIM_KEEP_USEC, unknown keys are refused. */
#define CLAIM_KEYS_MAX (1u << 20)

/* code: RESULT_OK (this claim won), RESULT_ALREADY_CLAIMED (by winner),
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
/* Calls fn exactly once, within timeout_us and not from within this call; never
 * after claims_destroy(). A request whose claim is still pending is dropped
 * with a line in the log. */
void claims_submit(struct claims *claims, uint64_t request, uint64_t key,
		   int64_t timeout_us);

#endif
