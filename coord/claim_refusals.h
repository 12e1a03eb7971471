/*
 * claim_refusals.h - recently refused claims, so that a late copy of a request
 *		      is not accepted after the refusal was sent
 *
 * DESCRIPTION
 *	The reply "certainly not appended" must stay true when a link delays or
 *	duplicates requests sent before that reply. Refusals are dropped after
 *	one to two times CLAIM_TIMEOUT_MAX_USEC, when no instance waits for the
 *	reply any more.
 */
#ifndef COORD_CLAIM_REFUSALS_H
#define COORD_CLAIM_REFUSALS_H

#include <stdbool.h>
#include <stdint.h>

#include "claim_codec.h"

struct claim_refusals;

struct claim_refusals *claim_refusals_create(void);
void claim_refusals_destroy(struct claim_refusals *refusals);
/* kind is CLAIM_REPLY_NOT_APPENDED or CLAIM_REPLY_DECLINED, which refuse
 * requests up to attempt, or CLAIM_REPLY_UNDECIDED, which refuses all. */
void claim_refusals_add(struct claim_refusals *refusals, int64_t now,
			const struct claim_id *id, uint64_t attempt,
			enum claim_reply_kind kind);
/* Whether the request was refused, and with which kind of reply. */
bool claim_refusals_find(const struct claim_refusals *refusals,
			 const struct claim_id *id, uint64_t attempt,
			 enum claim_reply_kind *kind);

#endif
